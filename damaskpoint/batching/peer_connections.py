"""HTTP calls to peers on connections that are used again.

Connecting takes a round trip and processor time at both ends, for each stage
of each request. Only calls that may be repeated belong here: one that finds
its connection closed by the peer is sent again on a new one.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Failure
from damaskpoint.forwarding.exchange import (
    BrokenAnswerError,
    Exchange,
    open_exchange,
)

if TYPE_CHECKING:
    from damaskpoint.forwarding.connecting import ClientStream
    from damaskpoint.forwarding.exchange import AnswerHead, RunnerRequest
    from damaskpoint.membership.facts import Address

    # Head and body.
    _Answer = tuple[AnswerHead, bytes]

# Timeout for connecting to a peer (seconds).
_CONNECT_TIMEOUT_S: Final = 0.5
# Longest time that sent bytes may stay unacknowledged by a peer (seconds).
_ACK_TIMEOUT_S: Final = 1.0
# Idle connections kept to one peer, and for how long (seconds). Calls to the
# batching instance of a busy group overlap; others rarely do.
_MAX_IDLE: Final = 4
_MAX_IDLE_S: Final = 5.0


@final
@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A connection on which no call is in progress."""

    stream: ClientStream
    since: float


@final
class PeerConnections:
    """Sends calls to peers; a cancelled call closes its connection."""

    def __init__(self, own_host: str | None = None) -> None:
        """Connect from this IP address, by which peers know this instance."""
        self._own_host = own_host
        self._idle_by_address: dict[Address, list[_IdleConnection]] = {}

    async def call(
        self, address: Address, request: RunnerRequest
    ) -> _Answer | Failure:
        """Return the answer to a call.

        Fails with ``UPSTREAM_UNREACHABLE``; raises ``BrokenAnswerError`` if
        the answer is missing or incomplete.
        """
        stream = self._take(address, time.monotonic())
        if stream is not None:
            exchange = Exchange(stream)
            try:
                return await self._send(address, exchange, request)
            except BrokenAnswerError:
                if not exchange.is_lost_unanswered:
                    raise
        opened = await open_exchange(
            (address.host, address.port),
            _CONNECT_TIMEOUT_S,
            _ACK_TIMEOUT_S,
            self._own_host,
        )
        if isinstance(opened, Failure):
            return opened
        return await self._send(address, opened, request)

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle for too long."""
        for address, idle in tuple(self._idle_by_address.items()):
            remaining = []
            for connection in idle:
                if now - connection.since < _MAX_IDLE_S:
                    remaining.append(connection)
                else:
                    connection.stream.close()
            if remaining:
                self._idle_by_address[address] = remaining
            else:
                self._idle_by_address.pop(address)

    async def _send(
        self, address: Address, exchange: Exchange, request: RunnerRequest
    ) -> _Answer:
        try:
            exchange.send(request)
            head = await exchange.read_head()
            body = await exchange.read_body()
        except (BrokenAnswerError, asyncio.CancelledError):
            exchange.close()
            raise
        self._keep(address, exchange, time.monotonic())
        return head, body

    def _take(self, address: Address, now: float) -> ClientStream | None:
        """Return the connection that was used last, or None."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            is_fresh = now - connection.since < _MAX_IDLE_S
            if is_fresh and connection.stream.is_silent:
                return connection.stream
            connection.stream.close()
        return None

    def _keep(self, address: Address, exchange: Exchange, now: float) -> None:
        stream = exchange.release_stream()
        if stream is None:
            exchange.close()
            return
        idle = self._idle_by_address.setdefault(address, [])
        idle.append(_IdleConnection(stream, now))
        if len(idle) > _MAX_IDLE:
            idle.pop(0).stream.close()
