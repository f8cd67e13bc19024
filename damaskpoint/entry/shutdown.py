"""The phases of a graceful shutdown."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from damaskpoint.settings_base import ShutdownOptions


@final
class Phase(enum.Enum):
    """How the process treats requests."""

    SERVING = 'serving'
    # Not ready, but still accepting requests until the load balancer reacts.
    NOTICE = 'notice'
    # No new connections; requests in flight are completed.
    DRAINING = 'draining'
    STOPPED = 'stopped'


@final
@dataclass(frozen=True, slots=True)
class PendingWork:
    """The amount of work that a shutdown waits for."""

    in_flight: int
    background: int


@final
class ShutdownState(StateSource):
    """Decides when a shutdown enters its next phase.

    Times are monotonic seconds. Only the first signal has an effect.
    """

    def __init__(self, options: ShutdownOptions) -> None:
        """Start in the serving phase."""
        self._options = options
        self._phase = Phase.SERVING
        self._started_at = float(0)

    @property
    def phase(self) -> Phase:
        """Return the current phase."""
        return self._phase

    @property
    def is_shutting_down(self) -> bool:
        """Return whether a shutdown has begun."""
        return self._phase is not Phase.SERVING

    def begin(self, now: float) -> None:
        """Begin to shut down; a second call has no effect."""
        if self.is_shutting_down:
            return
        self._phase = Phase.NOTICE
        self._started_at = now

    def advance(self, pending: PendingWork, now: float) -> None:
        """Enter the next phase when it is due."""
        elapsed_s = now - self._started_at
        if self._phase is Phase.NOTICE and elapsed_s >= self._notice_s():
            self._phase = Phase.DRAINING
        if self._phase is not Phase.DRAINING:
            return
        is_idle = pending.in_flight == 0 and pending.background == 0
        if is_idle or elapsed_s >= self._options.limit_s:
            self._phase = Phase.STOPPED

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the platform's limit for a shutdown."""
        return max(float(0), self._started_at + self._options.limit_s - now)

    def is_draining_at(self, now: float) -> bool:
        """Return whether the drain has begun, at or after its notice."""
        if not self.is_shutting_down:
            return False
        return now - self._started_at >= self._notice_s()

    def check_ready(self) -> Failure | None:
        """Return why the load balancer must send no requests, or None."""
        if not self.is_shutting_down:
            return None
        return Failure(Code.SHUTTING_DOWN, self._phase.value)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the phase and, in a shutdown, the time since it began."""
        age_s = now - self._started_at if self.is_shutting_down else None
        return {'phase': self._phase.value, 'age_s': age_s}

    def _notice_s(self) -> float:
        return min(self._options.notice_s, self._options.limit_s / 2)
