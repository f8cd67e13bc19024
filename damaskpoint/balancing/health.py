"""Keeps runners that failed lately out of the choice for a while."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.catalog.model import Runner

# First pause after a failure, its growth with each failure in a row, and its
# bound (seconds): a crashed runner's entry lapses after a few seconds.
_PAUSE_S: Final = 1.0
_GROWTH: Final = 2.0
_MAX_PAUSE_S: Final = 8.0
# Time after a failure in which a runner is not tried even where there is no
# other (seconds): a crashed one refuses each connection within milliseconds.
_REST_S: Final = 0.25
# Time after the last failure that counts it as one in a row (seconds).
_MEMORY_S: Final = 20.0


@final
@dataclass(slots=True)
class _Record:
    """The failures of one runner."""

    avoided_until: float = float('-inf')
    failed_at: float = float('-inf')
    pause_s: float = _PAUSE_S
    failures: int = 0


@final
class RunnerHealth(StateSource):
    """Failures of runners, as this instance saw them."""

    def __init__(self) -> None:
        """Start with no failure."""
        self._records_by_runner: dict[str, _Record] = {}

    def note_failure(self, runner: str, now: float) -> None:
        """Avoid a runner, longer with each failure in a row."""
        record = self._records_by_runner.setdefault(runner, _Record())
        if now - record.failed_at > _MEMORY_S:
            record.pause_s = _PAUSE_S
        elif record.avoided_until <= now:
            record.pause_s = min(_MAX_PAUSE_S, record.pause_s * _GROWTH)
        record.failed_at = now
        record.failures += 1
        record.avoided_until = max(record.avoided_until, now + record.pause_s)

    def forget(self, runner: str) -> None:
        """Forget a runner that is gone."""
        self._records_by_runner.pop(runner, None)

    def is_avoided(self, runner: str, now: float) -> bool:
        """Return whether a runner should not be chosen now."""
        record = self._records_by_runner.get(runner)
        return record is not None and now < record.avoided_until

    def select_healthy(
        self, runners: Sequence[Runner], now: float
    ) -> Sequence[Runner]:
        """Return the runners that are not avoided, or all if there is none."""
        sound = []
        for runner in runners:
            if not self.is_avoided(runner.name, now):
                sound.append(runner)
        return sound or runners

    def select_retryable(
        self, runners: Sequence[Runner], now: float
    ) -> Sequence[Runner]:
        """Return the sound runners, or those that failed a while ago.

        May be empty: just after a failure there is nothing to be tried.
        """
        sound = []
        rested = []
        for runner in runners:
            record = self._records_by_runner.get(runner.name)
            if record is None or now >= record.avoided_until:
                sound.append(runner)
            elif now - record.failed_at >= _REST_S:
                rested.append(runner)
        return sound or rested

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the runners that are avoided now."""
        avoided: dict[str, object] = {}
        for runner, record in self._records_by_runner.items():
            if now < record.avoided_until:
                avoided[runner] = {
                    'left_s': round(record.avoided_until - now, 3),
                    'failures': record.failures,
                }
        return {'avoided_by_runner': avoided}
