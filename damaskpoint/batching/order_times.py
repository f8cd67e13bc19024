"""Measures how long a group takes for an order, from its arrival on.

A request's later stages take as long as those of the requests before it: their
pieces wait for a runner and share calls with others. Idle runners would be
faster, but a stage that counts on them leaves too little time for the next.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.model import find_slowest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.batching.model import PieceOutcome

# Time after which an order counts half (seconds): a few calls.
_HALF_LIFE_S: Final = 1.0
_HALF: Final = 0.5
# Least weight of the orders that allow a mean.
_MIN_WEIGHT: Final = 1.0


@final
class OrderTimes:
    """The mean time of the last orders; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without orders."""
        # Of all orders, each weighted by its age.
        self._total_s = float(0)
        self._weight = float(0)
        self._recorded_at = float(0)

    def record(self, outcomes: Sequence[PieceOutcome], now: float) -> None:
        """Record the time of an order, if all of its pieces were made."""
        if any(outcome.handle is None for outcome in outcomes):
            return
        slowest = find_slowest(outcomes)
        took_s = slowest.waited_s + slowest.called_s
        factor = self._decay(now)
        self._total_s = self._total_s * factor + took_s
        self._weight = self._weight * factor + 1
        self._recorded_at = now

    def find_mean_s(self, now: float) -> float:
        """Return the mean; 0 without recent orders."""
        if self._weight * self._decay(now) < _MIN_WEIGHT:
            return float(0)
        return self._total_s / self._weight

    def _decay(self, now: float) -> float:
        return math.pow(_HALF, (now - self._recorded_at) / _HALF_LIFE_S)
