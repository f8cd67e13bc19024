"""The pace of each group of runners, as reported by its batching instance.

The pace is the measured duration of calls divided by the expected one: 1 is
nominal, and a slow group has a larger one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.membership.facts import PaceFact

if TYPE_CHECKING:
    from collections.abc import Sequence

# Pace of a group without a recent report.
NOMINAL_PACE: Final = 1.0


@final
class PaceTable:
    """Paces by group, as peers report them; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without reports."""
        # The report on each group and when it was received.
        self._reports_by_group: dict[str, tuple[PaceFact, float]] = {}

    def record(self, facts: Sequence[PaceFact], now: float) -> None:
        """Record the paces that a peer reports."""
        for fact in facts:
            self._reports_by_group[fact.group] = (fact, now)

    def expire(self, now: float, max_age_s: float) -> None:
        """Remove reports that are too old."""
        for group, (_, received_at) in tuple(self._reports_by_group.items()):
            if now - received_at > max_age_s:
                self._reports_by_group.pop(group)

    def find(self, group: str) -> float:
        """Return the pace of a group, the nominal one if unknown."""
        return self.find_report(group).pace

    def find_report(self, group: str) -> PaceFact:
        """Return what is known of a group, nominal paces if nothing."""
        report = self._reports_by_group.get(group)
        if report is None:
            return PaceFact(group, NOMINAL_PACE)
        return report[0]
