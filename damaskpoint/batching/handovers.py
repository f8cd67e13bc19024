"""The time that orders spend outside of their batching instance.

It is the way there and back, and the time in which one of both processes is
busy with other work.
"""

from __future__ import annotations

from typing import Final, final

# Weight of one order in the EWMA: about the last ten orders count.
_WEIGHT: Final = 0.1
# An order counts at most as so much longer than the average (seconds), as one
# whose batching instance was lost on the way takes a second and more.
_MAX_EXCESS_S: Final = 0.1


@final
class HandoverTimes:
    """Moving averages by group, in seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._average_by_group: dict[str, float] = {}

    def record(self, group: str, took_s: float) -> None:
        """Record the time of one order that was neither queue nor call."""
        average = self._average_by_group.get(group)
        if average is None:
            self._average_by_group[group] = min(took_s, _MAX_EXCESS_S)
            return
        excess_s = min(took_s - average, _MAX_EXCESS_S)
        self._average_by_group[group] = average + _WEIGHT * excess_s

    def estimate_s(self, group: str) -> float:
        """Return the expected time; 0 without measurements."""
        return self._average_by_group.get(group, float(0))
