"""Measures how busy the event loop of a process is.

Each component waits for the loop: a process that is short of processor time
passes everything on late, whatever its queues look like.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Final, final

from aioprometheus.collectors import Gauge

from damaskpoint.observe.state import StateSource

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Length of the periods that are reported (seconds).
_PERIOD_S: Final = 3.0

DELAY: Final = Gauge(
    'damaskpoint_event_loop_delay_seconds',
    'How late timers fired in the last period, mean and maximum.',
)


@final
@dataclass(slots=True)
class _Period:
    """What was measured since ``began_at``, in seconds."""

    began_at: float
    timers: int = 0
    delay_s: float = 0
    max_delay_s: float = 0


@final
class LoopLoad(StateSource):
    """The delay of timers, by period."""

    def __init__(self) -> None:
        """Start without a period."""
        self._period: _Period | None = None
        self._last: dict[str, object] = {}

    def record_timer(self, delay_s: float, now: float) -> None:
        """Record how late a timer fired; logs the period at its end."""
        period = self._period
        if period is None:
            self._period = _Period(now)
            return
        period.timers += 1
        period.delay_s += max(float(0), delay_s)
        period.max_delay_s = max(period.max_delay_s, delay_s)
        if now - period.began_at < _PERIOD_S:
            return
        self._report(period)
        self._period = _Period(now)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the figures of the last period."""
        return dict(self._last)

    def _report(self, period: _Period) -> None:
        mean_delay_s = period.delay_s / period.timers
        DELAY.set({'of': 'mean'}, mean_delay_s)
        DELAY.set({'of': 'maximum'}, period.max_delay_s)
        self._last = {
            'mean_delay_ms': round(mean_delay_s * _MS, 1),
            'max_delay_ms': round(period.max_delay_s * _MS, 1),
        }
        _LOG.info('load of the event loop', extra=self._last)
