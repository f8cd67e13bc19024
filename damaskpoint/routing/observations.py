"""Applies observations of upstreams' warmth and load to the routing state.

Observations are load reports, ends of calls and messages from peers.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.routing import metrics
from damaskpoint.routing.base import CallEnd
from damaskpoint.routing.lease_hooks import LeaseHooks
from damaskpoint.routing.report import LoadReport
from damaskpoint.routing.warmth import UnprovenReason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.routing.base import CallReport, Ticket
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.leases import LeaseWrite
    from damaskpoint.routing.nodes import Node
    from damaskpoint.routing.permits import PermitManager
    from damaskpoint.routing.ranks import EntryRanks
    from damaskpoint.routing.warmth import WarmthTracker

# Ends after which the call may still be running in the upstream.
_UNCONFIRMED_ENDS = frozenset(
    (
        CallEnd.BROKEN,
        CallEnd.TIMED_OUT,
        CallEnd.CANCELLED,
        CallEnd.MISMATCHED,
    )
)
_REASONS_BY_END = {
    CallEnd.BROKEN: UnprovenReason.BROKEN,
    CallEnd.UNREACHABLE: UnprovenReason.UNREACHABLE,
}
_PEER_REASONS = frozenset(
    (
        UnprovenReason.TOLD_BY_PEER,
        UnprovenReason.TOLD_COLD,
    )
)
# Higher ranks claim after the same delay as this one.
_MAX_RANK = 60


class UnprovenListener(abc.ABC):
    """Is notified at once when an upstream no longer counts as warm."""

    @abc.abstractmethod
    def on_unproven(self, name: str, incarnation: int) -> None:
        """Notify the peers; the incarnation is the last one observed."""


@final
class NullListener(UnprovenListener):
    """Does nothing; used while there are no peers."""

    def on_unproven(self, name: str, incarnation: int) -> None:
        """Do nothing."""


@final
class RoutingLeaseHooks(LeaseHooks):
    """Provides the leases with facts from the routing state."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        warmth: WarmthTracker,
        ranks: EntryRanks,
    ) -> None:
        """Query these objects."""
        self._directory = directory
        self._warmth = warmth
        self._ranks = ranks

    def find_incarnation(self, name: str) -> int:
        """Return the last incarnation observed in a response."""
        return self._warmth.find_incarnation(name)

    def find_settled_at(self, name: str, now: float) -> float:
        """Return the time from which no other entry can hold a proof."""
        upstream = self._directory.find(name)
        if upstream is not None:
            pool = self._directory.find_pool(upstream.pool)
            if pool is not None and not pool.reports_load:
                return now + self._warmth.bound_s
        return self._warmth.find_settled_at(name)

    def find_claim_delay(self, name: str) -> float:
        """Return the delay before this entry claims a lease (seconds)."""
        rank = min(self._ranks.find_rank(name), _MAX_RANK)
        return rank * defaults.CLAIM_RANK_DELAY_S

    def on_won(self, write: LeaseWrite) -> None:
        """Count a claim that took effect."""
        metrics.CLAIMS.inc({'result': 'won'})

    def on_lost(self, write: LeaseWrite) -> None:
        """Count a write that lost to another entry's write."""
        metrics.CLAIMS.inc({'result': f'{write.kind.value}_lost'})


