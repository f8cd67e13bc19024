"""A version of the configuration, and a runner, as immutable data.

Times are in seconds, sizes in bytes. ``damaskpoint.platform`` reads these
types from the platform's rows; nothing here knows how they are written.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

# Callers give up a stream without its first event after the longest of a
# fixed time (seconds), of multiples of its objective and of its pauses, as
# the platform states.
_STREAM_PATIENCE_S: Final = 2.0
_OBJECTIVE_PATIENCE: Final = 4.0
_PAUSE_PATIENCE: Final = 8.0
_LARGEST_DIGEST: Final = 0xFFFFFFFF


@final
class RequestKind(enum.Enum):
    """What may be repeated of the requests of a route."""

    # Idempotent: may run more than once.
    SAFE = 'safe'
    # Runs at most once.
    UNSAFE = 'unsafe'
    # A series of events; runs at most once unless it may be resumed.
    STREAM = 'stream'


@final
@dataclass(frozen=True, slots=True)
class Stage:
    """Work that is done in pieces before a request's runner is called."""

    index: int
    service: str
    # Stages whose results each piece of this one takes as input.
    after: tuple[int, ...]
    # Approximate size of the result of one piece.
    result_bytes: int


@final
@dataclass(frozen=True, slots=True)
class Target:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@final
@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and within what time."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    # Time to the whole answer, or a stream's first event, for full credit.
    objective_s: float
    # 0 is the most urgent.
    priority: int
    targets: tuple[Target, ...]
    # Runners that one request may be sent to.
    max_attempts: int
    stages: tuple[Stage, ...] = ()
    # Whether requests need no key.
    is_public: bool = False
    is_resumable: bool = False
    # Longest pause between the events of a stream for full credit.
    max_event_gap_s: float = 0

    @property
    def caller_timeout_s(self) -> float:
        """Return how long callers wait for the first event of a stream."""
        if self.kind is not RequestKind.STREAM:
            return self.timeout_s
        return max(
            _STREAM_PATIENCE_S,
            self.objective_s * _OBJECTIVE_PATIENCE,
            self.max_event_gap_s * _PAUSE_PATIENCE,
        )

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE

    @property
    def last_stages(self) -> tuple[Stage, ...]:
        """Return the stages whose results the request's runner takes."""
        followed: set[int] = set()
        for stage in self.stages:
            followed.update(stage.after)
        last = []
        for stage in self.stages:
            if stage.index not in followed:
                last.append(stage)
        return tuple(last)

    def depth(self, index: int) -> int:
        """Return the number of stages in the longest chain up to one."""
        stage = self.stages[index]
        return 1 + max((self.depth(item) for item in stage.after), default=0)

    def choose_service(self, request_id: str) -> str:
        """Return the target that this request goes to, always the same."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        digest = xxhash.xxh32_intdigest(request_id.encode())
        point = digest / (_LARGEST_DIGEST + 1) * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@final
@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one runner of a model service bears."""

    slots: int
    memory_tokens: int


@final
@dataclass(frozen=True, slots=True)
class BatchLimits:
    """What one runner of a stage's service bears."""

    max_concurrent_calls: int
    max_pieces: int
    # A call takes about ``call_s`` and ``piece_s`` for each of its pieces.
    call_s: float
    piece_s: float
    # Room for results, and how long a result is kept.
    result_capacity_bytes: float
    result_ttl_s: float

    def estimate_call_s(self, pieces: float) -> float:
        """Return about how long a call of this many pieces takes."""
        return self.call_s + pieces * self.piece_s


@final
@dataclass(frozen=True, slots=True)
class Service:
    """A pool of equal runners."""

    name: str
    health_path: str
    # Connections to one runner, all callers together.
    max_connections: int
    # A runner that has just started is cold for this long.
    cold_s: float
    # Requests that a cold runner bears each second.
    cold_per_s: float
    engine: EngineLimits | None = None
    batches: BatchLimits | None = None


@final
@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@final
@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Who holds a key."""

    name: str
    # Goes before the route's; None to take the route's.
    priority: int | None = None


@final
@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of routes, services, limits and keys."""

    version: int
    # Longest prefix first.
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits
    accounts_by_key: Mapping[str, ClientAccount] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def needs_keys(self) -> bool:
        """Return whether requests of routes that are not public need keys."""
        return bool(self.accounts_by_key)


@final
@dataclass(frozen=True, slots=True)
class Runner:
    """One start of one runner, as it registered itself."""

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    # How much longer the runner was cold when it wrote this.
    cold_left_s: float
    # When it started (Unix milliseconds); tells starts of one name apart.
    started_ms: int = 0

    @property
    def address(self) -> tuple[str, int]:
        """Return where the runner listens."""
        return (self.host, self.port)
