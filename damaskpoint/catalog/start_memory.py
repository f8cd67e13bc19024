"""Starts of runners that have announced their exit or lost their entry.

A restored copy of the registry may show a runner as it was seconds ago, so
what was known of a start must outlive its entry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Runner

# Time for which a start is remembered (seconds): longer than a runner takes to
# exit, and than a restored copy can be old.
_KEEP_S: Final = 600.0


@final
class StartMemory:
    """Starts of runners by name; the newest start of a name replaces others.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Start empty."""
        # Start time in Unix milliseconds, and when it was added.
        self._starts_by_name: dict[str, tuple[int, float]] = {}

    def add(self, name: str, started_ms: int, now: float) -> bool:
        """Add a start; return whether it was not known."""
        known, _ = self._starts_by_name.get(name, (-1, now))
        if started_ms <= known:
            return False
        self._starts_by_name[name] = (started_ms, now)
        return True

    def discard(self, name: str) -> None:
        """Forget the starts of a name."""
        self._starts_by_name.pop(name, None)

    def expire(self, now: float) -> None:
        """Forget the starts that were added long ago."""
        for name, (_, added_at) in tuple(self._starts_by_name.items()):
            if now - added_at > _KEEP_S:
                self._starts_by_name.pop(name)

    def covers(self, runner: Runner) -> bool:
        """Return whether the start of a runner, or a later one, was added."""
        known, _ = self._starts_by_name.get(runner.name, (-1, 0))
        return runner.started_ms <= known
