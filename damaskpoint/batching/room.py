"""What one runner of a stage has to do, and what room it has for results."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.catalog.model import BatchLimits

# Weight of one call in the measured pace: a few calls show a slow runner.
_PACE_WEIGHT: Final = 0.3
# Time in which half of the room that others were seen to use is taken to be
# free again (seconds): results are held for about a call of the next stage.
_FOREIGN_HALF_S: Final = 0.3
_HALF: Final = 0.5
# How long a runner waits for room before it makes a small call (seconds):
# about half a call, since a call costs much by itself.
_ROOM_WAIT_S: Final = 0.15


@final
class RunnerRoom:
    """The calls and results of one runner; times are monotonic seconds."""

    def __init__(self, limits: BatchLimits) -> None:
        """Start idle, with all of the runner's room."""
        self.calls = 0
        self.pace = float(1)
        self.busy_until = float(0)
        self._limits = limits
        # Size and end of each result that the runner holds, by handle.
        self._results_by_handle: dict[str, tuple[int, float]] = {}
        self._used_bytes = float(0)
        self._reserved_bytes = float(0)
        # Room that others were seen to use, and when.
        self._foreign_bytes = float(0)
        self._foreign_at = float(0)
        # Since when a call waits for room.
        self._short_since: float | None = None
        self._paused_until = float('-inf')

    # Commands.

    def begin_call(self, pieces: int, size: int, now: float) -> None:
        """Note that a call for results of this size is made now."""
        self.calls += 1
        self._reserved_bytes += size
        self._short_since = None
        estimate_s = self._limits.estimate_call_s(pieces) * self.pace
        self.busy_until = now + estimate_s

    def end_call(self, size: int, now: float) -> None:
        """Note that a call has ended."""
        self.calls -= 1
        self._reserved_bytes -= size
        self.busy_until = now

    def note_pace(self, pieces: int, took_s: float) -> None:
        """Take the time of a call into the pace."""
        estimate_s = self._limits.estimate_call_s(pieces)
        change = took_s / estimate_s - self.pace
        self.pace = max(float(1), self.pace + _PACE_WEIGHT * change)

    def pause(self, length_s: float, now: float) -> None:
        """Make no call for a while."""
        self._paused_until = now + length_s

    def hold_result(self, handle: str, size: int, now: float) -> None:
        """Count a result against the room until it is released."""
        self._results_by_handle[handle] = (
            size,
            now + self._limits.result_ttl_s,
        )
        self._used_bytes += size

    def release(self, handles: Iterable[str]) -> None:
        """Count results as given up."""
        for handle in handles:
            size, _ = self._results_by_handle.pop(handle, (0, 0))
            self._used_bytes -= size

    def note_no_room(self, now: float) -> None:
        """Note that all of the room was in use: some of it by others."""
        self._foreign_bytes = self.free_bytes(now)
        self._foreign_at = now

    def note_short(self, now: float) -> None:
        """Note that a call would be made if there were more room."""
        if self._short_since is None:
            self._short_since = now

    # Queries.

    def free_bytes(self, now: float) -> float:
        """Return the room for results of the next call."""
        self._expire(now)
        halves = (now - self._foreign_at) / _FOREIGN_HALF_S
        foreign = self._foreign_bytes * math.pow(_HALF, halves)
        used = self._used_bytes + self._reserved_bytes + foreign
        return max(float(0), self._limits.result_capacity_bytes - used)

    def is_tired_of_waiting(self, now: float) -> bool:
        """Return whether a small call is made rather than none."""
        if self._short_since is None:
            return False
        return now - self._short_since >= _ROOM_WAIT_S

    def is_idle(self, now: float) -> bool:
        """Return whether a call could be made now."""
        if now < self._paused_until:
            return False
        return self.calls < self._limits.max_concurrent_calls

    @property
    def used_bytes(self) -> float:
        """Return the room that known results take."""
        return self._used_bytes

    def _expire(self, now: float) -> None:
        expired = []
        for handle, (_, ends_at) in self._results_by_handle.items():
            if ends_at <= now:
                expired.append(handle)
        self.release(expired)
