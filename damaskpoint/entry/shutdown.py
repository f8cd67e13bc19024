"""The phases of a graceful shutdown."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from damaskpoint.settings import ShutdownOptions


@final
class Phase(enum.Enum):
    """What the process does about work."""

    SERVING = 'serving'
    # Not ready, but still taking requests: the balancer has its notice.
    NOTICE = 'notice'
    # No new connections; what is in flight is finished.
    DRAINING = 'draining'
    STOPPED = 'stopped'


@final
@dataclass(frozen=True, slots=True)
class PendingWork:
    """What a shutdown waits for."""

    in_flight: int
    background: int


@final
class ShutdownState(StateSource):
    """Decides when a shutdown goes on to its next phase.

    Times are monotonic seconds. A second signal changes nothing.
    """

    def __init__(self, options: ShutdownOptions) -> None:
        """Start as serving."""
        self._options = options
        self._phase = Phase.SERVING
        self._began_at = float(0)

    @property
    def phase(self) -> Phase:
        """Return the present phase."""
        return self._phase

    @property
    def is_shutting_down(self) -> bool:
        """Return whether a shutdown has begun."""
        return self._phase is not Phase.SERVING

    def begin(self, now: float) -> None:
        """Begin to shut down, at the first signal."""
        if self.is_shutting_down:
            return
        self._phase = Phase.NOTICE
        self._began_at = now

    def advance(self, view: PendingWork, now: float) -> None:
        """Go on to the next phase when it is due."""
        passed_s = now - self._began_at
        if self._phase is Phase.NOTICE and passed_s >= self._notice_s():
            self._phase = Phase.DRAINING
        if self._phase is not Phase.DRAINING:
            return
        is_idle = view.in_flight == 0 and view.background == 0
        if is_idle or passed_s >= self._options.limit_s:
            self._phase = Phase.STOPPED

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the platform's own limit."""
        return max(float(0), self._began_at + self._options.limit_s - now)

    def check_ready(self) -> Failure | None:
        """Return why the process takes no new work of the balancer."""
        if not self.is_shutting_down:
            return None
        return Failure(Code.SHUTTING_DOWN, self._phase.value)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the phase and, in a shutdown, its age."""
        age_s = now - self._began_at if self.is_shutting_down else None
        return {'phase': self._phase.value, 'age_s': age_s}

    def _notice_s(self) -> float:
        return min(self._options.notice_s, self._options.limit_s / 2)
