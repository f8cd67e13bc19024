"""The pace of each group of runners, as reported by its batching instance.

The pace is the measured duration of calls divided by the expected one: 1 is
nominal, and a slow group has a larger one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.membership.facts import PaceFact

# Time after which a reported pace is ignored (seconds): several rounds of
# gossip.
_MAX_AGE_S: Final = 1.0
# Pace of a group without a recent report.
NOMINAL_PACE: Final = 1.0


@final
class PaceTable:
    """Paces by group, as peers report them; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without reports."""
        # The pace of each group and when it was received.
        self._paces_by_group: dict[str, tuple[float, float]] = {}

    def record(self, facts: Sequence[PaceFact], now: float) -> None:
        """Record the paces that a peer reports."""
        for fact in facts:
            self._paces_by_group[fact.group] = (fact.pace, now)

    def expire(self, now: float) -> None:
        """Remove reports that are too old."""
        for group, (_, received_at) in tuple(self._paces_by_group.items()):
            if now - received_at > _MAX_AGE_S:
                self._paces_by_group.pop(group)

    def find(self, group: str, now: float) -> float:
        """Return the pace of a group, the nominal one if unknown."""
        pace, received_at = self._paces_by_group.get(group, (NOMINAL_PACE, now))
        return pace if now - received_at <= _MAX_AGE_S else NOMINAL_PACE
