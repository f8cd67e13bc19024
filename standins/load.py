"""The load of an upstream: its warmth, its reports, what it has run."""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """What a load report says."""

    incarnation: int
    is_cold: bool
    in_flight: int
    limit: int
    units_done: int


class Warmth:
    """Whether an upstream is cold, and when it turns warm."""

    def __init__(self, after_s: float, after_calls: int, now: float) -> None:
        """Start cold; after so many seconds or calls it is warm."""
        self._after_s = after_s
        self._after_calls = after_calls
        self._is_cold = True
        self._warms_at = now + after_s
        self._calls = 0

    def is_cold(self, now: float) -> bool:
        """Tell whether it is cold, after the time that passed."""
        if self._is_cold and now >= self._warms_at:
            self._is_cold = False
        return self._is_cold

    def turn(self, is_cold: bool, now: float) -> None:
        """Turn cold, from now on, or warm."""
        self._is_cold = is_cold
        self._warms_at = now + self._after_s
        self._calls = 0

    def count_call(self) -> None:
        """Count a call that ran to its end."""
        self._calls += 1
        if self._calls == self._after_calls:
            self._is_cold = False


class Usage:
    """What an upstream really ran, whether or not anybody took it."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.calls_by_stage: collections.Counter[str] = collections.Counter()
        self.units_by_stage: collections.Counter[str] = collections.Counter()
        # Calls that arrived above the cold limit.
        self.cold_overshoots = 0
        self.breaks = 0

    def encode(self) -> dict[str, object]:
        """Return plain JSON data."""
        return {
            'calls_by_stage': dict(self.calls_by_stage),
            'units_by_stage': dict(self.units_by_stage),
            'cold_overshoots': self.cold_overshoots,
            'breaks': self.breaks,
        }

    def count(self, about: dict[str, object], units: int) -> None:
        """Count a call that has ended, whole or not."""
        stage = str(about.get('kind', 'service'))
        self.calls_by_stage[stage] += 1
        self.units_by_stage[stage] += units


class LoadLog:
    """The loads of the last moments, so that a report can lag."""

    def __init__(self, lag_s: float) -> None:
        """Start empty; reports are so many seconds old."""
        self._lag_s = lag_s
        # Times and loads, the oldest first.
        self._loads: list[tuple[float, LoadSnapshot]] = []

    def note(self, load: LoadSnapshot, now: float) -> None:
        """Keep a load, and those that a report may still show."""
        self._loads.append((now, load))
        shown = 0
        for position, (noted_at, _load) in enumerate(self._loads):
            if noted_at <= now - self._lag_s:
                shown = position
        self._loads = self._loads[shown:]

    def show(self) -> LoadSnapshot:
        """Return the load as it was a lag ago, or at the first sight."""
        return self._loads[0][1]
