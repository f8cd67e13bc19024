"""How fast groups of runners work, as the instances that batch tell."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.membership.facts import PaceFact

# Time after which a pace that was told says nothing (seconds): several
# rounds of gossip.
_KEEP_S: Final = 1.0
# Pace of a group that nothing is known of: calls take what they should.
NOMINAL: Final = 1.0


@final
class PaceTable:
    """Paces by group; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start with nothing known."""
        # The pace of each group, and when it was heard.
        self._heard_by_group: dict[str, tuple[float, float]] = {}

    def record(self, told: Sequence[PaceFact], now: float) -> None:
        """Take what a peer tells."""
        for fact in told:
            self._heard_by_group[fact.group] = (fact.pace, now)

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        for group, (_, heard_at) in tuple(self._heard_by_group.items()):
            if now - heard_at > _KEEP_S:
                self._heard_by_group.pop(group)

    def find(self, group: str, now: float) -> float:
        """Return how long calls take, as a multiple of what they should."""
        pace, heard_at = self._heard_by_group.get(group, (NOMINAL, now))
        return pace if now - heard_at <= _KEEP_S else NOMINAL
