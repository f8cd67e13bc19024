"""What entries tell each other, as immutable data.

Times are readings of the holder's own monotonic clock, in seconds; between
processes they travel as ages and are never compared with another's clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final


@final
class Phase(enum.IntEnum):
    """How far the life of a process has come."""

    STARTING = 1
    SERVING = 2
    LEAVING = 3
    # The process ends now; no more is heard of this start.
    GONE = 4


@final
@dataclass(frozen=True, slots=True)
class PeerFact:
    """A process of the system, as of one of its heartbeats."""

    name: str
    zone: str
    host: str
    peer_port: int
    # Goes up with each start of the process of this name.
    start: int
    # Goes up with each round of gossip of that start.
    heartbeat: int
    phase: Phase

    @property
    def address(self) -> Address:
        """Return where the process hears gossip and peer calls."""
        return Address(self.host, self.peer_port)

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what makes one fact of a name newer than another."""
        return (self.start, self.heartbeat, self.phase)


@final
@dataclass(frozen=True, slots=True, order=True)
class Address:
    """The peers' side of a process: IP number and port (UDP and TCP)."""

    host: str
    port: int


@final
@dataclass(frozen=True, slots=True)
class ConfigurationFact:
    """A version of the configuration that its teller has in force."""

    version: int
    # Hexadecimal.
    digest: str
    # When the platform last showed this version as the newest; None for
    # never.
    confirmed_at: float | None


@final
class MarkKind(enum.IntEnum):
    """What a mark removes from the choices."""

    LEAVING = 1
    UNPROVEN = 2
    ZONE_OUT = 3


@final
@dataclass(frozen=True, slots=True)
class Mark:
    """A fact that only removes choices.

    ``subject`` is an upstream's name, or a zone's for ``ZONE_OUT``.
    ``incarnation`` is the upstream's, or the version of the configuration
    that takes the zone out. ``origin`` and ``sequence`` tell one unproven
    notice from another; other marks leave them empty.
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
        """Return what makes one mark of an identity newer."""
        return (self.incarnation, self.sequence)


@final
@dataclass(frozen=True, slots=True, order=True)
class MarkIdentity:
    """Names one mark; the highest incarnation and sequence holds."""

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
    """The teller's own calls in flight to an upstream."""

    upstream: str
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class DemandFact:
    """The teller's own demand of a client account."""

    account: str
    offered_per_s: float
    # Requests running or waiting.
    in_flight: int


@final
@dataclass(frozen=True, slots=True)
class PaceFact:
    """How fast a group of runners works that the teller batches for."""

    group: str
    # How long calls take, as a multiple of what they should.
    pace: float


@final
@dataclass(frozen=True, slots=True)
class PledgeFact:
    """Pieces that the teller's requests still need of a group."""

    group: str
    # Of requests that can meet their objective.
    urgent: int
    # Of requests that go behind those.
    deferred: int


@final
@dataclass(frozen=True, slots=True)
class HeartbeatFact:
    """A heartbeat of a start that the hearer already knows."""

    beat_id: int
    heartbeat: int


@final
@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What one datagram tells."""

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


@final
@dataclass(frozen=True, slots=True)
class Reach:
    """How many of the entries last known are still heard of."""

    reachable: int
    known: int
