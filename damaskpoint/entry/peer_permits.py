"""Borrows permits from peers and returns them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Code, Failure
from damaskpoint.routing.lending import Loan, PermitSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.membership.facts import Address
    from damaskpoint.membership.service import Membership
    from damaskpoint.wire.peer_client import PeerClient

_MS_PER_S = 1_000


@final
class PeerPermits(PermitSource):
    """Borrows permits from live peers, and returns them."""

    def __init__(
        self,
        membership: Membership,
        client: PeerClient,
        clock: Callable[[], float],
    ) -> None:
        """Use the live peers of this membership."""
        self._membership = membership
        self._client = client
        self._clock = clock
        self._return_tasks: set[asyncio.Task[None]] = set()

    async def borrow(self, holder: str, name: str) -> Loan | Failure:
        """Borrow a permit of an upstream from the entry that holds its lease."""
        address = self._find_address(holder)
        if address is None:
            return Failure(Code.PEER_UNREACHABLE, holder)
        loan = await self._client.borrow_permit(address, name)
        if isinstance(loan, Failure):
            return loan
        return Loan(loan.number, loan.valid_ms / _MS_PER_S)

    def return_permit(self, holder: str, name: str, number: int) -> None:
        """Return a loan in the background; a failure is ignored."""
        address = self._find_address(holder)
        if address is None:
            return
        task = asyncio.ensure_future(
            self._client.return_permit(address, name, number)
        )
        self._return_tasks.add(task)
        task.add_done_callback(self._return_tasks.discard)

    def _find_address(self, holder: str) -> Address | None:
        for peer in self._membership.live_peers(self._clock()):
            if peer.name == holder:
                return peer.address
        return None
