"""Measured run times of requests at their runner, by route."""

from __future__ import annotations

from collections import deque
from typing import Final, final

# Number of recent runs that the estimates are based on.
_MAX_RUNS: Final = 100
# Runs needed for an upper bound: the maximum of a few runs says little about
# a distribution with a long tail.
_MIN_RUNS: Final = 20
# Factor from the longest recent run to the upper bound.
_BOUND_FACTOR: Final = 2.0


@final
class RunTimes:
    """Times from the send to the end of the answer, in seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._runs_by_route: dict[str, deque[float]] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record the duration of a complete run."""
        runs = self._runs_by_route.setdefault(route, deque(maxlen=_MAX_RUNS))
        runs.append(took_s)

    def mean_s(self, route: str) -> float:
        """Return the mean run time; 0 for a route without measurements."""
        runs = self._runs_by_route.get(route)
        return sum(runs) / len(runs) if runs else 0

    def bound_s(self, route: str) -> float:
        """Return a time that hardly any run exceeds.

        Infinite for a route with too few measurements.
        """
        runs = self._runs_by_route.get(route, ())
        if len(runs) < _MIN_RUNS:
            return float('inf')
        return max(runs) * _BOUND_FACTOR
