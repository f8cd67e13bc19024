"""Permits that the holder of a lease lends to its peers.

The lender counts a loan like a call of its own until the loan is returned. A
loan that is not returned in time may belong to a call that still runs in the
upstream: from then on it counts as a call whose end is unconfirmed, until a
later report. The borrower may send until ``valid_s`` after its request, on its
own clock, which is before the loan expires on the lender's clock.
"""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.routing import metrics
from damaskpoint.routing.nodes import Placement

if TYPE_CHECKING:
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.permits import PermitManager
    from damaskpoint.routing.wait_queues import WaitQueues


@final
@dataclass(frozen=True, slots=True)
class Loan:
    """A lent permit."""

    # Unique among the loans of this start of the lender.
    number: int
    # Time after the request during which a call may be sent (seconds).
    valid_s: float


class PermitLender(abc.ABC):
    """Lends permits to peers."""

    @abc.abstractmethod
    def lend(self, name: str, now: float) -> Loan | Failure:
        """Lend one permit of an upstream, or fail ``LEASE_NOT_HELD``."""

    @abc.abstractmethod
    def accept_return(self, name: str, number: int, now: float) -> None:
        """Accept the return of a loan whose call has ended in the upstream."""


class PermitSource(abc.ABC):
    """Borrows permits from peers."""

    @abc.abstractmethod
    async def borrow(self, holder: str, name: str) -> Loan | Failure:
        """Borrow a permit of an upstream from the holder of its lease."""

    @abc.abstractmethod
    def return_permit(self, holder: str, name: str, number: int) -> None:
        """Return a loan; the message may get lost."""


@final
class LeasePermitLender(PermitLender):
    """Lends the permits of held leases that this entry does not need."""

    def __init__(
        self, fleet: Fleet, permits: PermitManager, waiting: WaitQueues
    ) -> None:
        """Start with nothing lent."""
        self._fleet = fleet
        self._permits = permits
        self._waiting = waiting
        self._last_number = 0

    def lend(self, name: str, now: float) -> Loan | Failure:
        """Lend one permit, unless calls of this entry wait for it."""
        node = self._fleet.nodes_by_name.get(name)
        if node is None or not self._permits.is_held(name, now):
            return _refuse('not_held')
        self._fleet.refresh(node, now)
        if node.placement is not Placement.PERMITTED:
            return _refuse('none_free')
        if self._waiting.count_waiting(node.upstream.pool):
            return _refuse('own_use')
        lease = self._permits.leases_by_name[name]
        valid_s = min(defaults.LENT_PERMIT_S, lease.deadline - now)
        self._last_number += 1
        expires_at = now + valid_s + defaults.MAX_SEND_DELAY_S
        lease.uncounted.loans_by_number[self._last_number] = expires_at
        self._fleet.refresh(node, now)
        metrics.LOANS.inc({'result': 'lent'})
        return Loan(self._last_number, valid_s)

    def accept_return(self, name: str, number: int, now: float) -> None:
        """Accept the return of a loan; an expired loan has no effect."""
        lease = self._permits.leases_by_name.get(name)
        if lease is None:
            return
        if lease.uncounted.loans_by_number.pop(number, None) is None:
            return
        metrics.LOANS.inc({'result': 'returned'})
        node = self._fleet.nodes_by_name.get(name)
        if node is not None:
            self._fleet.refresh(node, now)


def _refuse(reason: str) -> Failure:
    metrics.LOANS.inc({'result': reason})
    return Failure(Code.LEASE_NOT_HELD, reason)
