"""Connects gossip to configuration, routing and admission."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.membership import facts
from damaskpoint.membership.gossip import MembershipListener
from damaskpoint.routing.directory import ZoneMark
from damaskpoint.routing.observations import UnprovenListener
from damaskpoint.routing.report import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.admission.controller import AdmissionController
    from damaskpoint.config.follower import ConfigurationFollower
    from damaskpoint.config.model import Configuration
    from damaskpoint.membership.peer_objects import PeerObjects
    from damaskpoint.membership.service import Membership
    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.routing.wiring import Routing


@final
class GossipListener(MembershipListener, UnprovenListener):
    """Applies facts received from peers, and publishes local facts."""

    def __init__(
        self,
        membership: Membership,
        follower: ConfigurationFollower,
        routing: Routing,
        admission: AdmissionController,
        peer_objects: PeerObjects,
        clock: Callable[[], float],
    ) -> None:
        """Connect these components."""
        self._membership = membership
        self._follower = follower
        self._routing = routing
        self._admission = admission
        self._peer_objects = peer_objects
        self._clock = clock

    # Local events.

    def prepare_round(self, now: float) -> None:
        """Publish local facts, and update what depends on the live peers."""
        self._publish_configuration(now)
        self._publish_marks()
        self._membership.publish_shares(self._routing.core.shares_by_name())
        self._membership.publish_loads(self._collect_loads(now))
        self._membership.publish_demands(
            facts.DemandFact(
                demand.account, demand.offered_per_s, demand.outstanding
            )
            for demand in self._admission.own_demands(now)
        )
        reach = self._membership.view.reach(now)
        self._follower.set_reachability(reach.reachable, reach.known)
        live = self._membership.live_peers(now)
        self._routing.ranks.update_entries(peer.name for peer in live)

    def on_instances(
        self, instances: tuple[ListedInstance, ...], read_at: float
    ) -> None:
        """Apply the platform's list, after the directory has applied it."""
        self._membership.apply_instances(instances)
        self._publish_marks()

    def on_configuration_in_force(self, configuration: Configuration) -> None:
        """Publish a version in force, after the other listeners applied it."""
        self._publish_configuration(self._clock())
        self._publish_marks()

    def on_unproven(self, name: str, incarnation: int) -> None:
        """Publish that an upstream is no longer considered warm."""
        kind = facts.MarkKind.UNPROVEN
        self._membership.publish_mark(kind, name, incarnation)

    # Facts received from peers.

    def on_configuration(
        self, fact: facts.ConfigurationFact, peer: facts.PeerFact, now: float
    ) -> None:
        """Offer a version to the configuration follower."""
        self._peer_objects.record_version(peer.name, fact.version)
        age_s = defaults.UNCONFIRMED_AGE_S
        if fact.confirmed_at is not None:
            age_s = now - fact.confirmed_at
        self._follower.handle_peer_claim(fact.version, fact.digest, age_s, now)

    def on_mark(self, mark: facts.Mark, now: float) -> None:
        """Apply a mark of an upstream or a zone to routing."""
        if mark.kind is facts.MarkKind.LEAVING:
            self._routing.directory.mark_leaving(
                mark.subject, mark.incarnation, now
            )
        elif mark.kind is facts.MarkKind.ZONE_OUT:
            self._routing.directory.apply_zone_mark(
                mark.subject, ZoneMark(mark.incarnation, is_out=True), now
            )
        elif mark.kind is facts.MarkKind.UNPROVEN:
            self._routing.core.observations.receive_unproven(
                mark.subject, mark.incarnation, now
            )

    def on_load(self, load: facts.LoadFact, now: float) -> None:
        """Pass the load report of an upstream to routing."""
        report = LoadReport(
            load.incarnation, load.is_warm, load.in_flight, load.limit
        )
        self._routing.core.observations.receive_report(
            load.upstream, report, now - load.measured_at, now
        )

    def on_shares(
        self, peer: str, shares: tuple[facts.ShareFact, ...], now: float
    ) -> None:
        """Pass a peer's calls in flight to routing."""
        counts_by_name = {share.upstream: share.in_flight for share in shares}
        self._routing.core.observations.receive_shares(
            peer, counts_by_name, 0, now
        )

    def on_paces(
        self, peer: str, paces: tuple[facts.PaceFact, ...], now: float
    ) -> None:
        """Do nothing: entries call the engines of a stage directly."""

    def on_pledges(
        self, peer: str, pledges: tuple[facts.PledgeFact, ...], now: float
    ) -> None:
        """Do nothing: entries call the engines of a stage directly."""

    def on_run_counts(
        self,
        peer: facts.PeerFact,
        counts: tuple[facts.RunCountFact, ...],
        now: float,
    ) -> None:
        """Do nothing: entries do not look for prompts that crash engines."""

    def on_rollouts(
        self,
        peer: facts.PeerFact,
        rollouts: tuple[facts.RolloutFact, ...],
        now: float,
    ) -> None:
        """Do nothing: versions are those of the configuration here."""

    # Helpers.

    def _publish_configuration(self, now: float) -> None:
        claim = self._follower.own_claim(now)
        if claim is None:
            return
        confirmed_at = None
        if claim.age_s < defaults.UNCONFIRMED_AGE_S:
            confirmed_at = now - claim.age_s
        self._membership.publish_configuration(
            facts.ConfigurationFact(claim.version, claim.digest, confirmed_at)
        )

    def _publish_marks(self) -> None:
        directory = self._routing.directory
        leaving = facts.MarkKind.LEAVING
        for name, leave_mark in directory.leave_marks_by_name.items():
            self._membership.publish_mark(leaving, name, leave_mark.incarnation)
        zone_out = facts.MarkKind.ZONE_OUT
        for zone, mark in directory.zone_marks_by_name.items():
            if mark.is_out:
                self._membership.publish_mark(zone_out, zone, mark.version)

    def _collect_loads(self, now: float) -> list[facts.LoadFact]:
        loads = []
        for polled in self._routing.poller.reports_to_share(now):
            report = polled.report
            loads.append(
                facts.LoadFact(
                    polled.name,
                    report.incarnation,
                    report.in_flight,
                    report.limit,
                    report.is_warm,
                    now - polled.age_s,
                )
            )
        return loads
