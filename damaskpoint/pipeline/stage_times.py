"""How long stages take, learned from those that ran."""

from __future__ import annotations

from typing import Final, final

from damaskpoint.observe.state import StateSource

# Weight of one run in the mean deviation, and step of a quantile.
_MEAN_WEIGHT: Final = 0.05
_QUANTILE_STEP: Final = 0.1
_FAST: Final = 0.25
_SLOW: Final = 0.95
# Time without a run after which estimates halve (seconds), so that an
# estimate that refuses every request does not stand for ever.
_HALF_LIFE_S: Final = 5.0
# Runs before an estimate counts.
_LEAST_RUNS: Final = 8
_HALF: Final = 0.5


@final
class StageEstimate:
    """Moving quantiles of one stage's time, in seconds."""

    def __init__(self) -> None:
        """Know nothing."""
        self._runs = 0
        self._fast_s = float(0)
        self._slow_s = float(0)
        self._scale_s = float(0)
        self._updated_at = float(0)

    def record(self, duration_s: float, now: float) -> None:
        """Learn from one run that succeeded."""
        if self._runs == 0:
            self._fast_s = duration_s
            self._slow_s = duration_s
            self._scale_s = duration_s
        self._runs += 1
        self._updated_at = now
        self._scale_s += _MEAN_WEIGHT * (duration_s - self._scale_s)
        step_s = _QUANTILE_STEP * self._scale_s
        self._fast_s = _move(self._fast_s, duration_s, _FAST, step_s)
        self._slow_s = _move(self._slow_s, duration_s, _SLOW, step_s)

    def fast_s(self, now: float) -> float:
        """Return the time that one run in four beats; 0 if unknown."""
        if self._runs < _LEAST_RUNS:
            return 0
        return self._fast_s * self._fade(now)

    @property
    def slow_s(self) -> float:
        """Return the time that one run in twenty exceeds; 0 if unknown.

        It does not fade: it refuses nothing, and an estimate that falls
        while nothing runs would call the next runs slow.
        """
        if self._runs < _LEAST_RUNS:
            return 0
        return max(self._fast_s, self._slow_s)

    def _fade(self, now: float) -> float:
        periods = int((now - self._updated_at) / _HALF_LIFE_S)
        # The power of a whole number, so that short pauses change nothing.
        return float(_HALF ** max(0, periods))


@final
class StageTimes(StateSource):
    """Estimates by stage; a stage is named by its pipeline and its name."""

    def __init__(self) -> None:
        """Know nothing."""
        self._estimates_by_stage: dict[tuple[str, str], StageEstimate] = {}

    def record(
        self, pipeline: str, stage: str, duration_s: float, now: float
    ) -> None:
        """Learn from one run of a stage that succeeded."""
        self.find(pipeline, stage).record(duration_s, now)

    def find(self, pipeline: str, stage: str) -> StageEstimate:
        """Return the estimate of a stage; one that knows nothing if new."""
        key = (pipeline, stage)
        estimate = self._estimates_by_stage.get(key)
        if estimate is None:
            estimate = StageEstimate()
            self._estimates_by_stage[key] = estimate
        return estimate

    def keep_only(self, pipelines: frozenset[str]) -> None:
        """Forget the stages of pipelines that are gone."""
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


def _move(
    quantile_s: float, duration_s: float, rank: float, step_s: float
) -> float:
    if duration_s > quantile_s:
        return quantile_s + step_s * rank
    return max(float(0), quantile_s - step_s * (1 - rank))
