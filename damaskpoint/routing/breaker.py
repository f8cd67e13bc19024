"""Circuit breakers: stop calls to an upstream that fails repeatedly.

After enough consecutive failures of one type the breaker opens. When its
open time has passed, one probe call may pass (half-open). If the probe
succeeds the breaker closes; if it fails, the breaker opens again for twice as
long, up to a bound.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final, final

from damaskpoint import defaults
from damaskpoint.routing.base import CallEnd

# Number of consecutive ends of one type that opens a breaker.
THRESHOLDS_BY_END: Final = {
    CallEnd.UNREACHABLE: defaults.BREAKER_UNREACHABLE,
    CallEnd.BROKEN: defaults.BREAKER_BROKEN,
    CallEnd.FAILED: defaults.BREAKER_FAILED,
    CallEnd.OVERLOADED: defaults.BREAKER_OVERLOADED,
    CallEnd.TIMED_OUT: defaults.BREAKER_TIMED_OUT,
    CallEnd.MISMATCHED: defaults.BREAKER_MISMATCHED,
}
_GOOD_ENDS: Final = frozenset((CallEnd.SUCCEEDED, CallEnd.REFUSED))


@final
class BreakerState(enum.Enum):
    """The states of a circuit breaker."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@final
@dataclass(slots=True)
class Breaker:
    """The breaker of one upstream; times are monotonic seconds."""

    state: BreakerState = BreakerState.CLOSED
    open_until: float = 0
    open_s: float = defaults.BREAKER_OPEN_S
    is_probing: bool = False
    counts_by_end: dict[CallEnd, int] = field(default_factory=dict)

    def allows(self, now: float) -> bool:
        """Return whether a call may pass now."""
        if self.state is BreakerState.CLOSED:
            return True
        return now >= self.open_until and not self.is_probing

    def record_sent(self, now: float) -> None:
        """Record a sent call; the first after the open time is the probe."""
        if self.state is BreakerState.OPEN and now >= self.open_until:
            self.state = BreakerState.HALF_OPEN
            self.is_probing = True

    def record_end(self, end: CallEnd, now: float) -> bool:
        """Record the end of a call; return whether the state changed."""
        if end in _GOOD_ENDS:
            return self._close()
        threshold = THRESHOLDS_BY_END.get(end)
        if threshold is None:
            # Cancelled and unused calls say nothing about the upstream.
            self.is_probing = False
            if self.state is BreakerState.HALF_OPEN:
                self.state = BreakerState.OPEN
            return False
        if self.state is BreakerState.HALF_OPEN:
            longer = self.open_s * defaults.BREAKER_GROWTH
            self.open_s = min(longer, defaults.BREAKER_MAX_OPEN_S)
            return self._open(now)
        if self.state is BreakerState.OPEN:
            return False
        count = self.counts_by_end.get(end, 0) + 1
        self.counts_by_end[end] = count
        if count < threshold:
            return False
        return self._open(now)

    def _open(self, now: float) -> bool:
        self.state = BreakerState.OPEN
        self.open_until = now + self.open_s
        self.is_probing = False
        self.counts_by_end.clear()
        return True

    def _close(self) -> bool:
        if self.state is BreakerState.OPEN:
            # The call was sent before the breaker opened.
            return False
        was_closed = self.state is BreakerState.CLOSED
        self.state = BreakerState.CLOSED
        self.is_probing = False
        self.open_s = defaults.BREAKER_OPEN_S
        if self.counts_by_end:
            self.counts_by_end.clear()
        return not was_closed
