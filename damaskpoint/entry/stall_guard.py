"""Refuses new calls right after the event loop has stalled.

While a process is frozen, requests wait in its sockets together with marks and
instance lists. It must not send calls for these requests before it has read
those messages. Therefore, no ticket is issued after a stall until an instance
list arrives that was requested after it or, while the platform is unavailable,
until gossip has had time to repeat its marks.
"""

from __future__ import annotations

from typing import final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource


@final
class StallGuard(StateSource):
    """Detects stalls of the event loop; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without a recorded iteration of the loop."""
        self._last_iteration_at: float | None = None
        self._resumed_at: float | None = None
        self._stalls = 0

    def record_loop_iteration(self, now: float) -> None:
        """Record an iteration of the loop, and detect a stall before it."""
        last_iteration_at = self._last_iteration_at
        self._last_iteration_at = now
        if (
            last_iteration_at is None
            or now - last_iteration_at <= defaults.LOOP_STALL_S
        ):
            return
        self._resumed_at = now
        self._stalls += 1

    def on_instance_list(self, requested_at: float) -> None:
        """Record an instance list; ``requested_at`` is just before its read."""
        if self._resumed_at is not None and requested_at >= self._resumed_at:
            self._resumed_at = None

    def check(self, now: float) -> Failure | None:
        """Return why no call may be sent yet, or None."""
        if self._resumed_at is None:
            return None
        remaining_s = self._resumed_at + defaults.STALL_COOLDOWN_S - now
        if remaining_s <= 0:
            return None
        return Failure(
            Code.CONFIGURATION_STALE,
            'the process stood still and has not heard the news yet',
            retry_after_s=remaining_s,
        )

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the number of stalls, and whether calls are refused now."""
        return {
            'stalls': self._stalls,
            'is_holding': self.check(now) is not None,
        }
