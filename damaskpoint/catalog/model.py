"""The configuration and the runners, as immutable data.

Times are in seconds, sizes in bytes. ``damaskpoint.platform`` parses the
platform's rows into these types; this module does not depend on the format.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

# The platform states that callers abandon a stream without a first event after
# the longest of a fixed time (seconds), a multiple of its objective and a
# multiple of its maximum event gap.
_MIN_STREAM_TIMEOUT_S: Final = 2.0
_OBJECTIVE_FACTOR: Final = 4.0
_EVENT_GAP_FACTOR: Final = 8.0
_MAX_DIGEST: Final = 0xFFFFFFFF


@final
class RequestKind(enum.Enum):
    """Whether requests of a route may be repeated."""

    # Idempotent: may run more than once.
    SAFE = 'safe'
    # Runs at most once.
    UNSAFE = 'unsafe'
    # An event stream; runs at most once unless it is resumable.
    STREAM = 'stream'


@final
@dataclass(frozen=True, slots=True)
class Stage:
    """Work that is done in pieces before a request's runner is called."""

    index: int
    service: str
    # Stages whose results each piece of this one takes as input.
    after: tuple[int, ...]
    # Approximate size of one piece's result.
    result_bytes: int


@final
@dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@final
@dataclass(frozen=True, slots=True)
class Route:
    """Targets and time limits for requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    # Time to the whole answer, or to a stream's first event, that earns full
    # credit.
    objective_s: float
    # 0 is the most urgent.
    priority: int
    targets: tuple[Target, ...]
    # Number of runners that one request may be sent to.
    max_attempts: int
    stages: tuple[Stage, ...] = ()
    # Whether requests are accepted without a key.
    is_public: bool = False
    is_resumable: bool = False
    # Longest time between events of a stream that earns full credit.
    max_event_gap_s: float = 0

    @property
    def caller_timeout_s(self) -> float:
        """Return how long callers wait for the answer.

        For a stream this is the time to its first event.
        """
        if self.kind is not RequestKind.STREAM:
            return self.timeout_s
        return max(
            _MIN_STREAM_TIMEOUT_S,
            self.objective_s * _OBJECTIVE_FACTOR,
            self.max_event_gap_s * _EVENT_GAP_FACTOR,
        )

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE

    @property
    def last_stages(self) -> tuple[Stage, ...]:
        """Return the stages whose results are inputs of the request's runner."""
        consumed: set[int] = set()
        for stage in self.stages:
            consumed.update(stage.after)
        last = []
        for stage in self.stages:
            if stage.index not in consumed:
                last.append(stage)
        return tuple(last)

    def depth(self, index: int) -> int:
        """Return the number of stages in the longest chain to a stage.

        The stage with this index is included.
        """
        stage = self.stages[index]
        return 1 + max((self.depth(item) for item in stage.after), default=0)

    def choose_service(self, request_id: str) -> str:
        """Return the target service, always the same for a request ID."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        digest = xxhash.xxh32_intdigest(request_id.encode())
        point = digest / (_MAX_DIGEST + 1) * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@final
@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of one runner of a model service."""

    slots: int
    memory_tokens: int


@final
@dataclass(frozen=True, slots=True)
class BatchLimits:
    """Capacity of one runner of a stage's service."""

    max_concurrent_calls: int
    max_pieces: int
    # A call takes about ``call_s``, plus ``piece_s`` for each of its pieces.
    call_s: float
    piece_s: float
    # Space for results on the runner, and how long it keeps a result.
    result_capacity_bytes: float
    result_ttl_s: float

    def estimate_call_s(self, pieces: float) -> float:
        """Return the approximate duration of a call with this many pieces."""
        return self.call_s + pieces * self.piece_s


@final
@dataclass(frozen=True, slots=True)
class Service:
    """A pool of interchangeable runners."""

    name: str
    health_path: str
    # Connections to one runner, from all callers together.
    max_connections: int
    # How long a runner is cold after its start.
    cold_s: float
    # Requests per second that a cold runner can handle.
    cold_per_s: float
    engine: EngineLimits | None = None
    batches: BatchLimits | None = None


@final
@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the time of a caller's request."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@final
@dataclass(frozen=True, slots=True)
class ClientAccount:
    """The client account that a key belongs to."""

    name: str
    # Overrides the route's priority unless it is None.
    priority: int | None = None


@final
@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the routes, services, limits and keys."""

    version: int
    # Longest prefix first.
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits
    accounts_by_key: Mapping[str, ClientAccount] = field(default_factory=dict)
    # Whether routes that are not public require a key, even if none is left.
    needs_keys: bool = False

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@final
@dataclass(frozen=True, slots=True)
class Runner:
    """A runner as it registered itself at one of its starts."""

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    # Remaining cold time when the runner wrote its entry.
    cold_left_s: float
    # Start time (Unix milliseconds); distinguishes starts of one name.
    started_ms: int = 0
    # Version of the software; empty if the entry has none.
    version: str = ''

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the runner listens on."""
        return (self.host, self.port)
