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
# Factor between paces from which runners of a service count as different.
_DIFFERENT_FACTOR: Final = 1.4
# A ratio this many deviations above the usual one is an episode of slowness.
# Each sample counts for a bounded deviation, so that episodes hardly widen
# the range themselves.
_EPISODE_DEVIATIONS: Final = 4.0
_MIN_DEVIATION: Final = 0.08
_MAX_DEVIATION_SAMPLE: Final = 0.3
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
    # Pace that the runner reported for that time; 1 without a report.
    reported_pace: float = 1


@final
@dataclass(slots=True)
class _RunnerPace:
    """What is known of one runner."""

    samples: int = 0
    pace: float = 1
    episode_pace: float = 1
    episode_at: float = float('-inf')


@final
@dataclass(slots=True)
class ServicePaces:
    """The paces of a service's runners, and how its times grow with load."""

    usual_s_by_route: dict[str, float] = field(default_factory=dict)
    paces_by_runner: dict[str, _RunnerPace] = field(default_factory=dict)
    usual_s: float = 0
    samples: int = 0
    weight: float = 0
    mean_load: float = 0
    mean_ratio: float = 1
    load_variance: float = 0
    covariance: float = 0
    deviation: float = _MAX_DEVIATION_SAMPLE

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
        if known.episode_pace <= 1:
            return known.pace
        left = math.exp((known.episode_at - now) / EPISODE_S)
        return known.pace * (1 + (known.episode_pace - 1) * left)

    def find_lasting(self, runner: str) -> float | None:
        """Return the pace without episodes; None before it is known."""
        known = self.paces_by_runner.get(runner)
        if known is None or known.samples < _MIN_SAMPLES:
            return None
        return known.pace

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


@final
class LatencyPaces:
    """Paces of runners by service; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._times_by_service: dict[str, ServicePaces] = {}

    # Commands.

    def record(self, sample: LatencySample, now: float) -> None:
        """Record the time of a request that succeeded."""
        times = self._times_by_service.setdefault(
            sample.service, ServicePaces()
        )
        usual_s = times.usual_s_by_route.get(sample.route, sample.took_s)
        took_s = sample.took_s / sample.reported_pace
        times.usual_s_by_route[sample.route] = usual_s + _USUAL_WEIGHT * (
            took_s - usual_s
        )
        weight = _USUAL_WEIGHT if times.samples else 1
        times.usual_s += weight * (took_s - times.usual_s)
        if usual_s <= 0:
            return
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, took_s / usual_s))
        expected = 1 + times.growth * sample.utilization
        expected /= 1 + times.growth * times.mean_load
        times.record_relation(sample.utilization, ratio)
        _record_pace(times, sample.runner, ratio / expected, now)

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
        return max(paces) >= min(paces) * _DIFFERENT_FACTOR

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
    known = times.paces_by_runner.setdefault(runner, _RunnerPace())
    known.samples += 1
    relative = ratio / known.pace
    if relative > math.exp(_EPISODE_DEVIATIONS * times.deviation):
        known.episode_pace = relative
        known.episode_at = now
    else:
        known.episode_pace = float(1)
    weight = max(_PACE_WEIGHT, 1 / known.samples)
    known.pace += weight * (ratio - known.pace)
    deviation = min(_MAX_DEVIATION_SAMPLE, abs(math.log(relative)))
    times.deviation = max(
        _MIN_DEVIATION,
        times.deviation + _USUAL_WEIGHT * (deviation - times.deviation),
    )
