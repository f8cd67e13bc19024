"""What is seen and heard of upstreams' warmth and load, put in force."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.routing import metrics
from damaskpoint.routing.base import CallEnd
from damaskpoint.routing.permit_events import PermitEvents
from damaskpoint.routing.report import LoadReport
from damaskpoint.routing.warmth import UnprovenReason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.routing.base import CallReport, Ticket
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.leases import LeaseWrite
    from damaskpoint.routing.nodes import Node
    from damaskpoint.routing.permits import PermitBook
    from damaskpoint.routing.ranks import EntryRanks
    from damaskpoint.routing.warmth import WarmthBook

# Ends after which the upstream is not known to have stopped the call.
_UNSEEN_ENDS = frozenset(
    (
        CallEnd.BROKEN,
        CallEnd.TIMED_OUT,
        CallEnd.CANCELLED,
        CallEnd.MISMATCHED,
    )
)
_DOUBTS_BY_END = {
    CallEnd.BROKEN: UnprovenReason.BROKEN,
    CallEnd.UNREACHABLE: UnprovenReason.UNREACHABLE,
}
_HEARD_REASONS = frozenset(
    (
        UnprovenReason.TOLD_BY_PEER,
        UnprovenReason.TOLD_COLD,
    )
)
# Ranks beyond this claim no later than it does.
_MOST_RANKS = 60


class UnprovenListener(abc.ABC):
    """Hears at once of each upstream that stopped to count as warm."""

    @abc.abstractmethod
    def on_unproven(self, name: str, incarnation: int) -> None:
        """Tell the peers; the incarnation is the one last seen."""


@final
class NoListener(UnprovenListener):
    """Stands in while there are no peers."""

    def on_unproven(self, name: str, incarnation: int) -> None:
        """Tell nobody."""


@final
class ClaimFacts(PermitEvents):
    """What the leases ask of the rest of routing."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        warmth: WarmthBook,
        ranks: EntryRanks,
    ) -> None:
        """Keep where the answers come from."""
        self._directory = directory
        self._warmth = warmth
        self._ranks = ranks

    def find_incarnation(self, name: str) -> int:
        """Return the incarnation that answers showed last."""
        return self._warmth.find_incarnation(name)

    def find_settled(self, name: str, now: float) -> float:
        """Return when no other entry can hold a proof any more."""
        upstream = self._directory.find(name)
        if upstream is not None:
            pool = self._directory.find_pool(upstream.pool)
            if pool is not None and not pool.reports_load:
                return now + self._warmth.bound_s
        return self._warmth.find_settled(name)

    def find_delay(self, name: str) -> float:
        """Return how much later than others this entry claims (seconds)."""
        rank = min(self._ranks.find_rank(name), _MOST_RANKS)
        return rank * defaults.CLAIM_RANK_DELAY_S

    def on_won(self, write: LeaseWrite) -> None:
        """Count a claim that took effect."""
        metrics.CLAIMS.inc({'result': 'won'})

    def on_lost(self, write: LeaseWrite) -> None:
        """Count a write that came after another entry's."""
        metrics.CLAIMS.inc({'result': f'{write.kind.value}_lost'})


