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
from damaskpoint.routing.nodes import Node, Placement, PoolState
from damaskpoint.routing.outliers import review_outliers
from damaskpoint.routing.wait_room import WaitRoom

if TYPE_CHECKING:
    from damaskpoint.routing.choice import ChoicePolicy
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.observations import UpstreamObservations
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
        observations: UpstreamObservations,
        permits: PermitBook,
        policy: ChoicePolicy,
    ) -> None:
        """Start with nothing in flight."""
        self.observations = observations
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
        pool_state = self.fleet.states_by_pool.get(query.pool)
        if pool_state is None:
            return None
        pool_state.last_demand_at = now
        if query.only:
            return self._try_only(query, pool_state, now)
        for _ in range(_TRIES):
            choice = self._policy.choose(query, pool_state, now)
            if choice is None:
                break
            # What the node was placed by may have run out since.
            self.fleet.refresh(choice.node, now)
            if self.fleet.is_placed_open(choice.node):
                return self._give(choice, pool_state, now)
        if pool_state.cold:
            metrics.COLD_LIMITED.inc({'pool': query.pool})
        return None

    def find_cold(self, query: RouteQuery) -> str | None:
        """Return a cold upstream for which a permit could be borrowed.

        None while there is a warm one, or no cold one that fits.
        """
        pool_state = self.fleet.states_by_pool.get(query.pool)
        if pool_state is None or pool_state.ready or query.only:
            return None
        for name in itertools.islice(pool_state.cold, _LOOKED_AT):
            if name in query.excluded:
                continue
            if pool_state.nodes_by_name[name].has_model(query):
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
        pool_state = self.fleet.states_by_pool[query.pool]
        choice = Choice(node, ChoiceReason.BORROWED)
        return self._give(choice, pool_state, now, is_borrowed=True)

    def release(self, ticket: Ticket, report: CallReport, now: float) -> None:
        """Take a ticket back; a second time changes nothing."""
        if self._tickets_by_number.pop(ticket.number, None) is None:
            return
        node = self.fleet.nodes_by_name.get(ticket.upstream.name)
        pool_state = self.fleet.states_by_pool[ticket.upstream.pool]
        pool_state.own_in_flight -= 1
        if node is None:
            return
        node.load.own -= 1
        self._judge_end(node, pool_state, ticket, report, now)
        self.observations.note_end(node, ticket, report, now)
        self.fleet.refresh(node, now)

    def tick(self, now: float) -> None:
        """Do what is due; called some ten times a second."""
        self.observations.note_alive(now)
        self._sync(now)
        self.fleet.run_timers(now)
        for pool_state in self.fleet.states_by_pool.values():
            is_silent = not pool_state.pool.reports_load
            # One that does not report can be proven warm by calls alone, so
            # its permits are kept at hand.
            if (
                is_silent
                or now - pool_state.last_demand_at < defaults.CLAIM_WISH_S
            ):
                self._wish(pool_state, now)
            self.waiting.wake(pool_state.pool.name)
            self.waiting.review(pool_state, now)
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
            self.observations.note_restarted(node, now)

    def _try_only(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Ticket | None:
        """Return a ticket for the one upstream that will do."""
        node = pool_state.nodes_by_name.get(query.only)
        if node is None:
            return None
        self.fleet.refresh(node, now)
        if not self.fleet.is_placed_open(node):
            return None
        return self._give(Choice(node, ChoiceReason.RESUMED), pool_state, now)

    def _give(
        self,
        choice: Choice,
        pool_state: PoolState,
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
        pool_state.own_in_flight += 1
        node.breaker.note_sent(now)
        self.fleet.refresh(node, now)
        metrics.CHOSEN.inc(
            {'pool': pool_state.pool.name, 'reason': choice.reason.value}
        )
        if choice.is_affinity_broken:
            metrics.AFFINITY.inc({'result': 'broken'})
        return ticket

    def _judge_end(
        self,
        node: Node,
        pool_state: PoolState,
        ticket: Ticket,
        report: CallReport,
        now: float,
    ) -> None:
        if node.breaker.note_end(report.end, now):
            state = node.breaker.state.value
            metrics.BREAKERS.inc({'pool': pool_state.pool.name, 'state': state})
        if report.end not in _MEASURED_ENDS or ticket.is_cold:
            return
        node.load.note_service(report.duration_s)
        pool_state.note_service(report.duration_s)
        review_outliers(pool_state, node, now)

    def _wish(self, pool_state: PoolState, now: float) -> None:
        """Wish for the leases of a pool's cold upstreams."""
        is_silent = not pool_state.pool.reports_load
        wished = [
            *itertools.islice(pool_state.cold, _WISHES),
            *itertools.islice(pool_state.permitted, _WISHES),
        ]
        for name in wished:
            self.permits.want(name, now, is_silent=is_silent)
            if self.permits.is_held(name, now):
                # Time alone may have freed a permit.
                self.fleet.refresh(pool_state.nodes_by_name[name], now)

    def _sweep(self, now: float) -> None:
        self.permits.sweep(now)
        self.fleet.decay_outliers(now)
        self.fleet.drop_silent(now)
