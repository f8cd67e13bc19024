"""Lowers the capacity that is counted on while upstreams are overloaded.

Additive increase, multiplicative decrease, by pool: what upstreams refuse
or leave unanswered says that they bear less than their limits promise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

from damaskpoint.routing.base import CallEnd

_DECREASE: Final = 0.9
_INCREASE_PER_S: Final = 0.05
_LEAST: Final = 0.2
# One decrease for all calls that were sent before it showed.
_PAUSE_S: Final = 0.5
_OVERLOADED_ENDS: Final = frozenset((CallEnd.OVERLOADED, CallEnd.TIMED_OUT))


@final
@dataclass(slots=True)
class _Factor:
    """The part of a pool's capacity that is counted on."""

    value: float
    changed_at: float
    decreased_at: float


@final
class CapacityBackoff:
    """The part of each pool's capacity that is counted on."""

    def __init__(self) -> None:
        """Count on all."""
        self._factors_by_pool: dict[str, _Factor] = {}

    def note_end(
        self, pool: str, end: CallEnd, sent_at: float, now: float
    ) -> None:
        """Take the end of a call that was sent at ``sent_at``."""
        if end not in _OVERLOADED_ENDS:
            return
        factor = self._factors_by_pool.get(pool)
        if factor is None:
            self._factors_by_pool[pool] = _Factor(_DECREASE, now, now)
            return
        if sent_at < factor.decreased_at + _PAUSE_S:
            return
        factor.value = max(_LEAST, _grow(factor, now) * _DECREASE)
        factor.changed_at = now
        factor.decreased_at = now

    def find_factor(self, pool: str, now: float) -> float:
        """Return the part to count on, from above 0 to 1."""
        factor = self._factors_by_pool.get(pool)
        return 1 if factor is None else _grow(factor, now)


def _grow(factor: _Factor, now: float) -> float:
    grown = factor.value + (now - factor.changed_at) * _INCREASE_PER_S
    return min(1, grown)
