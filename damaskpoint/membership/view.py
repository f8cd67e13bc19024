"""What one process knows of the others, and what it tells of itself.

Events come in as commands with the present time; what is new comes out as
``News``. Merges are idempotent, commutative and monotonic: the order in
which messages arrive, and how often, does not change what is known.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.membership.facts import (
    ConfigurationFact,
    GossipMessage,
    LoadFact,
    Mark,
    MarkKind,
    PeerFact,
    Phase,
    Reach,
    ShareFact,
)
from damaskpoint.membership.marks import MarkTable
from damaskpoint.membership.peers import PeerTable
from damaskpoint.membership.reports import LoadTable, OwnWork, PeerWorkTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from damaskpoint.membership.facts import DemandFact, PaceFact, PledgeFact

# Tells of something new among many peers, as a multiple of log2 of their
# number: each peer then misses it with a chance that is negligible.
_TELLS_PER_DOUBLING: Final = 3
# Numbers of unproven notices that one start can use up in each millisecond.
_SEQUENCES_PER_START: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class News:
    """What a message told that was not known before."""

    sender: PeerFact
    configuration: ConfigurationFact | None
    marks: tuple[Mark, ...]
    loads: tuple[LoadFact, ...]
    # The sender's own; empty when a later message came first.
    shares: tuple[ShareFact, ...]
    paces: tuple[PaceFact, ...]
    pledges: tuple[PledgeFact, ...]
    changed_peers: tuple[PeerFact, ...]


@final
class View:
    """The state of membership of one process."""

    def __init__(self, own: PeerFact, timeout_s: float) -> None:
        """Start alone; ``timeout_s`` is the silence that ends liveness."""
        self._own = own
        self._sequence = own.start * _SEQUENCES_PER_START
        self.configuration: ConfigurationFact | None = None
        self.peers = PeerTable(own.name, timeout_s)
        self.marks = MarkTable()
        self.loads = LoadTable()
        self.work = PeerWorkTable()
        self.own_shares: OwnWork[ShareFact] = OwnWork()
        self.own_demands: OwnWork[DemandFact] = OwnWork()
        self.own_paces: OwnWork[PaceFact] = OwnWork()
        self.own_pledges: OwnWork[PledgeFact] = OwnWork()

    # Commands: what this process says of itself.

    def beat(self, now: float) -> None:
        """Begin a round of gossip."""
        self._own = replace(self._own, heartbeat=self._own.heartbeat + 1)
        self.marks.expire(now)
        self.loads.expire(now)
        live_names = frozenset(fact.name for fact in self.peers.live(now))
        self.work.expire(live_names, now)

    def set_phase(self, phase: Phase) -> None:
        """Tell how far the life of this process has come."""
        self._own = replace(
            self._own, phase=phase, heartbeat=self._own.heartbeat + 1
        )

    def publish_configuration(
        self, fact: ConfigurationFact, now: float
    ) -> bool:
        """Tell what is in force here; return whether it is a new version."""
        previous = self.configuration
        if previous is not None and fact.version < previous.version:
            return False
        is_new = previous is None or fact.version > previous.version
        if not is_new and not _is_confirmed_later(fact, previous):
            return False
        self.configuration = fact
        self.marks.supersede(fact.version, now)
        return is_new

    def publish_mark(
        self, kind: MarkKind, subject: str, incarnation: int, now: float
    ) -> bool:
        """Tell a mark that this process makes; return whether it is new."""
        origin = ''
        sequence = 0
        if kind is MarkKind.UNPROVEN:
            self._sequence += 1
            origin = self._own.name
            sequence = self._sequence
        mark = Mark(kind, subject, incarnation, now, origin, sequence)
        return self.marks.merge(mark, now, self.count_tells())

    def publish_loads(self, loads: Iterable[LoadFact], now: float) -> None:
        """Tell reports that this process got from upstreams itself."""
        for load in loads:
            self.loads.merge(load, now)

    def publish_shares(self, in_flight_by_upstream: Mapping[str, int]) -> None:
        """Tell the own calls in flight; those that ended are told as 0."""
        shares_by_upstream = {}
        for upstream, share in self.own_shares.facts_by_key.items():
            if share.in_flight:
                shares_by_upstream[upstream] = ShareFact(upstream, 0)
        for upstream, in_flight in in_flight_by_upstream.items():
            shares_by_upstream[upstream] = ShareFact(upstream, in_flight)
        self.own_shares.replace(shares_by_upstream)

    def publish_demands(self, demands: Iterable[DemandFact]) -> None:
        """Tell the own demand by client account."""
        self.own_demands.replace({demand.account: demand for demand in demands})

    def publish_paces(self, paces: Iterable[PaceFact]) -> None:
        """Tell what waits for the runners that this process batches for."""
        self.own_paces.replace({told.group: told for told in paces})

    def publish_pledges(self, pledges: Iterable[PledgeFact]) -> None:
        """Tell the pieces that the own requests still need."""
        self.own_pledges.replace({pledge.group: pledge for pledge in pledges})

    # Commands: what others say.

    def merge(self, message: GossipMessage, now: float) -> News:
        """Take over a message of a peer and return what was new."""
        tells = self.count_tells()
        changed = []
        for fact in (message.sender, *message.peers):
            self._defend_name(fact)
            if self.peers.merge(fact, now, tells):
                changed.append(fact)
        for beat in message.beats:
            self.peers.merge_beat(beat, now)
        new_marks = []
        for mark in message.marks:
            if self.marks.merge(mark, now, tells):
                new_marks.append(mark)
        new_loads = []
        for load in message.loads:
            if self.loads.merge(load, now):
                new_loads.append(load)
        is_in_order = self.work.merge(message, now)
        return News(
            message.sender,
            message.configuration,
            tuple(new_marks),
            tuple(new_loads),
            message.shares if is_in_order else (),
            message.paces if is_in_order else (),
            message.pledges if is_in_order else (),
            tuple(changed),
        )

    # Queries.

    @property
    def own(self) -> PeerFact:
        """Return what this process says of itself."""
        return self._own

    def live_peers(self, now: float) -> tuple[PeerFact, ...]:
        """Return the other processes that are heard of."""
        return self.peers.live(now)

    def reach(self, now: float) -> Reach:
        """Return how many of the peers last known are heard of."""
        return Reach(
            len(self.peers.live_addresses(now)),
            len(self.peers.known_addresses()),
        )

    def count_tells(self) -> int:
        """Return in how many datagrams something new is told."""
        peer_count = max(1, len(self.peers))
        if peer_count <= defaults.FULL_MESH_PEERS:
            return 2 * peer_count
        return _TELLS_PER_DOUBLING * math.ceil(math.log2(peer_count))

    def _defend_name(self, fact: PeerFact) -> None:
        """Take a higher start than any that goes round under this name.

        An earlier start of this name may have had a clock that was ahead.
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
            self._sequence, self._own.start * _SEQUENCES_PER_START
        )


def _is_confirmed_later(
    fact: ConfigurationFact, previous: ConfigurationFact | None
) -> bool:
    if previous is None or previous.confirmed_at is None:
        return True
    if fact.confirmed_at is None:
        return False
    return fact.confirmed_at > previous.confirmed_at
