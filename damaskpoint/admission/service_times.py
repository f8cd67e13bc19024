"""Estimates service times from measurements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

from damaskpoint import defaults

# EWMA weights of a new measurement in the mean and in the deviation.
_MEAN_WEIGHT: Final = 0.1
_DEVIATION_WEIGHT: Final = 0.2


@final
@dataclass(slots=True)
class _TargetTimes:
    """EWMA of the service time of one target, in seconds."""

    mean_s: float
    deviation_s: float
    measured_at: float
    count: int = 1


@final
@dataclass(frozen=True, slots=True)
class ServiceEstimate:
    """Expected service time of a request, in seconds without its wait."""

    mean_s: float
    deviation_s: float

    @property
    def lower_s(self) -> float:
        """Return a lower estimate: few requests take less."""
        return max(0, self.mean_s - self.deviation_s)

    @property
    def upper_s(self) -> float:
        """Return an upper estimate: most requests take less."""
        return self.mean_s + self.deviation_s


@final
class ServiceTimes:
    """Measured service times by target; unmeasured targets are estimated at 0.

    Estimates shrink while a target is idle. Otherwise requests of a target that
    was once slow could be refused forever, as only new requests correct its
    time.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._times_by_target: dict[str, _TargetTimes] = {}
        self._running_by_target: dict[str, int] = {}

    def record_start(self, target: str) -> None:
        """Record the start of a request."""
        running = self._running_by_target.get(target, 0)
        self._running_by_target[target] = running + 1

    def record_end(
        self, target: str, seconds: float, now: float, *, is_complete: bool
    ) -> None:
        """Record the end of a request that was recorded at its start.

        An incomplete request would have taken longer than measured, so it is
        only counted if it took longer than the mean.
        """
        self._running_by_target[target] -= 1
        times = self._times_by_target.get(target)
        if times is None:
            if is_complete:
                self._times_by_target[target] = _TargetTimes(
                    seconds, seconds / 2, now
                )
            return
        times.measured_at = now
        error = seconds - times.mean_s
        if not is_complete and error <= 0:
            return
        deviation_error = abs(error) - times.deviation_s
        times.mean_s += error * _MEAN_WEIGHT
        times.deviation_s += deviation_error * _DEVIATION_WEIGHT
        times.count += 1

    def keep_only(self, targets: frozenset[str]) -> None:
        """Drop the measurements of all other targets."""
        for target in tuple(self._times_by_target):
            if target not in targets:
                self._times_by_target.pop(target)

    def estimate(self, target: str, now: float) -> ServiceEstimate:
        """Return the service time expected for a request of the target."""
        times = self._times_by_target.get(target)
        if times is None:
            return ServiceEstimate(0, 0)
        if self._running_by_target.get(target):
            return ServiceEstimate(times.mean_s, times.deviation_s)
        idle_s = now - times.measured_at
        full_weight_s = defaults.SERVICE_TIME_KEEP_S + times.mean_s
        if idle_s <= full_weight_s:
            return ServiceEstimate(times.mean_s, times.deviation_s)
        factor = full_weight_s / idle_s
        return ServiceEstimate(times.mean_s * factor, times.deviation_s)

    def dump(self, now: float) -> dict[str, object]:
        """Return mean, deviation and number of measurements by target."""
        dumped: dict[str, object] = {}
        for target, times in self._times_by_target.items():
            estimate = self.estimate(target, now)
            dumped[target] = {
                'mean_s': round(estimate.mean_s, 4),
                'deviation_s': round(estimate.deviation_s, 4),
                'count': times.count,
            }
        return dumped


def bound_retry_after(seconds: float) -> float:
    """Clamp a retry delay in seconds to the allowed range."""
    return min(
        max(seconds, defaults.MIN_RETRY_AFTER_S), defaults.MAX_RETRY_AFTER_S
    )
