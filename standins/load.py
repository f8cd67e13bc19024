"""The load of an upstream: its warmth, load reports and usage counts."""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """The contents of a load report."""

    incarnation: int
    is_cold: bool
    in_flight: int
    limit: int
    units_done: int


class Warmth:
    """Whether an upstream is cold, and when it becomes warm."""

    def __init__(self, after_s: float, after_calls: int, now: float) -> None:
        """Start cold; warm after ``after_s`` seconds or ``after_calls`` calls."""
        self._after_s = after_s
        self._after_calls = after_calls
        self._is_cold = True
        self._warm_at = now + after_s
        self._calls = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold at ``now``."""
        if self._is_cold and now >= self._warm_at:
            self._is_cold = False
        return self._is_cold

    def reset(self, is_cold: bool, now: float) -> None:
        """Set the state and restart the warm-up from ``now``."""
        self._is_cold = is_cold
        self._warm_at = now + self._after_s
        self._calls = 0

    def count_call(self) -> None:
        """Count a call that ran to the end."""
        self._calls += 1
        if self._calls == self._after_calls:
            self._is_cold = False


class Usage:
    """Counts of executed work, whether or not its answer was delivered."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.calls_by_stage: collections.Counter[str] = collections.Counter()
        self.units_by_stage: collections.Counter[str] = collections.Counter()
        # Calls that arrived above the limit of a cold upstream.
        self.cold_overshoots = 0
        self.breaks = 0

    def encode(self) -> dict[str, object]:
        """Return the counts as JSON-serializable data."""
        return {
            'calls_by_stage': dict(self.calls_by_stage),
            'units_by_stage': dict(self.units_by_stage),
            'cold_overshoots': self.cold_overshoots,
            'breaks': self.breaks,
        }

    def count(self, call_fields: dict[str, object], units: int) -> None:
        """Count a call that has ended, complete or cancelled."""
        stage = str(call_fields.get('kind', 'service'))
        self.calls_by_stage[stage] += 1
        self.units_by_stage[stage] += units


class LoadHistory:
    """The recent loads, so that reports can lag."""

    def __init__(self, lag_s: float) -> None:
        """Start empty; reports lag by ``lag_s``."""
        self._lag_s = lag_s
        # Times and loads, oldest first.
        self._loads: list[tuple[float, LoadSnapshot]] = []

    def record(self, load: LoadSnapshot, now: float) -> None:
        """Add a load, and discard those too old for any later report."""
        self._loads.append((now, load))
        first_kept = 0
        for position, (recorded_at, _load) in enumerate(self._loads):
            if recorded_at <= now - self._lag_s:
                first_kept = position
        self._loads = self._loads[first_kept:]

    def reported(self) -> LoadSnapshot:
        """Return the load of ``lag_s`` ago, or the oldest one recorded."""
        return self._loads[0][1]
