"""Measures how fast a group of runners works off a backlog.

Full calls at all runners, one after the other, are the most that a group can
do. It does less where results fill the memory of its runners, where pieces wait
for a runner of their zone, and where calls fail.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.catalog.model import BatchLimits

# Time after which a measurement counts half (seconds): a few calls.
_HALF_LIFE_S: Final = 2.0
_HALF: Final = 0.5
# Weight of the pace of calls, as a number of full calls at each runner.
_PRIOR_CALLS: Final = 1.0


@final
class DrainMeter:
    """The pace at which a group works off a backlog, of a batch or more.

    Times are monotonic seconds.
    """

    def __init__(self, limits: BatchLimits) -> None:
        """Start without measurements."""
        self._limits = limits
        self._full_call_s = limits.estimate_call_s(limits.max_pieces)
        # Runner time that passed beside a backlog, and what the pieces that
        # were made in it would have taken in full calls (seconds).
        self._passed_s = float(0)
        self._worked_s = float(0)
        self._recorded_at = float(0)
        # Calls that the group can run at the same time, while a batch waits.
        self._backlogged_slots = 0

    # Commands.

    def record_queue(self, waiting: int, runners: int, now: float) -> None:
        """Record the pieces that wait from now on, and the group's runners."""
        self._advance(now)
        has_backlog = waiting >= self._limits.max_pieces
        slots = runners * self._limits.max_concurrent_calls
        self._backlogged_slots = slots if has_backlog else 0

    def record_made(self, pieces: int, now: float) -> None:
        """Record the results of a call that has ended."""
        self._advance(now)
        if self._backlogged_slots:
            share = pieces / self._limits.max_pieces
            self._worked_s += share * self._full_call_s

    # Queries.

    def find_pace(self, call_pace: float, runners: int, now: float) -> float:
        """Return the time for a backlog, relative to that of full calls.

        It is ``call_pace``, that of single calls, without a recent backlog.
        """
        factor = self._decay(now)
        slots = max(1, runners) * self._limits.max_concurrent_calls
        prior_s = slots * self._full_call_s * _PRIOR_CALLS
        passed_s = self._passed_s * factor + prior_s * call_pace
        worked_s = self._worked_s * factor + prior_s
        return max(call_pace, passed_s / worked_s)

    # Steps.

    def _advance(self, now: float) -> None:
        factor = self._decay(now)
        self._passed_s *= factor
        self._worked_s *= factor
        self._passed_s += self._backlogged_slots * (now - self._recorded_at)
        self._recorded_at = now

    def _decay(self, now: float) -> float:
        return math.pow(_HALF, (now - self._recorded_at) / _HALF_LIFE_S)
