"""Reduces the assumed capacity of a pool while its upstreams are overloaded.

The factor of each pool follows additive increase, multiplicative decrease.
If upstreams refuse calls as overloaded or do not answer in time, they sustain
less than their configured limits.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

from damaskpoint.routing.base import CallEnd

_DECREASE_FACTOR: Final = 0.9
_INCREASE_STEP: Final = 0.05
_MIN_FACTOR: Final = 0.3
# A window ends after this time, once it has at least this many calls.
_WINDOW_S: Final = 0.5
_MIN_WINDOW_CALLS: Final = 10
# Fraction of overloaded calls in a window that causes no decrease.
_TOLERATED_FRACTION: Final = 0.1
_OVERLOADED_ENDS: Final = frozenset((CallEnd.OVERLOADED, CallEnd.TIMED_OUT))
_IGNORED_ENDS: Final = frozenset((CallEnd.UNUSED, CallEnd.CANCELLED))


@final
@dataclass(slots=True)
class _Window:
    """The calls of a pool since its factor was last adjusted."""

    started_at: float
    factor: float = 1
    calls: int = 0
    overloaded: int = 0


@final
class CapacityBackoff:
    """The fraction of each pool's capacity that may be used."""

    def __init__(self) -> None:
        """Start with the full capacity of every pool."""
        self._windows_by_pool: dict[str, _Window] = {}

    def record_end(self, pool: str, end: CallEnd, now: float) -> None:
        """Record the end of a call; adjust the factor when a window ends."""
        if end in _IGNORED_ENDS:
            return
        window = self._windows_by_pool.setdefault(pool, _Window(now))
        window.calls += 1
        if end in _OVERLOADED_ENDS:
            window.overloaded += 1
        is_window_over = now - window.started_at >= _WINDOW_S
        if not is_window_over or window.calls < _MIN_WINDOW_CALLS:
            return
        if window.overloaded > window.calls * _TOLERATED_FRACTION:
            window.factor = max(_MIN_FACTOR, window.factor * _DECREASE_FACTOR)
        else:
            window.factor = min(1, window.factor + _INCREASE_STEP)
        window.started_at = now
        window.calls = 0
        window.overloaded = 0

    def find_factor(self, pool: str) -> float:
        """Return the fraction of the capacity to use, above 0 and up to 1."""
        window = self._windows_by_pool.get(pool)
        return 1 if window is None else window.factor
