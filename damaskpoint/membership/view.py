"""One process's view of the membership, and what it publishes itself.

Events come in as commands with the current time; new facts come out as a
``MergeResult``. Merges are idempotent, commutative and monotonic: the
resulting state does not depend on the order of messages, nor on how often
each arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.membership.facts import (
    CapacityFact,
    ConfigurationFact,
    GossipMessage,
    LoadFact,
    Mark,
    MarkKind,
    PeerFact,
    Phase,
    Reach,
    RunCountFact,
    ShareFact,
)
from damaskpoint.membership.marks import MarkTable
from damaskpoint.membership.peers import PeerTable
from damaskpoint.membership.reports import LoadTable, OwnWork, PeerWorkTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from damaskpoint.membership.facts import (
        DemandFact,
        PaceFact,
        PledgeFact,
        RolloutFact,
    )

# Transmissions of a new fact among many peers, as a multiple of log2 of their
# number: the chance that a peer misses the fact is then negligible.
_TRANSMISSIONS_PER_DOUBLING: Final = 3
# Kinds of marks of which each process publishes its own.
_NOTICES: Final = frozenset((MarkKind.UNPROVEN, MarkKind.BROKEN_RUN))
# Notices that a process can publish per millisecond without reaching
# the sequence numbers of its next start.
_SEQUENCES_PER_MS: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class MergeResult:
    """The new facts of a message, and the sender's configuration."""

    sender: PeerFact
    configuration: ConfigurationFact | None
    marks: tuple[Mark, ...]
    loads: tuple[LoadFact, ...]
    # The sender's own, as are paces and pledges; empty if a newer message of
    # the sender was merged before.
    shares: tuple[ShareFact, ...]
    paces: tuple[PaceFact, ...]
    pledges: tuple[PledgeFact, ...]
    changed_peers: tuple[PeerFact, ...]
    # The sender's own; they only grow until its next start.
    run_counts: tuple[RunCountFact, ...]
    # New or not.
    capacities: tuple[CapacityFact, ...]
    # The sender's own; counts only grow until its next start.
    rollouts: tuple[RolloutFact, ...]


