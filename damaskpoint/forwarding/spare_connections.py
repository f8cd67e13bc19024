"""Connections to runners that are opened before they are needed.

A call to a runner in another zone waits for a round trip until its connection
is open, and the runner is idle for as long. Each connection still carries one
call only, so that bytes after an answer cannot be read as the next one.
"""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from damaskpoint.forwarding.connecting import ClientStream
    from damaskpoint.forwarding.exchange import SocketAddress

    Opener = Callable[[SocketAddress], Awaitable[ClientStream | Failure]]

_LOG: Final = logging.getLogger(__name__)
# Longest time for which a spare connection is kept (seconds): a few calls.
_MAX_SPARE_S: Final = 1.0
# Least time to connect that is worth a spare connection (seconds): longer than
# to a runner of the same zone.
_MIN_CONNECT_S: Final = 0.003


@final
@dataclass(frozen=True, slots=True)
class Opened:
    """A connection that has carried no call."""

    stream: ClientStream
    # How long the call waited for it (seconds).
    waited_s: float
    is_spare: bool


@final
class SpareConnections:
    """Opens connections, one of them ahead for each address."""

    def __init__(self, opener: Opener) -> None:
        """Open connections with ``opener``."""
        self._opener = opener
        self._spares_by_address: dict[SocketAddress, ClientStream] = {}
        self._tasks_by_address: dict[SocketAddress, asyncio.Task[None]] = {}

    # Commands.

    async def open(self, address: SocketAddress) -> Opened | Failure:
        """Return the spare connection, or else a new one."""
        spare = self._spares_by_address.pop(address, None)
        if spare is not None and spare.is_silent:
            self._prepare(address)
            return Opened(spare, float(0), is_spare=True)
        if spare is not None:
            spare.close()
        return await self.open_new(address)

    async def open_new(self, address: SocketAddress) -> Opened | Failure:
        """Return a new connection; fails as the opener does.

        If that takes long, the next one is opened ahead.
        """
        began_at = time.monotonic()
        opened = await self._opener(address)
        if isinstance(opened, Failure):
            return opened
        waited_s = time.monotonic() - began_at
        if waited_s >= _MIN_CONNECT_S:
            self._prepare(address)
        return Opened(opened, waited_s, is_spare=False)

    # Steps.

    def _prepare(self, address: SocketAddress) -> None:
        is_opening = address in self._tasks_by_address
        if is_opening or address in self._spares_by_address:
            return
        task = asyncio.ensure_future(self._open_spare(address))
        self._tasks_by_address[address] = task
        task.add_done_callback(
            lambda _: self._tasks_by_address.pop(address, None)
        )

    async def _open_spare(self, address: SocketAddress) -> None:
        opened = await self._opener(address)
        if isinstance(opened, Failure):
            # The next call opens its own, and reports the failure.
            _LOG.debug('no spare connection', extra={'reason': opened.detail})
            return
        self._spares_by_address[address] = opened
        asyncio.get_running_loop().call_later(
            _MAX_SPARE_S, self._close_unused, address, opened
        )

    def _close_unused(
        self, address: SocketAddress, stream: ClientStream
    ) -> None:
        if self._spares_by_address.get(address) is stream:
            self._spares_by_address.pop(address).close()
