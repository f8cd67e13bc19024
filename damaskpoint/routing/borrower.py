"""Borrows a permit from a peer when a call finds no warm upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Failure
from damaskpoint.routing import metrics
from damaskpoint.routing.base import CallEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.routing.base import RouteQuery, Ticket
    from damaskpoint.routing.core import RoutingCore
    from damaskpoint.routing.lending import Loan, PermitSource
    from damaskpoint.routing.ranks import EntryRanks

# Ends that confirm that the call has finished in the upstream, or has never
# reached it.
_CONFIRMED_ENDS: Final = frozenset(
    (
        CallEnd.SUCCEEDED,
        CallEnd.FAILED,
        CallEnd.OVERLOADED,
        CallEnd.REFUSED,
        CallEnd.UNREACHABLE,
        CallEnd.UNUSED,
    )
)


@final
@dataclass(frozen=True, slots=True)
class _ActiveLoan:
    """A loan in use by a call."""

    holder: str
    name: str
    number: int


@final
class Borrower:
    """Borrows permits from the entries that hold the leases."""

    def __init__(
        self,
        core: RoutingCore,
        ranks: EntryRanks,
        own_name: str,
        clock: Callable[[], float],
    ) -> None:
        """Borrow nothing until ``source`` is set."""
        self.source: PermitSource | None = None
        self._core = core
        self._ranks = ranks
        self._own_name = own_name
        self._clock = clock
        self._loans_by_ticket: dict[int, _ActiveLoan] = {}

    async def borrow(self, query: RouteQuery) -> Ticket | None:
        """Return a ticket under a loan, or None.

        The call must be sent in this iteration of the event loop.
        """
        name = self._core.find_cold(query)
        if self.source is None or name is None:
            return None
        holder = self._core.permits.find_holder(name)
        if holder is None:
            holder = self._ranks.find_first(name)
        if holder == self._own_name:
            return None
        requested_at = self._clock()
        loan = await self.source.borrow(holder, name)
        if isinstance(loan, Failure):
            metrics.LOANS.inc({'result': 'not_borrowed'})
            return None
        active_loan = _ActiveLoan(holder, name, loan.number)
        return self._use_loan(query, active_loan, loan, requested_at)

    def record_end(self, ticket: Ticket, end: CallEnd) -> None:
        """Record the end of a call; return its loan if the end is confirmed."""
        active_loan = self._loans_by_ticket.pop(ticket.number, None)
        if active_loan is not None and end in _CONFIRMED_ENDS:
            self._return(active_loan)

    def _use_loan(
        self,
        query: RouteQuery,
        active_loan: _ActiveLoan,
        loan: Loan,
        requested_at: float,
    ) -> Ticket | None:
        now = self._clock()
        ticket = self._core.use_loan(
            query, active_loan.name, loan, requested_at, now
        )
        if ticket is None:
            metrics.LOANS.inc({'result': 'unused'})
            self._return(active_loan)
            return None
        metrics.LOANS.inc({'result': 'borrowed'})
        self._loans_by_ticket[ticket.number] = active_loan
        return ticket

    def _return(self, active_loan: _ActiveLoan) -> None:
        if self.source is not None:
            self.source.return_permit(
                active_loan.holder, active_loan.name, active_loan.number
            )
