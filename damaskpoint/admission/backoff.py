"""Lowers the capacity that is counted on while upstreams are overloaded.

Additive increase, multiplicative decrease, by pool: what upstreams refuse
or leave unanswered says that they bear less than their limits promise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

from damaskpoint.routing.base import CallEnd

_DECREASE: Final = 0.9
_INCREASE: Final = 0.05
_LEAST: Final = 0.3
# Calls are judged together for this time, and at least so many of them.
_WINDOW_S: Final = 0.5
_WINDOW_CALLS: Final = 10
# Part of the calls that may end so without a decrease.
_TOLERATED: Final = 0.1
_OVERLOADED_ENDS: Final = frozenset((CallEnd.OVERLOADED, CallEnd.TIMED_OUT))
_UNTOLD_ENDS: Final = frozenset((CallEnd.UNUSED, CallEnd.CANCELLED))


@final
@dataclass(slots=True)
class _Window:
    """The calls of a pool since the last judgement."""

    began_at: float
    factor: float = 1
    calls: int = 0
    overloaded: int = 0


@final
class CapacityBackoff:
    """The part of each pool's capacity that is counted on."""

    def __init__(self) -> None:
        """Count on all."""
        self._windows_by_pool: dict[str, _Window] = {}

    def note_end(self, pool: str, end: CallEnd, now: float) -> None:
        """Take the end of a call."""
        if end in _UNTOLD_ENDS:
            return
        window = self._windows_by_pool.setdefault(pool, _Window(now))
        window.calls += 1
        if end in _OVERLOADED_ENDS:
            window.overloaded += 1
        is_over = now - window.began_at >= _WINDOW_S
        if not is_over or window.calls < _WINDOW_CALLS:
            return
        if window.overloaded > window.calls * _TOLERATED:
            window.factor = max(_LEAST, window.factor * _DECREASE)
        else:
            window.factor = min(1, window.factor + _INCREASE)
        window.began_at = now
        window.calls = 0
        window.overloaded = 0

    def find_factor(self, pool: str) -> float:
        """Return the part to count on, from above 0 to 1."""
        window = self._windows_by_pool.get(pool)
        return 1 if window is None else window.factor
