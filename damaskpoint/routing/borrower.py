"""Borrows a permit for a call that finds its pool cold."""

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

# Ends after which the call is known to be over in the upstream, or never
# to have reached it.
_SEEN_ENDS: Final = frozenset(
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
class _Debt:
    """A loan in use."""

    holder: str
    name: str
    number: int


@final
class Borrower:
    """Asks the holder of a lease for one of its permits."""

    def __init__(
        self,
        core: RoutingCore,
        ranks: EntryRanks,
        own: str,
        clock: Callable[[], float],
    ) -> None:
        """Borrow nothing until there is a source."""
        self.source: PermitSource | None = None
        self._core = core
        self._ranks = ranks
        self._own = own
        self._clock = clock
        self._debts_by_ticket: dict[int, _Debt] = {}

    async def borrow(self, query: RouteQuery) -> Ticket | None:
        """Return a ticket under a loan, to be used in this turn, or None."""
        name = self._core.find_cold(query)
        if self.source is None or name is None:
            return None
        holder = self._core.permits.find_holder(name)
        if holder is None:
            holder = self._ranks.find_first(name)
        if holder == self._own:
            return None
        asked_at = self._clock()
        loan = await self.source.borrow(holder, name)
        if isinstance(loan, Failure):
            metrics.LOANS.inc({'result': 'not_borrowed'})
            return None
        debt = _Debt(holder, name, loan.number)
        return self._use(query, debt, loan, asked_at)

    def note_end(self, ticket: Ticket, end: CallEnd) -> None:
        """Return the loan of a call that is over in the upstream."""
        debt = self._debts_by_ticket.pop(ticket.number, None)
        if debt is not None and end in _SEEN_ENDS:
            self._give_back(debt)

    def _use(
        self, query: RouteQuery, debt: _Debt, loan: Loan, asked_at: float
    ) -> Ticket | None:
        now = self._clock()
        ticket = self._core.use_loan(query, debt.name, loan, asked_at, now)
        if ticket is None:
            metrics.LOANS.inc({'result': 'unused'})
            self._give_back(debt)
            return None
        metrics.LOANS.inc({'result': 'borrowed'})
        self._debts_by_ticket[ticket.number] = debt
        return ticket

    def _give_back(self, debt: _Debt) -> None:
        if self.source is not None:
            self.source.return_permit(debt.holder, debt.name, debt.number)
