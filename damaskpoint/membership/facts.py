"""The facts that entries exchange by gossip, as immutable data.

Times are readings of the local monotonic clock, in seconds. Between
processes they travel as ages, so clocks of two processes are never compared.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final


@final
class Phase(enum.IntEnum):
    """Lifecycle phase of a process."""

    STARTING = 1
    SERVING = 2
    LEAVING = 3
    # The process is exiting; no further facts of this start follow.
    GONE = 4


@final
@dataclass(frozen=True, slots=True)
class PeerFact:
    """A process of the system, as of one of its heartbeats."""

    name: str
    zone: str
    host: str
    peer_port: int
    # Increases with each start of the process of this name.
    start: int
    # Increases with each gossip round of that start.
    heartbeat: int
    phase: Phase
    # Pieces per second that its machine can batch; 0 if unknown.
    batch_rate: int = 0

    @property
    def address(self) -> Address:
        """Return the address for gossip and peer calls."""
        return Address(self.host, self.peer_port)

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key that orders facts of one name from old to new."""
        return (self.start, self.heartbeat, self.phase)


@final
@dataclass(frozen=True, slots=True, order=True)
class Address:
    """IP address and port (UDP and TCP) of a process for its peers."""

    host: str
    port: int


@final
@dataclass(frozen=True, slots=True)
class ConfigurationFact:
    """The version of the configuration that the sender has in force."""

    version: int
    # Hexadecimal.
    digest: str
    # When the platform last showed this version as the newest; None if it
    # never did.
    confirmed_at: float | None


@final
class MarkKind(enum.IntEnum):
    """What a mark excludes from routing, or suspects."""

    LEAVING = 1
    UNPROVEN = 2
    ZONE_OUT = 3
    # Runs whose prompts have the part have failed.
    SUSPECTED_PART = 4
    # Requests whose prompts have the part are refused.
    QUARANTINED_PART = 5
    # A run broke after the head of its answer.
    BROKEN_RUN = 6


@final
@dataclass(frozen=True, slots=True)
class Mark:
    """A fact that excludes an upstream, a zone or a prompt part.

    ``subject`` is the name of an upstream, of a zone for ``ZONE_OUT``, the id
    of a prompt part, or the service and all parts of a ``BROKEN_RUN``.
    ``incarnation`` is the upstream's, the version of the configuration that
    takes the zone out, the epoch of a suspicion, or the number of a
    quarantine. ``origin`` and ``sequence`` distinguish notices of unproven
    upstreams and of broken runs. For prompt parts ``sequence`` is the number
    of failures of a suspicion, or 1 for a quarantine that was lifted. Both are
    empty in marks of other kinds.
    """

    kind: MarkKind
    subject: str
    incarnation: int
    happened_at: float
    origin: str = ''
    sequence: int = 0

    @property
    def identity(self) -> MarkIdentity:
        """Return the key under which newer marks replace older ones."""
        return MarkIdentity(self.kind, self.subject, self.origin)

    @property
    def order(self) -> tuple[int, int]:
        """Return the key that orders marks of one identity."""
        return (self.incarnation, self.sequence)


@final
@dataclass(frozen=True, slots=True, order=True)
class MarkIdentity:
    """Key of a mark; the one with the highest order replaces the others."""

    kind: MarkKind
    subject: str
    origin: str


@final
@dataclass(frozen=True, slots=True)
class LoadFact:
    """An upstream's own report of its load."""

    upstream: str
    incarnation: int
    in_flight: int
    limit: int
    is_warm: bool
    measured_at: float


@final
@dataclass(frozen=True, slots=True)
class ShareFact:
    """The number of the sender's own calls in flight to an upstream."""

    upstream: str
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class DemandFact:
    """Demand of a client account at the sender."""

    account: str
    offered_per_s: float
    # Requests running or waiting; at a gateway pieces that they still need.
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class PaceFact:
    """Pace of a group of runners that the sender batches for."""

    group: str
    # Duration of calls as a multiple of the nominal duration.
    pace: float
    # Time in which a backlog is worked off, as a multiple of that of full calls
    # at all runners; 0 if it is that of single calls.
    drain_pace: float = 0
    # Mean time of the last orders, from their arrival to their last result
    # (seconds); 0 without recent ones.
    order_s: float = 0


@final
@dataclass(frozen=True, slots=True)
class PledgeFact:
    """Pieces that the sender's requests still need from a group."""

    group: str
    # For requests that can meet their objective.
    urgent: int
    # For requests that are served after those.
    deferred: int
    # Of the urgent ones, those of priority 1, of priority 2 and so on.
    less_urgent: tuple[int, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class RunCountFact:
    """Runs at a service that have begun their answers, since a start."""

    service: str
    begun: int


@final
@dataclass(frozen=True, slots=True)
class CapacityFact:
    """A runner's own report of its load, or its pace measured by the sender.

    A measured pace has neither busy requests nor slots.
    """

    runner: str
    # Requests that run or wait, of all callers.
    busy: int
    slots: int
    # How long work takes on its machine, 1 is usual.
    pace: float
    measured_at: float
    # Requests measured since they were last sent; 0 in a report.
    samples: int = 0


@final
@dataclass(frozen=True, slots=True)
class RolloutFact:
    """What the sender has counted of one rollout since its start.

    Responses of one route and zone by the old and the new version; in a report,
    which has no key, its requests at old runners and those of them that must
    not be repeated.
    """

    service: str
    # Start of the rollout by the store's clock; identifies it.
    started_ms: int
    key: str = ''
    old: int = 0
    old_bad: int = 0
    new: int = 0
    new_bad: int = 0
    new_broken: int = 0
    # In a report, whether the sender sends all requests to the new version.
    is_switched: bool = False
    # In a report, whether the sender knows the new version to be bad.
    is_blocked: bool = False

    @property
    def is_report(self) -> bool:
        """Return whether this is the report of the sender's requests."""
        return not self.key


@final
@dataclass(frozen=True, slots=True)
class HeartbeatFact:
    """A heartbeat of a start that the receiver already knows."""

    beat_id: int
    heartbeat: int


@final
@dataclass(frozen=True, slots=True)
class GossipMessage:
    """The content of one datagram."""

    sender: PeerFact
    configuration: ConfigurationFact | None = None
    peers: tuple[PeerFact, ...] = ()
    beats: tuple[HeartbeatFact, ...] = ()
    marks: tuple[Mark, ...] = ()
    loads: tuple[LoadFact, ...] = ()
    shares: tuple[ShareFact, ...] = ()
    demands: tuple[DemandFact, ...] = ()
    paces: tuple[PaceFact, ...] = ()
    pledges: tuple[PledgeFact, ...] = ()
    run_counts: tuple[RunCountFact, ...] = ()
    capacities: tuple[CapacityFact, ...] = ()
    rollouts: tuple[RolloutFact, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Reach:
    """How many of the known peers are live."""

    reachable: int
    known: int
