"""Moving estimates of how long stages take."""

from __future__ import annotations

from typing import Final, final

from damaskpoint.observe.state import StateSource

# Weight of one run in the EWMA, and step of a quantile as a share of it.
_EWMA_WEIGHT: Final = 0.05
_QUANTILE_STEP: Final = 0.1
_FAST_QUANTILE: Final = 0.25
_SLOW_QUANTILE: Final = 0.95
# Time without a run after which fast estimates halve (seconds). Without decay,
# an estimate that causes every request to be refused would never be updated.
_HALF_LIFE_S: Final = 5.0
# Runs before an estimate is used.
_MIN_RUNS: Final = 8
_HALF: Final = 0.5


@final
class StageEstimate:
    """Moving quantiles of one stage's time, in seconds.

    Each run moves a quantile by a step proportional to the EWMA of the
    times.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self._runs = 0
        self._fast_s = float(0)
        self._slow_s = float(0)
        self._mean_s = float(0)
        self._updated_at = float(0)

    def record(self, duration_s: float, now: float) -> None:
        """Record the time of one successful run."""
        if self._runs == 0:
            self._fast_s = duration_s
            self._slow_s = duration_s
            self._mean_s = duration_s
        self._runs += 1
        self._updated_at = now
        self._mean_s += _EWMA_WEIGHT * (duration_s - self._mean_s)
        step_s = _QUANTILE_STEP * self._mean_s
        self._fast_s = _step_quantile(
            self._fast_s, duration_s, _FAST_QUANTILE, step_s
        )
        self._slow_s = _step_quantile(
            self._slow_s, duration_s, _SLOW_QUANTILE, step_s
        )

    def fast_s(self, now: float) -> float:
        """Return the first quartile of the time, decayed; 0 if unknown."""
        if self._runs < _MIN_RUNS:
            return 0
        return self._fast_s * self._decay_factor(now)

    @property
    def slow_s(self) -> float:
        """Return the 95th percentile of the time; 0 if unknown.

        It does not decay: no request is refused because of it, and an
        estimate that shrank while the stage was idle would make the next
        runs appear slow.
        """
        if self._runs < _MIN_RUNS:
            return 0
        return max(self._fast_s, self._slow_s)

    def _decay_factor(self, now: float) -> float:
        periods = int((now - self._updated_at) / _HALF_LIFE_S)
        # Decays in whole half-lives, so that short pauses have no effect.
        return float(_HALF ** max(0, periods))


@final
class StageTimes(StateSource):
    """Time estimates by pipeline and stage name."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimates_by_stage: dict[tuple[str, str], StageEstimate] = {}

    def record(
        self, pipeline: str, stage: str, duration_s: float, now: float
    ) -> None:
        """Record the time in seconds of one successful run of a stage."""
        self.find(pipeline, stage).record(duration_s, now)

    def find(self, pipeline: str, stage: str) -> StageEstimate:
        """Return the estimate of a stage, creating it if necessary."""
        key = (pipeline, stage)
        estimate = self._estimates_by_stage.get(key)
        if estimate is None:
            estimate = StageEstimate()
            self._estimates_by_stage[key] = estimate
        return estimate

    def keep_only(self, pipelines: frozenset[str]) -> None:
        """Drop the estimates of all other pipelines."""
        for key in list(self._estimates_by_stage):
            if key[0] not in pipelines:
                self._estimates_by_stage.pop(key)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the estimates in seconds."""
        dumped: dict[str, object] = {}
        for (pipeline, stage), estimate in self._estimates_by_stage.items():
            dumped[f'{pipeline}/{stage}'] = {
                'fast_s': estimate.fast_s(now),
                'slow_s': estimate.slow_s,
            }
        return dumped


def _step_quantile(
    quantile_s: float, duration_s: float, quantile: float, step_s: float
) -> float:
    if duration_s > quantile_s:
        return quantile_s + step_s * quantile
    return max(float(0), quantile_s - step_s * (1 - quantile))
