"""All that one entry decides about upstreams: events in, tickets out.

The asynchronous parts (``router``, ``poller``, ``permit_client``) and the
gossip call this on the one loop, each time with the present time.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.routing import metrics
from damaskpoint.routing.base import CallEnd, CallReport, RouteQuery, Ticket
from damaskpoint.routing.choice import Choice, ChoiceReason
from damaskpoint.routing.lending import LendingDesk, Loan
from damaskpoint.routing.nodes import Node, Placement, PoolSlate
from damaskpoint.routing.outliers import review_outliers
from damaskpoint.routing.wait_room import WaitRoom

if TYPE_CHECKING:
    from damaskpoint.routing.choice import ChoicePolicy
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.routing.evidence import Evidence
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.permits import PermitBook

_MEASURED_ENDS = frozenset((CallEnd.SUCCEEDED, CallEnd.TIMED_OUT))
# Choices that turn out to be outdated before a call waits instead.
_TRIES = 8
# Cold upstreams of a pool that one tick wishes for.
_WISHES = 200
_SWEEP_S = 1.0
# Cold upstreams that are looked at for one to borrow.
_LOOKED_AT = 16


@final
class RoutingCore:
    """Gives tickets, takes them back, and keeps time."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        fleet: Fleet,
        evidence: Evidence,
        permits: PermitBook,
        policy: ChoicePolicy,
    ) -> None:
        """Start with nothing in flight."""
        self.evidence = evidence
        self.fleet = fleet
        self.permits = permits
        self.waiting = WaitRoom(fleet)
        self.lender = LendingDesk(fleet, permits, self.waiting)
        self._directory = directory
        self._policy = policy
        self._tickets_by_number: dict[int, Ticket] = {}
        self._last_number = 0
        self._swept_at = float('-inf')

    # Commands.

    def try_acquire(self, query: RouteQuery, now: float) -> Ticket | None:
        """Return a ticket, to be used in this turn of the loop, or None."""
        self._sync(now)
        slate = self.fleet.slates_by_pool.get(query.pool)
        if slate is None:
            return None
        slate.last_demand_at = now
        if query.only:
            return self._try_only(query, slate, now)
        for _ in range(_TRIES):
            choice = self._policy.choose(query, slate, now)
            if choice is None:
                break
            # What the node was placed by may have run out since.
            self.fleet.refresh(choice.node, now)
            if self.fleet.is_placed_open(choice.node):
                return self._give(choice, slate, now)
        if slate.cold:
            metrics.COLD_LIMITED.inc({'pool': query.pool})
        return None

    def find_cold(self, query: RouteQuery) -> str | None:
        """Return a cold upstream for which a permit could be borrowed.

        None while there is a warm one, or no cold one that fits.
        """
        slate = self.fleet.slates_by_pool.get(query.pool)
        if slate is None or slate.ready or query.only:
            return None
        for name in itertools.islice(slate.cold, _LOOKED_AT):
            if name in query.excluded:
                continue
            if slate.nodes_by_name[name].has_model(query):
                return name
        return None

    def use_loan(
        self,
        query: RouteQuery,
        name: str,
        loan: Loan,
        asked_at: float,
        now: float,
    ) -> Ticket | None:
        """Return a ticket under a loan, to be used in this turn, or None."""
        node = self.fleet.nodes_by_name.get(name)
        if node is None or now >= asked_at + loan.valid_s:
            return None
        if now >= self.waiting.find_latest_start(query):
            return None
        self._sync(now)
        self.fleet.refresh(node, now)
        if node.placement is not Placement.COLD:
            return None
        slate = self.fleet.slates_by_pool[query.pool]
        choice = Choice(node, ChoiceReason.BORROWED)
        return self._give(choice, slate, now, is_borrowed=True)

    def release(self, ticket: Ticket, report: CallReport, now: float) -> None:
        """Take a ticket back; a second time changes nothing."""
        if self._tickets_by_number.pop(ticket.number, None) is None:
            return
        node = self.fleet.nodes_by_name.get(ticket.upstream.name)
        slate = self.fleet.slates_by_pool[ticket.upstream.pool]
        slate.own_in_flight -= 1
        if node is None:
            return
        node.load.own -= 1
        self._judge_end(node, slate, ticket, report, now)
        self.evidence.note_end(node, ticket, report, now)
        self.fleet.refresh(node, now)

    def tick(self, now: float) -> None:
        """Do what is due; called some ten times a second."""
        self.evidence.note_alive(now)
        self._sync(now)
        self.fleet.run_timers(now)
        for slate in self.fleet.slates_by_pool.values():
            is_silent = not slate.pool.reports_load
            # One that does not report can be proven warm by calls alone, so
            # its permits are kept at hand.
            if is_silent or now - slate.last_demand_at < defaults.CLAIM_WISH_S:
                self._wish(slate, now)
            self.waiting.wake(slate.pool.name)
            self.waiting.review(slate, now)
        if now - self._swept_at >= _SWEEP_S:
            self._swept_at = now
            self._sweep(now)

    # Queries.

    def shares_by_name(self) -> dict[str, int]:
        """Return the own calls in flight, of upstreams that have any."""
        shares: dict[str, int] = {}
        for ticket in self._tickets_by_number.values():
            name = ticket.upstream.name
            shares[name] = shares.get(name, 0) + 1
        return shares

    # Steps.

    def _sync(self, now: float) -> None:
        """Take over what changed in the directory."""
        self.fleet.sync_directory(now)
        for node in self.fleet.take_restarted():
            self.evidence.note_restarted(node, now)

    def _try_only(
        self, query: RouteQuery, slate: PoolSlate, now: float
    ) -> Ticket | None:
        """Return a ticket for the one upstream that will do."""
        node = slate.nodes_by_name.get(query.only)
        if node is None:
            return None
        self.fleet.refresh(node, now)
        if not self.fleet.is_placed_open(node):
            return None
        return self._give(Choice(node, ChoiceReason.RESUMED), slate, now)

    def _give(
        self,
        choice: Choice,
        slate: PoolSlate,
        now: float,
        *,
        is_borrowed: bool = False,
    ) -> Ticket:
        node = choice.node
        is_cold = is_borrowed or node.placement is Placement.PERMITTED
        if is_cold:
            node.last_cold_at = now
        self._last_number += 1
        ticket = Ticket(self._last_number, node.upstream, is_cold, now)
        self._tickets_by_number[ticket.number] = ticket
        node.load.own += 1
        slate.own_in_flight += 1
        node.breaker.note_sent(now)
        self.fleet.refresh(node, now)
        metrics.CHOSEN.inc(
            {'pool': slate.pool.name, 'reason': choice.reason.value}
        )
        if choice.is_affinity_broken:
            metrics.AFFINITY.inc({'result': 'broken'})
        return ticket

    def _judge_end(
        self,
        node: Node,
        slate: PoolSlate,
        ticket: Ticket,
        report: CallReport,
        now: float,
    ) -> None:
        if node.breaker.note_end(report.end, now):
            state = node.breaker.state.value
            metrics.BREAKERS.inc({'pool': slate.pool.name, 'state': state})
        if report.end not in _MEASURED_ENDS or ticket.is_cold:
            return
        node.load.note_service(report.duration_s)
        slate.note_service(report.duration_s)
        review_outliers(slate, node, now)

    def _wish(self, slate: PoolSlate, now: float) -> None:
        """Wish for the leases of a pool's cold upstreams."""
        is_silent = not slate.pool.reports_load
        wished = [
            *itertools.islice(slate.cold, _WISHES),
            *itertools.islice(slate.permitted, _WISHES),
        ]
        for name in wished:
            self.permits.want(name, now, is_silent=is_silent)
            if self.permits.is_held(name, now):
                # Time alone may have freed a permit.
                self.fleet.refresh(slate.nodes_by_name[name], now)

    def _sweep(self, now: float) -> None:
        self.permits.sweep(now)
        self.fleet.decay_outliers(now)
        self.fleet.drop_silent(now)