class UpstreamObservations:
    """Applies responses, load reports and notices from peers."""

    def __init__(
        self,
        fleet: Fleet,
        warmth: WarmthTracker,
        permits: PermitManager,
        lag_s: float,
    ) -> None:
        """Start without a listener."""
        self.listener: UnprovenListener = NullListener()
        # Last responses of non-reporting upstreams, as reports, with the times
        # at which their tickets were issued.
        self.responses_by_name: dict[str, tuple[float, LoadReport]] = {}
        self._fleet = fleet
        self._warmth = warmth
        self._permits = permits
        self._lag_s = lag_s
        self._last_alive_at = float('-inf')
        self._ignore_peers_until = float('-inf')

    # Commands.

    def detect_pause(self, now: float) -> None:
        """Detect a pause of this entry's event loop.

        Messages that arrived during a pause are older than their ages state,
        so reports from peers are ignored for a short time after it.
        """
        if now - self._last_alive_at > defaults.ROUTING_STALL_S:
            self._ignore_peers_until = now + defaults.ROUTING_STALL_S
        self._last_alive_at = now

    def apply_report(
        self, name: str, report: LoadReport, requested_at: float, now: float
    ) -> None:
        """Apply a report that this entry requested at ``requested_at``."""
        node = self._fleet.nodes_by_name.get(name)
        if node is None:
            return
        if report.incarnation < self._warmth.find_incarnation(name):
            return
        node.load.update_report(report, requested_at)
        if report.is_warm:
            self._prove(
                node, report.incarnation, requested_at - self._lag_s, now
            )
        else:
            self._record_cold(
                node, report.incarnation, requested_at - self._lag_s, now
            )
        self._permits.apply_report(name, requested_at, report.in_flight)
        self._fleet.refresh(node, now)

    def receive_report(
        self, name: str, report: LoadReport, age_s: float, now: float
    ) -> None:
        """Apply a report from a peer; its age counts from its request."""
        self.detect_pause(now)
        node = self._fleet.nodes_by_name.get(name)
        if node is None or now < self._ignore_peers_until:
            return
        known = self._warmth.find_incarnation(name)
        if report.incarnation < known:
            return
        requested_at = now - age_s
        if not node.load.update_report(report, requested_at):
            return
        if report.is_warm:
            self._prove(
                node, report.incarnation, requested_at - self._lag_s, now
            )
        elif not self._warmth.is_proved_after(name, now - age_s):
            reason = UnprovenReason.TOLD_COLD
            self._invalidate(node, report.incarnation, reason, now)
        self._fleet.refresh(node, now)

    def receive_unproven(self, name: str, incarnation: int, now: float) -> None:
        """Apply a peer's notice that an upstream is unproven."""
        node = self._fleet.nodes_by_name.get(name)
        if node is None:
            return
        self._invalidate(node, incarnation, UnprovenReason.TOLD_BY_PEER, now)
        self._fleet.refresh(node, now)

    def receive_shares(
        self,
        peer: str,
        counts_by_name: Mapping[str, int],
        age_s: float,
        now: float,
    ) -> None:
        """Apply a peer's numbers of calls in flight, by upstream."""
        for name, count in counts_by_name.items():
            node = self._fleet.nodes_by_name.get(name)
            if node is None:
                continue
            node.load.update_share(peer, count, now - age_s)
            self._fleet.refresh(node, now)

    def record_unreachable(self, name: str, now: float) -> None:
        """Record that an upstream refused the connection of a poll."""
        node = self._fleet.nodes_by_name.get(name)
        if node is None:
            return
        self._invalidate(node, None, UnprovenReason.UNREACHABLE, now)
        self._fleet.refresh(node, now)

    def record_restart(self, node: Node, now: float) -> None:
        """Record a restart that the platform's list shows."""
        known = self._warmth.find_incarnation(node.upstream.name)
        if known >= node.upstream.incarnation:
            return
        self._invalidate(node, None, UnprovenReason.RESTARTED, now)
        self._fleet.refresh(node, now)

    def record_end(
        self, node: Node, ticket: Ticket, report: CallReport, now: float
    ) -> None:
        """Record the end of a call and what it shows about warmth."""
        name = node.upstream.name
        if report.end in _UNCONFIRMED_ENDS:
            self._permits.record_unconfirmed_end(name, now)
        reason = _REASONS_BY_END.get(report.end)
        if reason is not None:
            self._invalidate(node, None, reason, now)
        incarnation = report.incarnation
        if incarnation is None:
            return
        if incarnation < self._warmth.find_incarnation(name):
            return
        if report.is_warm is None:
            if incarnation > self._warmth.find_incarnation(name):
                restarted = UnprovenReason.RESTARTED
                self._invalidate(node, incarnation, restarted, now)
            return
        if report.is_warm:
            self._prove(node, incarnation, ticket.issued_at, now)
        else:
            self._record_cold(node, incarnation, ticket.issued_at, now)
        pool_state = self._fleet.states_by_pool[node.upstream.pool]
        if not pool_state.pool.reports_load:
            shown = LoadReport(incarnation, report.is_warm, 0, 0)
            self.responses_by_name[name] = (ticket.issued_at, shown)

    # Steps.

    def _prove(
        self, node: Node, incarnation: int, proved_at: float, now: float
    ) -> None:
        name = node.upstream.name
        if not self._warmth.prove(name, incarnation, proved_at, now):
            return
        metrics.PROVEN.inc({'pool': node.upstream.pool})
        self._permits.release_lease(name)
        self._permits.set_settled_at(name, self._warmth.find_settled_at(name))

    def _record_cold(
        self, node: Node, incarnation: int, requested_at: float, now: float
    ) -> None:
        """Apply an upstream's own statement that it is cold."""
        name = node.upstream.name
        self._invalidate(node, incarnation, UnprovenReason.SAID_COLD, now)
        self._warmth.record_cold(name, requested_at, now)
        self._permits.set_settled_at(name, self._warmth.find_settled_at(name))

    def _invalidate(
        self,
        node: Node,
        incarnation: int | None,
        reason: UnprovenReason,
        now: float,
    ) -> None:
        name = node.upstream.name
        if not self._warmth.invalidate(name, incarnation, reason, now):
            return
        metrics.UNPROVEN.inc({'reason': reason.value})
        self._permits.set_settled_at(name, self._warmth.find_settled_at(name))
        if reason in _PEER_REASONS:
            return
        self.listener.on_unproven(name, self._warmth.find_incarnation(name))
