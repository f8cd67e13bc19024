"""Learns from latencies how fast the runners of a service are.

The pace of a runner is its time for a request as a multiple of the usual one
on the same route at the same load: 2 is half as fast. How latency grows with
load is learned for each service.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final, final

# Weight of one request in the usual time of a route and in a runner's pace.
_USUAL_WEIGHT: Final = 0.05
_PACE_WEIGHT: Final = 0.1
# Decay per request of the sums that relate latency to load.
_SLOPE_DECAY: Final = 0.99
# Requests before a learned figure is used, and the variance of the load
# before its effect is.
_MIN_SAMPLES: Final = 10
_MIN_SLOPE_SAMPLES: Final = 30
_MIN_LOAD_VARIANCE: Final = 0.002
# Growth of latency from an idle to a full runner: without measurements, and
# its bounds. It is never 0, so that of two equal runners the less busy one
# costs less.
_DEFAULT_GROWTH: Final = 1.0
_MIN_GROWTH: Final = 0.5
_MAX_GROWTH: Final = 4.0
_MIN_INTERCEPT: Final = 0.2
# Bounds of one measured ratio: a stall says little about the pace.
_MIN_RATIO: Final = 0.2
_MAX_RATIO: Final = 5.0
# Bound on what one peer may add at once.
_MAX_PEER_SAMPLES: Final = 20
# Standard error of a pace as a share of the deviation of one request, by the
# weight of the moving average; paces within so many errors of 1 count as 1.
_PACE_ERROR_SHARE: Final = 0.23
_LIKELY_ERRORS: Final = 2.5
_INITIAL_VARIANCE: Final = 1.0
# Factor between paces from which runners of a service count as different.
_DIFFERENT_FACTOR: Final = 1.4
# A ratio beyond this multiple of the range that holds four of five requests
# (both logarithmic) is an episode of slowness; step of the range per request,
# and its bounds. A range of most requests is not widened by the episodes.
_EPISODE_RANGES: Final = 3.0
_RANGE_SHARE: Final = 0.8
_RANGE_STEP: Final = 0.03
_MIN_RANGE: Final = 0.12
_INITIAL_RANGE: Final = 0.5
# Time constant in which an episode of slowness is assumed to end (seconds).
EPISODE_S: Final = 0.6
_DECIMALS: Final = 3


@final
@dataclass(frozen=True, slots=True)
class LatencySample:
    """The time of one request at a runner."""

    service: str
    route: str
    runner: str
    # Requests at the runner, per slot, when the request was sent.
    utilization: float
    took_s: float
    # Pace that the runner reported for that time; None without a report.
    reported_pace: float | None = None


@final
@dataclass(slots=True)
class RunnerPace:
    """What is known of one runner."""

    samples: int = 0
    pace: float = 1
    episode_pace: float = 1
    episode_at: float = float('-inf')

    def add(self, ratio: float, count: int) -> None:
        """Add requests with this mean ratio to the moving average."""
        self.samples += count
        weight = 1 - math.pow(1 - _PACE_WEIGHT, count)
        self.pace += max(weight, count / self.samples) * (ratio - self.pace)


@final
@dataclass(frozen=True, slots=True)
class MeasuredPace:
    """The mean pace of requests at one runner."""

    runner: str
    pace: float
    samples: int


@final
class UnsentPaces:
    """Requests measured at silent runners of which no peer knows yet."""

    def __init__(self) -> None:
        """Start without requests."""
        # Number and sum of the ratios.
        self._sums_by_runner: dict[str, tuple[int, float]] = {}

    def add(self, runner: str, ratio: float) -> None:
        """Add one request."""
        samples, total = self._sums_by_runner.get(runner, (0, float(0)))
        self._sums_by_runner[runner] = (samples + 1, total + ratio)

    def take(self, limit: int) -> list[MeasuredPace]:
        """Return and forget some runners, those longest unsent first."""
        taken = []
        for runner in tuple(self._sums_by_runner)[:limit]:
            samples, total = self._sums_by_runner.pop(runner)
            taken.append(MeasuredPace(runner, total / samples, samples))
        return taken


@final
@dataclass(slots=True)
class ServicePaces:
    """The paces of a service's runners, and how its times grow with load."""

    # Usual time (seconds) and number of requests.
    usual_by_route: dict[str, tuple[float, int]] = field(default_factory=dict)
    paces_by_runner: dict[str, RunnerPace] = field(default_factory=dict)
    usual_s: float = 0
    samples: int = 0
    weight: float = 0
    mean_load: float = 0
    mean_ratio: float = 1
    load_variance: float = 0
    covariance: float = 0
    usual_range: float = _INITIAL_RANGE
    # Mean squared deviation of a request's ratio from its runner's pace, and
    # the standard error of a pace that follows from it.
    variance: float = _INITIAL_VARIANCE
    error: float = _INITIAL_VARIANCE

    @property
    def idle_s(self) -> float:
        """Return the usual time of a request at an idle runner (seconds)."""
        return self.usual_s / (1 + self.growth * self.mean_load)

    @property
    def growth(self) -> float:
        """Return the added time of a full runner, as a share of an idle's."""
        if self.samples < _MIN_SLOPE_SAMPLES:
            return _DEFAULT_GROWTH
        if self.load_variance < _MIN_LOAD_VARIANCE:
            return _DEFAULT_GROWTH
        slope = self.covariance / self.load_variance
        idle = max(_MIN_INTERCEPT, self.mean_ratio - slope * self.mean_load)
        return min(_MAX_GROWTH, max(_MIN_GROWTH, slope / idle))

    def find(self, runner: str, now: float) -> float:
        """Return the pace of a runner, an average one without figures."""
        known = self.paces_by_runner.get(runner)
        if known is None or known.samples < _MIN_SAMPLES:
            return 1
        pace = self._discard_noise(known.pace)
        if known.episode_pace <= 1:
            return pace
        left = math.exp((known.episode_at - now) / EPISODE_S)
        return pace * (1 + (known.episode_pace - 1) * left)

    def find_lasting(self, runner: str) -> float | None:
        """Return the pace without episodes; None before it is known."""
        known = self.paces_by_runner.get(runner)
        if known is None or known.samples < _MIN_SAMPLES:
            return None
        return self._discard_noise(known.pace)

    def record_relation(self, load: float, ratio: float) -> None:
        """Update how the time of a request depends on the load."""
        self.samples += 1
        self.weight = self.weight * _SLOPE_DECAY + 1
        share = 1 / self.weight
        load_change = load - self.mean_load
        ratio_change = ratio - self.mean_ratio
        self.mean_load += share * load_change
        self.mean_ratio += share * ratio_change
        kept = 1 - share
        self.load_variance = kept * (
            self.load_variance + share * load_change * load_change
        )
        self.covariance = kept * (
            self.covariance + share * load_change * ratio_change
        )

    def record_usual(self, route: str, took_s: float) -> float:
        """Update the usual time of a route and return the one before."""
        usual_s, count = self.usual_by_route.get(route, (took_s, 0))
        weight = max(_USUAL_WEIGHT, 1 / (count + 1))
        self.usual_by_route[route] = (
            usual_s + weight * (took_s - usual_s),
            count + 1,
        )
        return usual_s

    def find_or_create(self, runner: str) -> RunnerPace:
        """Return the figures of a runner."""
        return self.paces_by_runner.setdefault(runner, RunnerPace())

    def record_spread(self, change: float) -> None:
        """Update how much the times of requests at one runner vary."""
        weight = max(_USUAL_WEIGHT, 1 / (self.samples + 1))
        self.variance += weight * (change * change - self.variance)
        self.error = math.sqrt(self.variance) * _PACE_ERROR_SHARE

    def _discard_noise(self, pace: float) -> float:
        """Return a pace nearer to 1 by its likely error."""
        noise = _LIKELY_ERRORS * self.error
        if pace > 1:
            return max(float(1), pace - noise)
        return min(float(1), pace + noise)


