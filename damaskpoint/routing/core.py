"""The routing decisions of one entry, without I/O.

The asynchronous modules (``router``, ``poller``, ``permit_client``) and the
gossip listener call this on one event loop and pass the current time.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.routing import metrics
from damaskpoint.routing.base import CallEnd, CallReport, RouteQuery, Ticket
from damaskpoint.routing.choice import Choice, ChoiceReason
from damaskpoint.routing.lending import LeasePermitLender, Loan
from damaskpoint.routing.nodes import Node, Placement, PoolState
from damaskpoint.routing.outliers import review_outliers
from damaskpoint.routing.wait_queues import WaitQueues

if TYPE_CHECKING:
    from damaskpoint.routing.choice import ChoicePolicy
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.observations import UpstreamObservations
    from damaskpoint.routing.permits import PermitManager

_MEASURED_ENDS = frozenset((CallEnd.SUCCEEDED, CallEnd.TIMED_OUT))
# Maximum number of choices for a call; it waits if all were outdated.
_MAX_CHOICES = 8
# Leases that one tick requests for each placement of a pool.
_MAX_LEASE_REQUESTS = 200
_SWEEP_S = 1.0
# Cold upstreams examined to find one for which to borrow a permit.
_MAX_BORROW_CANDIDATES = 16


@final
class RoutingCore:
    """Issues and releases tickets and performs the periodic work."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        fleet: Fleet,
        observations: UpstreamObservations,
        permits: PermitManager,
        policy: ChoicePolicy,
    ) -> None:
        """Start with nothing in flight."""
        self.observations = observations
        self.fleet = fleet
        self.permits = permits
        self.waiting = WaitQueues(fleet)
        self.lender = LeasePermitLender(fleet, permits, self.waiting)
        self._directory = directory
        self._policy = policy
        self._tickets_by_number: dict[int, Ticket] = {}
        self._last_number = 0
        self._swept_at = float('-inf')

    # Commands.

    def try_acquire(self, query: RouteQuery, now: float) -> Ticket | None:
        """Return a ticket, or None.

        The call must be sent in this iteration of the event loop.
        """
        self._sync(now)
        pool_state = self.fleet.states_by_pool.get(query.pool)
        if pool_state is None:
            return None
        pool_state.last_demand_at = now
        if query.only:
            return self._try_only(query, pool_state, now)
        for _ in range(_MAX_CHOICES):
            choice = self._policy.choose(query, pool_state, now)
            if choice is None:
                break
            # The placement may be outdated: its proof or lease may have expired
            # since.
            self.fleet.refresh(choice.node, now)
            if self.fleet.can_take_call(choice.node):
                return self._issue_ticket(choice, pool_state, now)
        if pool_state.cold:
            metrics.COLD_LIMITED.inc({'pool': query.pool})
        return None

    def find_cold(self, query: RouteQuery) -> str | None:
        """Return a cold upstream for which a permit could be borrowed.

        None if a warm one is ready or no cold one fits.
        """
        pool_state = self.fleet.states_by_pool.get(query.pool)
        if pool_state is None or pool_state.ready or query.only:
            return None
        for name in itertools.islice(pool_state.cold, _MAX_BORROW_CANDIDATES):
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
        requested_at: float,
        now: float,
    ) -> Ticket | None:
        """Return a ticket under a loan, or None.

        The call must be sent in this iteration of the event loop.
        """
        node = self.fleet.nodes_by_name.get(name)
        if node is None or now >= requested_at + loan.valid_s:
            return None
        if now >= self.waiting.find_latest_start(query):
            return None
        self._sync(now)
        self.fleet.refresh(node, now)
        if node.placement is not Placement.COLD:
            return None
        pool_state = self.fleet.states_by_pool[query.pool]
        choice = Choice(node, ChoiceReason.BORROWED)
        return self._issue_ticket(choice, pool_state, now, is_borrowed=True)

    def release(self, ticket: Ticket, report: CallReport, now: float) -> None:
        """Release a ticket; releasing it again has no effect."""
        if self._tickets_by_number.pop(ticket.number, None) is None:
            return
        node = self.fleet.nodes_by_name.get(ticket.upstream.name)
        pool_state = self.fleet.states_by_pool[ticket.upstream.pool]
        pool_state.own_in_flight -= 1
        if node is None:
            return
        node.load.own_in_flight -= 1
        self._record_end(node, pool_state, ticket, report, now)
        self.observations.record_end(node, ticket, report, now)
        self.fleet.refresh(node, now)

    def tick(self, now: float) -> None:
        """Perform due work; called about ten times per second."""
        self.observations.detect_pause(now)
        self._sync(now)
        self.fleet.run_timers(now)
        for pool_state in self.fleet.states_by_pool.values():
            is_nonreporting = not pool_state.pool.reports_load
            # Only calls can prove a non-reporting upstream warm, so its
            # permits are requested even without demand.
            if (
                is_nonreporting
                or now - pool_state.last_demand_at
                < defaults.LEASE_REQUEST_KEEP_S
            ):
                self._request_leases(pool_state, now)
            self.waiting.wake(pool_state.pool.name)
            self.waiting.review(pool_state, now)
        if now - self._swept_at >= _SWEEP_S:
            self._swept_at = now
            self._sweep(now)

    # Queries.

    def shares_by_name(self) -> dict[str, int]:
        """Return this entry's calls in flight for each upstream with any."""
        shares: dict[str, int] = {}
        for ticket in self._tickets_by_number.values():
            name = ticket.upstream.name
            shares[name] = shares.get(name, 0) + 1
        return shares

    # Steps.

    def _sync(self, now: float) -> None:
        """Apply the changes of the directory."""
        self.fleet.sync_directory(now)
        for node in self.fleet.take_restarted():
            self.observations.record_restart(node, now)

    def _try_only(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Ticket | None:
        """Return a ticket for the only acceptable upstream, or None."""
        node = pool_state.nodes_by_name.get(query.only)
        if node is None:
            return None
        self.fleet.refresh(node, now)
        if not self.fleet.can_take_call(node):
            return None
        return self._issue_ticket(
            Choice(node, ChoiceReason.RESUMED), pool_state, now
        )

    def _issue_ticket(
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
        node.load.own_in_flight += 1
        pool_state.own_in_flight += 1
        node.breaker.record_sent(now)
        self.fleet.refresh(node, now)
        metrics.CHOSEN.inc(
            {'pool': pool_state.pool.name, 'reason': choice.reason.value}
        )
        if choice.is_affinity_broken:
            metrics.AFFINITY.inc({'result': 'broken'})
        return ticket

    def _record_end(
        self,
        node: Node,
        pool_state: PoolState,
        ticket: Ticket,
        report: CallReport,
        now: float,
    ) -> None:
        if node.breaker.record_end(report.end, now):
            state = node.breaker.state.value
            metrics.BREAKERS.inc({'pool': pool_state.pool.name, 'state': state})
        if report.end not in _MEASURED_ENDS or ticket.is_cold:
            return
        node.load.add_service_time(report.duration_s)
        pool_state.add_service_time(report.duration_s)
        review_outliers(pool_state, node, now)

    def _request_leases(self, pool_state: PoolState, now: float) -> None:
        """Request the leases of a pool's cold upstreams."""
        is_nonreporting = not pool_state.pool.reports_load
        requested = [
            *itertools.islice(pool_state.cold, _MAX_LEASE_REQUESTS),
            *itertools.islice(pool_state.permitted, _MAX_LEASE_REQUESTS),
        ]
        for name in requested:
            self.permits.request_lease(
                name, now, is_nonreporting=is_nonreporting
            )
            if self.permits.is_held(name, now):
                # A permit may have become free without an event, by time alone.
                self.fleet.refresh(pool_state.nodes_by_name[name], now)

    def _sweep(self, now: float) -> None:
        self.permits.sweep(now)
        self.fleet.decay_outliers(now)
        self.fleet.drop_stale_shares(now)
