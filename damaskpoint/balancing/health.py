"""Excludes runners that failed recently or asked for a pause.

A failure is followed by an exponential backoff. A runner that is avoided for
it may be used if there is no other; one that asked for a pause is not.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.catalog.model import Runner

# Pause after a first failure, its growth factor with each consecutive failure,
# and its maximum. The maximum is short because the registry entry of a crashed
# runner expires after a few seconds.
_INITIAL_PAUSE_S: Final = 1.0
_PAUSE_GROWTH: Final = 2.0
_MAX_PAUSE_S: Final = 8.0
# Time after a failure in which a runner is not tried even if there is no other:
# a crashed one refuses each connection within milliseconds, so that immediate
# retries would fail too.
_COOLDOWN_S: Final = 0.25
# Failures further apart than this are not consecutive.
_FAILURE_MEMORY_S: Final = 20.0


@final
@dataclass(slots=True)
class _Record:
    """The recent failures of one runner."""

    avoided_until: float = float('-inf')
    failed_at: float = float('-inf')
    pause_s: float = _INITIAL_PAUSE_S
    failures: int = 0


@final
class RunnerHealth(StateSource):
    """Tracks the failures and pauses that this instance has observed."""

    def __init__(self) -> None:
        """Start without failures."""
        self._records_by_runner: dict[str, _Record] = {}
        # When the pause that a runner asked for ends.
        self._paused_until_by_runner: dict[str, float] = {}

    def record_failure(self, runner: str, now: float) -> None:
        """Record a failure; consecutive ones lengthen the pause of a runner."""
        record = self._records_by_runner.setdefault(runner, _Record())
        if now - record.failed_at > _FAILURE_MEMORY_S:
            record.pause_s = _INITIAL_PAUSE_S
        elif record.avoided_until <= now:
            record.pause_s = min(_MAX_PAUSE_S, record.pause_s * _PAUSE_GROWTH)
        record.failed_at = now
        record.failures += 1
        record.avoided_until = max(record.avoided_until, now + record.pause_s)

    def record_pause(self, runner: str, pause_s: float, now: float) -> None:
        """Record that a runner wants no requests for ``pause_s`` seconds."""
        known_until = self._paused_until_by_runner.get(runner, now)
        self._paused_until_by_runner[runner] = max(known_until, now + pause_s)

    def forget(self, runner: str) -> None:
        """Drop the record of a runner that is gone."""
        self._records_by_runner.pop(runner, None)
        self._paused_until_by_runner.pop(runner, None)

    def is_paused(self, runner: str, now: float) -> bool:
        """Return whether a runner must get no request now."""
        return now < self._paused_until_by_runner.get(runner, now)

    def pause_left_s(
        self, runners: Sequence[Runner], now: float
    ) -> float | None:
        """Return when the first of the runners ends its pause (seconds).

        None if a runner is not paused, or if there is no runner.
        """
        left_s = None
        for runner in runners:
            ends_at = self._paused_until_by_runner.get(runner.name, now)
            if ends_at <= now:
                return None
            left_s = min(left_s or ends_at - now, ends_at - now)
        return left_s

    def is_avoided(self, runner: str, now: float) -> bool:
        """Return whether a runner should not be chosen now."""
        if self.is_paused(runner, now):
            return True
        record = self._records_by_runner.get(runner)
        return record is not None and now < record.avoided_until

    def select_healthy(
        self, runners: Sequence[Runner], now: float
    ) -> Sequence[Runner]:
        """Return the runners that are not avoided.

        If there are none, return all that are not paused.
        """
        healthy = []
        unpaused = []
        for runner in runners:
            if self.is_paused(runner.name, now):
                continue
            unpaused.append(runner)
            if not self.is_avoided(runner.name, now):
                healthy.append(runner)
        return healthy or unpaused

    def select_retryable(
        self, runners: Sequence[Runner], now: float
    ) -> Sequence[Runner]:
        """Return the healthy runners; if there is none, the cooled-down ones.

        The result may be empty: just after a failure, an avoided runner is
        not retried.
        """
        healthy = []
        cooled_down = []
        for runner in runners:
            if self.is_paused(runner.name, now):
                continue
            record = self._records_by_runner.get(runner.name)
            if record is None or now >= record.avoided_until:
                healthy.append(runner)
            elif now - record.failed_at >= _COOLDOWN_S:
                cooled_down.append(runner)
        return healthy or cooled_down

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the avoided and the paused runners, with the time left."""
        avoided: dict[str, object] = {}
        for runner, record in self._records_by_runner.items():
            if now < record.avoided_until:
                avoided[runner] = {
                    'left_s': round(record.avoided_until - now, 3),
                    'failures': record.failures,
                }
        paused: dict[str, float] = {}
        for name, ends_at in self._paused_until_by_runner.items():
            if now < ends_at:
                paused[name] = round(ends_at - now, 3)
        return {'avoided_by_runner': avoided, 'paused_s_by_runner': paused}
