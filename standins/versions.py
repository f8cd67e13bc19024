"""Versions of a simulated service, each good or bad in a declared way.

The route of a request is the part of its id before the first point.
"""

from __future__ import annotations

import collections
import enum
import random
import time
from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Final

# Period over which the load of a runner is counted (seconds).
LOAD_WINDOW_S: Final = 2.0


@enum.unique
class FaultKind(enum.Enum):
    """How a bad response is bad."""

    # Status 500, or failed pieces.
    FAILS = 'fails'
    # The connection closes before the end of the response.
    CUTS = 'cuts'
    SLOW = 'slow'


@dataclass(frozen=True, slots=True)
class VersionFault:
    """Which responses of a version are bad."""

    kind: FaultKind
    # Share of the responses that are bad while the conditions below hold.
    share: float = 1
    # Factor on the service time of a slow response.
    slowdown: float = 5
    # Time before which all responses are good (monotonic seconds).
    starts_at: float = 0
    # Requests that the runner must have received in the last 2 s.
    min_load: float = 0
    # The only route with bad responses; empty for all routes.
    route: str = ''


@dataclass(slots=True)
class ServiceVersion:
    """A version, and what all of its runners received and answered."""

    name: str = 'v1'
    fault: VersionFault | None = None
    rng: random.Random = field(default_factory=random.Random)
    # Times of all requests and of all bad responses (monotonic seconds).
    received_at: list[float] = field(default_factory=list)
    bad_at: list[float] = field(default_factory=list)
    running_ids: set[str] = field(default_factory=set)
    _times_by_runner: dict[str, list[float]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def begin(self, runner: str, request_ids: list[str]) -> FaultKind | None:
        """Record a request or call; return how its response will be bad."""
        now = time.monotonic()
        self.received_at.append(now)
        times = self._times_by_runner[runner]
        times.append(now)
        self.running_ids.update(request_ids)
        fault = self.fault
        if fault is None:
            return None
        is_bad = (
            now >= fault.starts_at
            and len(times) - bisect_left(times, now - LOAD_WINDOW_S)
            >= fault.min_load
            and fault.route in {'', *map(find_route, request_ids)}
            and self.rng.random() < fault.share
        )
        return fault.kind if is_bad else None

    def end(self, request_ids: list[str], kind: FaultKind | None) -> None:
        """Record the end of a response."""
        self.running_ids.difference_update(request_ids)
        if kind is not None:
            self.bad_at.append(time.monotonic())

    def slow_down(self, time_s: float, kind: FaultKind | None) -> float:
        """Return how long a response takes that usually takes ``time_s``."""
        if self.fault is not None and kind is FaultKind.SLOW:
            return time_s * self.fault.slowdown
        return time_s


def find_route(request_id: str) -> str:
    """Return the route that a request's id names."""
    return request_id.partition('.')[0]
