"""How long whole answers take, by route."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

# Weight of one request in the average: about the last twenty count.
_WEIGHT: Final = 0.05
# Mean deviations above the average that hardly any answer exceeds, as
# retransmission timers take them.
_DEVIATIONS: Final = 4.0


@final
@dataclass(slots=True)
class _Average:
    """The mean of a time and of its deviation, in seconds."""

    mean_s: float
    deviation_s: float


@final
class AnswerTimes:
    """Bounds by route, in seconds."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self._averages_by_route: dict[str, _Average] = {}

    def record(self, route: str, took_s: float) -> None:
        """Take the time of a request that was answered."""
        average = self._averages_by_route.get(route)
        if average is None:
            self._averages_by_route[route] = _Average(took_s, took_s)
            return
        change_s = took_s - average.mean_s
        average.mean_s += _WEIGHT * change_s
        average.deviation_s += _WEIGHT * (abs(change_s) - average.deviation_s)

    def bound_s(self, route: str, unknown_s: float) -> float:
        """Return the time within which nearly all answers are whole.

        ``unknown_s`` is returned for a route that was not measured yet.
        """
        average = self._averages_by_route.get(route)
        if average is None:
            return unknown_s
        return average.mean_s + _DEVIATIONS * average.deviation_s
