"""Tells connections that a bad version breaks from those of a crash.

After a crash nothing comes from the runner for a while. A break counts as a bad
response if a request that was sent after it gets a response from the same
runner soon; otherwise all breaks of the runner count as one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.rollout.evidence import Counts

# Time in which a response shows that the runner did not crash (seconds). A
# runner needs longer to start again.
_CONFIRM_S: Final = 1.0


@final
@dataclass(slots=True)
class _Breaks:
    """Breaks of one runner since the first one."""

    began_at: float
    # The counts that each break belongs to.
    counts: list[Counts] = field(default_factory=list)


@final
class PendingBreaks:
    """Breaks that are not counted yet; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without breaks."""
        self._breaks_by_runner: dict[str, _Breaks] = {}

    def add(self, runner: str, counts: Counts, now: float) -> None:
        """Record a break; it will be counted in ``counts``."""
        breaks = self._breaks_by_runner.setdefault(runner, _Breaks(now))
        breaks.counts.append(counts)

    def confirm(self, runner: str, sent_at: float) -> None:
        """Record a response to a request that was sent at ``sent_at``."""
        breaks = self._breaks_by_runner.get(runner)
        if breaks is None or sent_at < breaks.began_at:
            return
        for counts in breaks.counts:
            counts.new += 1
            counts.new_bad += 1
        self._breaks_by_runner.pop(runner)

    def expire(self, now: float) -> list[str]:
        """Count the breaks of runners that have stayed silent.

        Returns the names of these runners.
        """
        silent = []
        for runner, breaks in tuple(self._breaks_by_runner.items()):
            if now - breaks.began_at > _CONFIRM_S:
                breaks.counts[0].new_broken += 1
                self._breaks_by_runner.pop(runner)
                silent.append(runner)
        return silent
