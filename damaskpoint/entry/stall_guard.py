"""Holds new calls back right after the process stood still.

While a process is frozen, marks and lists arrive that it has not read; the
calls that wait in its sockets must not go out before it has. So, after a
stall, no ticket is given until a list that was asked for behind the stall
has come, or, while the platform does not answer, until gossip has had the
time to repeat its marks.
"""

from __future__ import annotations

from typing import final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource


@final
class StallGuard(StateSource):
    """Notices stalls of the loop; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without a known turn of the loop."""
        self._last_turn: float | None = None
        self._resumed_at: float | None = None
        self._stalls = 0

    def note_turn(self, now: float) -> None:
        """Notice a turn of the loop, and a stall before it."""
        last_turn = self._last_turn
        self._last_turn = now
        if last_turn is None or now - last_turn <= defaults.LOOP_STALL_S:
            return
        self._resumed_at = now
        self._stalls += 1

    def note_list(self, asked_at: float) -> None:
        """Hear that a list has come; ``asked_at`` is from before its read."""
        if self._resumed_at is not None and asked_at >= self._resumed_at:
            self._resumed_at = None

    def check(self, now: float) -> Failure | None:
        """Return why no call may go out yet, or None."""
        if self._resumed_at is None:
            return None
        left_s = self._resumed_at + defaults.STALL_HOLD_S - now
        if left_s <= 0:
            return None
        return Failure(
            Code.CONFIGURATION_STALE,
            'the process stood still and has not heard the news yet',
            retry_after_s=left_s,
        )

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the number of stalls and whether calls are held back."""
        return {
            'stalls': self._stalls,
            'is_holding': self.check(now) is not None,
        }