@final
class View:
    """The membership state of one process."""

    def __init__(self, own: PeerFact, timeout_s: float) -> None:
        """Create a view without peers.

        ``timeout_s`` is the silence after which a peer is no longer live.
        """
        self._own = own
        self._sequence = own.start * _SEQUENCES_PER_MS
        self.configuration: ConfigurationFact | None = None
        self.peers = PeerTable(own.name, timeout_s)
        self.marks = MarkTable()
        self.loads = LoadTable()
        self.work = PeerWorkTable()
        self.own_shares: OwnWork[ShareFact] = OwnWork()
        self.own_demands: OwnWork[DemandFact] = OwnWork()
        self.own_paces: OwnWork[PaceFact] = OwnWork()
        self.own_pledges: OwnWork[PledgeFact] = OwnWork()
        self.own_run_counts: tuple[RunCountFact, ...] = ()
        self.own_capacities: tuple[CapacityFact, ...] = ()
        self.own_rollouts: OwnWork[RolloutFact] = OwnWork()

    # Commands: facts of this process.

    def begin_round(self, now: float) -> None:
        """Advance the heartbeat and drop expired facts."""
        self._own = replace(self._own, heartbeat=self._own.heartbeat + 1)
        self.marks.expire(now)
        self.loads.expire(now)
        live_names = frozenset(fact.name for fact in self.peers.live(now))
        self.work.expire(live_names, now)

    def set_phase(self, phase: Phase) -> None:
        """Publish the lifecycle phase of this process."""
        self._own = replace(
            self._own, phase=phase, heartbeat=self._own.heartbeat + 1
        )

    def publish_configuration(
        self, fact: ConfigurationFact, now: float
    ) -> bool:
        """Publish the version in force here; return whether it is new."""
        previous = self.configuration
        if previous is not None and fact.version < previous.version:
            return False
        is_new = previous is None or fact.version > previous.version
        if not is_new and not _is_confirmed_later(fact, previous):
            return False
        self.configuration = fact
        self.marks.drop_superseded(fact.version, now)
        return is_new

    def publish_mark(
        self,
        kind: MarkKind,
        subject: str,
        incarnation: int,
        now: float,
        sequence: int = 0,
    ) -> bool:
        """Publish a mark made by this process; return whether it is new.

        Notices of unproven upstreams and of broken runs get their ``sequence``
        here.
        """
        origin = ''
        if kind in _NOTICES:
            self._sequence += 1
            origin = self._own.name
            sequence = self._sequence
        mark = Mark(kind, subject, incarnation, now, origin, sequence)
        return self.marks.merge(mark, now, self.count_transmissions())

    def publish_loads(self, loads: Iterable[LoadFact], now: float) -> None:
        """Publish load reports that upstreams sent to this process."""
        for load in loads:
            self.loads.merge(load, now)

    def publish_shares(self, in_flight_by_upstream: Mapping[str, int]) -> None:
        """Publish this process's calls in flight, by upstream.

        An upstream whose calls have all ended is published as 0 until the
        next call of this method.
        """
        shares_by_upstream = {}
        for upstream, share in self.own_shares.facts_by_key.items():
            if share.in_flight:
                shares_by_upstream[upstream] = ShareFact(upstream, 0)
        for upstream, in_flight in in_flight_by_upstream.items():
            shares_by_upstream[upstream] = ShareFact(upstream, in_flight)
        self.own_shares.replace(shares_by_upstream)

    def publish_demands(self, demands: Iterable[DemandFact]) -> None:
        """Publish the demand of each client account at this process."""
        self.own_demands.replace({demand.account: demand for demand in demands})

    def publish_paces(self, paces: Iterable[PaceFact]) -> None:
        """Publish the paces of the groups that this process batches for."""
        self.own_paces.replace({pace.group: pace for pace in paces})

    def publish_pledges(self, pledges: Iterable[PledgeFact]) -> None:
        """Publish the pieces that this process's requests still need."""
        self.own_pledges.replace({pledge.group: pledge for pledge in pledges})

    def publish_run_counts(self, counts: Iterable[RunCountFact]) -> None:
        """Publish how many runs of this process have begun their answers."""
        self.own_run_counts = tuple(counts)[: defaults.MAX_RUN_COUNTS]

    def publish_capacities(self, capacities: Iterable[CapacityFact]) -> None:
        """Publish or relay reports of runners, the most important first."""
        self.own_capacities = tuple(capacities)[: defaults.MAX_CAPACITIES]

    def publish_rollouts(self, rollouts: Iterable[RolloutFact]) -> None:
        """Publish what this process has counted of rollouts."""
        self.own_rollouts.replace(
            {f'{fact.service}/{fact.key}': fact for fact in rollouts}
        )

    # Commands: facts of other processes.

    def merge(self, message: GossipMessage, now: float) -> MergeResult:
        """Merge a peer's message and return the facts that were new."""
        transmissions = self.count_transmissions()
        changed = []
        for fact in (message.sender, *message.peers):
            self._refute_newer_fact(fact)
            if self.peers.merge(fact, now, transmissions):
                changed.append(fact)
        for beat in message.beats:
            self.peers.merge_heartbeat(beat, now)
        new_marks = []
        for mark in message.marks:
            if self.marks.merge(mark, now, transmissions):
                new_marks.append(mark)
        new_loads = []
        for load in message.loads:
            if self.loads.merge(load, now):
                new_loads.append(load)
        is_in_order = self.work.merge(message, now)
        return MergeResult(
            message.sender,
            message.configuration,
            tuple(new_marks),
            tuple(new_loads),
            message.shares if is_in_order else (),
            message.paces if is_in_order else (),
            message.pledges if is_in_order else (),
            tuple(changed),
            message.run_counts,
            message.capacities,
            message.rollouts,
        )

    # Queries.

    @property
    def own(self) -> PeerFact:
        """Return the fact that this process publishes of itself."""
        return self._own

    def live_peers(self, now: float) -> tuple[PeerFact, ...]:
        """Return the live peers."""
        return self.peers.live(now)

    def reach(self, now: float) -> Reach:
        """Return how many of the known peers are live."""
        return Reach(
            len(self.peers.live_addresses(now)),
            len(self.peers.known_addresses()),
        )

    def count_transmissions(self) -> int:
        """Return in how many datagrams a new fact is sent."""
        peer_count = max(1, len(self.peers))
        if peer_count <= defaults.FULL_MESH_PEERS:
            return 2 * peer_count
        return _TRANSMISSIONS_PER_DOUBLING * math.ceil(math.log2(peer_count))

    def _refute_newer_fact(self, fact: PeerFact) -> None:
        """Raise the own start above that of a newer fact of the own name.

        The clock of an earlier process of this name may have been ahead.
        """
        if fact.name != self._own.name:
            return
        if (fact.start, fact.heartbeat) <= (
            self._own.start,
            self._own.heartbeat,
        ):
            return
        self._own = replace(self._own, start=fact.start + 1)
        self._sequence = max(
            self._sequence, self._own.start * _SEQUENCES_PER_MS
        )


def _is_confirmed_later(
    fact: ConfigurationFact, previous: ConfigurationFact | None
) -> bool:
    if previous is None or previous.confirmed_at is None:
        return True
    if fact.confirmed_at is None:
        return False
    return fact.confirmed_at > previous.confirmed_at