@final
class LatencyPaces:
    """Paces of runners by service; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._times_by_service: dict[str, ServicePaces] = {}
        self._unsent = UnsentPaces()

    # Commands.

    def record(self, sample: LatencySample, now: float) -> None:
        """Record the time of a request that succeeded."""
        times = self._times_by_service.setdefault(
            sample.service, ServicePaces()
        )
        took_s = sample.took_s / (sample.reported_pace or 1)
        usual_s = times.record_usual(sample.route, took_s)
        weight = _USUAL_WEIGHT if times.samples else 1
        times.usual_s += weight * (took_s - times.usual_s)
        if usual_s <= 0:
            return
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, took_s / usual_s))
        expected = 1 + times.growth * sample.utilization
        expected /= 1 + times.growth * times.mean_load
        times.record_relation(sample.utilization, ratio)
        _record_pace(times, sample.runner, ratio / expected, now)
        if sample.reported_pace is None:
            self._unsent.add(sample.runner, ratio / expected)

    def apply_peer(
        self, service: str, runner: str, pace: float, samples: int
    ) -> None:
        """Add the requests that a peer has measured at a runner."""
        count = min(samples, _MAX_PEER_SAMPLES)
        pace = min(_MAX_RATIO, max(_MIN_RATIO, pace))
        times = self._times_by_service.setdefault(service, ServicePaces())
        times.find_or_create(runner).add(pace, count)

    def take_unsent(self, limit: int) -> list[MeasuredPace]:
        """Return what was measured at silent runners, each request once."""
        return self._unsent.take(limit)

    def forget_except(self, runners: frozenset[str]) -> None:
        """Drop the figures of all other runners."""
        for times in self._times_by_service.values():
            for name in tuple(times.paces_by_runner):
                if name not in runners:
                    times.paces_by_runner.pop(name)

    # Queries.

    def find_service(self, service: str) -> ServicePaces:
        """Return the figures of a service, empty ones if there are none."""
        return self._times_by_service.get(service) or ServicePaces()

    def are_different(self, service: str, now: float) -> bool:
        """Return whether the runners of a service differ in their pace."""
        times = self.find_service(service)
        paces = [
            times.find(name, now)
            for name, known in times.paces_by_runner.items()
            if known.samples >= _MIN_SAMPLES
        ]
        if not paces:
            return False
        least = min(paces)
        return max(paces) >= least * _DIFFERENT_FACTOR + 3 * times.error

    def dump(self) -> dict[str, object]:
        """Return what is known of each service and its runners."""
        dumped: dict[str, object] = {}
        for service, times in self._times_by_service.items():
            dumped[service] = {
                'usual_s': round(times.usual_s, _DECIMALS),
                'growth': round(times.growth, _DECIMALS),
                'samples': times.samples,
                'pace_by_runner': {
                    name: round(known.pace, _DECIMALS)
                    for name, known in times.paces_by_runner.items()
                },
            }
        return dumped


def _record_pace(
    times: ServicePaces, runner: str, ratio: float, now: float
) -> None:
    known = times.find_or_create(runner)
    relative = ratio / known.pace
    deviation = math.log(relative)
    known.episode_pace = float(1)
    if deviation > _EPISODE_RANGES * times.usual_range:
        known.episode_pace = relative
        known.episode_at = now
    times.record_spread(ratio - known.pace)
    step = _RANGE_SHARE - int(abs(deviation) <= times.usual_range)
    times.usual_range = max(_MIN_RANGE, times.usual_range + _RANGE_STEP * step)
    known.add(ratio, 1)
