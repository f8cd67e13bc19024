"""Whether a request can still meet its deadline, from measured times."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

from damaskpoint import defaults

# Weight of a new measurement in the mean and in the deviation.
_MEAN_WEIGHT: Final = 0.1
_DEVIATION_WEIGHT: Final = 0.2


@final
@dataclass(slots=True)
class _Times:
    """Service times of one target, in seconds."""

    mean_s: float
    deviation_s: float
    measured_at: float
    count: int = 1


@final
@dataclass(frozen=True, slots=True)
class ServiceEstimate:
    """What a request of a target takes once it runs, in seconds."""

    mean_s: float
    deviation_s: float

    @property
    def short_s(self) -> float:
        """Return a time that few requests undercut."""
        return max(0, self.mean_s - self.deviation_s)

    @property
    def long_s(self) -> float:
        """Return a time that most requests undercut."""
        return self.mean_s + self.deviation_s


@final
class ServiceTimes:
    """Measured service times by target; unknown ones count as 0.

    A measurement loses its weight while nothing runs, so that a target that
    was slow is tried again.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._times_by_target: dict[str, _Times] = {}
        self._running_by_target: dict[str, int] = {}

    def note_start(self, target: str) -> None:
        """Count a request that starts."""
        running = self._running_by_target.get(target, 0)
        self._running_by_target[target] = running + 1

    def note_end(
        self, target: str, seconds: float, now: float, *, is_complete: bool
    ) -> None:
        """Take the end of a request that was counted when it started.

        A request that ended early would have taken longer; it only counts
        when it took longer than the mean.
        """
        self._running_by_target[target] -= 1
        times = self._times_by_target.get(target)
        if times is None:
            if is_complete:
                self._times_by_target[target] = _Times(
                    seconds, seconds / 2, now
                )
            return
        times.measured_at = now
        error = seconds - times.mean_s
        if not is_complete and error <= 0:
            return
        change = abs(error) - times.deviation_s
        times.mean_s += error * _MEAN_WEIGHT
        times.deviation_s += change * _DEVIATION_WEIGHT
        times.count += 1

    def keep_only(self, targets: frozenset[str]) -> None:
        """Forget the targets that are no longer configured."""
        for target in tuple(self._times_by_target):
            if target not in targets:
                self._times_by_target.pop(target)

    def estimate(self, target: str, now: float) -> ServiceEstimate:
        """Return what a request of the target takes."""
        times = self._times_by_target.get(target)
        if times is None:
            return ServiceEstimate(0, 0)
        if self._running_by_target.get(target):
            return ServiceEstimate(times.mean_s, times.deviation_s)
        silent_s = now - times.measured_at
        keep_s = defaults.SERVICE_TIME_KEEP_S + times.mean_s
        if silent_s <= keep_s:
            return ServiceEstimate(times.mean_s, times.deviation_s)
        factor = keep_s / silent_s
        return ServiceEstimate(times.mean_s * factor, times.deviation_s)

    def dump(self, now: float) -> dict[str, object]:
        """Return the mean and the deviation by target."""
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
    """Return a time to come back within sensible bounds."""
    return min(
        max(seconds, defaults.MIN_RETRY_AFTER_S), defaults.MAX_RETRY_AFTER_S
    )