class UpstreamObservations:
    """Puts answers, reports and notices in force."""

    def __init__(
        self,
        fleet: Fleet,
        warmth: WarmthBook,
        permits: PermitBook,
        lag_s: float,
    ) -> None:
        """Start with nobody to tell."""
        self.listener: UnprovenListener = NoListener()
        # What answers of upstreams that do not report showed last.
        self.answers_by_name: dict[str, tuple[float, LoadReport]] = {}
        self._fleet = fleet
        self._warmth = warmth
        self._permits = permits
        self._lag_s = lag_s
        self._alive_at = float('-inf')
        self._deaf_until = float('-inf')

    # Commands.

    def note_alive(self, now: float) -> None:
        """Notice a pause of the own loop.

        Messages that came during it are older than their ages say, so for
        a moment nothing is believed that a peer says of warmth.
        """
        if now - self._alive_at > defaults.PAUSE_BOUND_S:
            self._deaf_until = now + defaults.PAUSE_BOUND_S
        self._alive_at = now

    def note_report(
        self, name: str, report: LoadReport, asked_at: float, now: float
    ) -> None:
        """Take a report that this entry asked for at ``asked_at``."""
        node = self._fleet.nodes_by_name.get(name)
        if node is None:
            return
        if report.incarnation < self._warmth.find_incarnation(name):
            return
        node.load.update_report(report, asked_at)
        if report.is_warm:
            self._prove(node, report.incarnation, asked_at - self._lag_s, now)
        else:
            self._note_cold(
                node, report.incarnation, asked_at - self._lag_s, now
            )
        self._permits.note_report(name, asked_at, report.in_flight)
        self._fleet.refresh(node, now)

    def receive_report(
        self, name: str, report: LoadReport, age_s: float, now: float
    ) -> None:
        """Take a report from a peer; the age counts from its request."""
        self.note_alive(now)
        node = self._fleet.nodes_by_name.get(name)
        if node is None or now < self._deaf_until:
            return
        known = self._warmth.find_incarnation(name)
        if report.incarnation < known:
            return
        asked_at = now - age_s
        if not node.load.update_report(report, asked_at):
            return
        if report.is_warm:
            self._prove(node, report.incarnation, asked_at - self._lag_s, now)
        elif not self._warmth.is_proved_after(name, now - age_s):
            reason = UnprovenReason.TOLD_COLD
            self._doubt(node, report.incarnation, reason, now)
        self._fleet.refresh(node, now)

    def receive_unproven(self, name: str, incarnation: int, now: float) -> None:
        """Take a peer's notice."""
        node = self._fleet.nodes_by_name.get(name)
        if node is None:
            return
        self._doubt(node, incarnation, UnprovenReason.TOLD_BY_PEER, now)
        self._fleet.refresh(node, now)

    def receive_shares(
        self,
        peer: str,
        counts_by_name: Mapping[str, int],
        age_s: float,
        now: float,
    ) -> None:
        """Take a peer's calls in flight, by upstream."""
        for name, count in counts_by_name.items():
            node = self._fleet.nodes_by_name.get(name)
            if node is None:
                continue
            node.load.hear_share(peer, count, now - age_s)
            self._fleet.refresh(node, now)

    def note_unreachable(self, name: str, now: float) -> None:
        """Take a refused connection of a poll."""
        node = self._fleet.nodes_by_name.get(name)
        if node is None:
            return
        self._doubt(node, None, UnprovenReason.UNREACHABLE, now)
        self._fleet.refresh(node, now)

    def note_restarted(self, node: Node, now: float) -> None:
        """Take a higher incarnation from the platform's list."""
        known = self._warmth.find_incarnation(node.upstream.name)
        if known >= node.upstream.incarnation:
            return
        self._doubt(node, None, UnprovenReason.RESTARTED, now)
        self._fleet.refresh(node, now)

    def note_end(
        self, node: Node, ticket: Ticket, report: CallReport, now: float
    ) -> None:
        """Take what a call's end says of warmth."""
        name = node.upstream.name
        if report.end in _UNSEEN_ENDS:
            self._permits.note_unseen_end(name, now)
        reason = _DOUBTS_BY_END.get(report.end)
        if reason is not None:
            self._doubt(node, None, reason, now)
        incarnation = report.incarnation
        if incarnation is None:
            return
        if incarnation < self._warmth.find_incarnation(name):
            return
        if report.is_warm is None:
            if incarnation > self._warmth.find_incarnation(name):
                restarted = UnprovenReason.RESTARTED
                self._doubt(node, incarnation, restarted, now)
            return
        if report.is_warm:
            self._prove(node, incarnation, ticket.issued_at, now)
        else:
            self._note_cold(node, incarnation, ticket.issued_at, now)
        pool_state = self._fleet.states_by_pool[node.upstream.pool]
        if not pool_state.pool.reports_load:
            shown = LoadReport(incarnation, report.is_warm, 0, 0)
            self.answers_by_name[name] = (ticket.issued_at, shown)

    # Steps.

    def _prove(
        self, node: Node, incarnation: int, proved_at: float, now: float
    ) -> None:
        name = node.upstream.name
        if not self._warmth.prove(name, incarnation, proved_at, now):
            return
        metrics.PROVEN.inc({'pool': node.upstream.pool})
        self._permits.give_up(name)
        self._permits.note_settled(name, self._warmth.find_settled(name))

    def _note_cold(
        self, node: Node, incarnation: int, asked_at: float, now: float
    ) -> None:
        """Take the upstream's own word that it is cold."""
        name = node.upstream.name
        self._doubt(node, incarnation, UnprovenReason.SAID_COLD, now)
        self._warmth.note_cold(name, asked_at, now)
        self._permits.note_settled(name, self._warmth.find_settled(name))

    def _doubt(
        self,
        node: Node,
        incarnation: int | None,
        reason: UnprovenReason,
        now: float,
    ) -> None:
        name = node.upstream.name
        if not self._warmth.doubt(name, incarnation, reason, now):
            return
        metrics.UNPROVEN.inc({'reason': reason.value})
        self._permits.note_settled(name, self._warmth.find_settled(name))
        if reason in _HEARD_REASONS:
            return
        self.listener.on_unproven(name, self._warmth.find_incarnation(name))
