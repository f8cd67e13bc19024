"""Estimates the time to a complete answer, by route."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

# Weight of one request in the EWMA: about the last twenty requests count.
_WEIGHT: Final = 0.05
# Mean deviations above the average that hardly any answer exceeds, as in the
# retransmission timeout of TCP.
_BOUND_DEVIATIONS: Final = 4.0


@final
@dataclass(slots=True)
class _Average:
    """Moving averages of a duration and of its deviation, in seconds."""

    mean_s: float
    deviation_s: float


@final
class AnswerTimes:
    """Upper bounds of the answer time by route, in seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._averages_by_route: dict[str, _Average] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record the duration of an answered request."""
        average = self._averages_by_route.get(route)
        if average is None:
            self._averages_by_route[route] = _Average(took_s, took_s)
            return
        change_s = took_s - average.mean_s
        average.mean_s += _WEIGHT * change_s
        average.deviation_s += _WEIGHT * (abs(change_s) - average.deviation_s)

    def bound_s(self, route: str, default_s: float) -> float:
        """Return the time within which nearly all answers are complete.

        Returns ``default_s`` for a route without measurements.
        """
        average = self._averages_by_route.get(route)
        if average is None:
            return default_s
        return average.mean_s + _BOUND_DEVIATIONS * average.deviation_s
