"""Chooses the requests that give way where not all can be in time.

Requests run in the order in which they are needed, as long as all of them are
in time. Where one would be late, less urgent ones that run before it give way,
if that is enough; else it gives way itself. This is Moore and Hodgson's rule
with priorities: a request that is late anyway holds up no other.
"""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.catalog.model import BatchLimits

    # Priority, and whether no work was done for the request; the highest one
    # gives way first.
    _Level = tuple[int, bool]


@final
@dataclass(frozen=True, slots=True)
class GroupRate:
    """How fast a group of runners takes the pieces of its queue."""

    limits: BatchLimits
    # Calls that the group runs at the same time.
    slots: int = 1
    # Measured duration of calls divided by the expected one.
    pace: float = 1

    def estimate_end_s(self, pieces: int) -> float:
        """Return when this many pieces will have run (seconds from now).

        One runner takes a call now, the others when their calls end, which
        are spread over time.
        """
        limits = self.limits
        calls = math.ceil(pieces / limits.max_pieces)
        call_s = limits.estimate_call_s(min(pieces, limits.max_pieces))
        full_call_s = limits.estimate_call_s(limits.max_pieces)
        return (call_s + (calls - 1) * full_call_s / self.slots) * self.pace


@final
@dataclass(frozen=True, slots=True)
class WaitingPieces:
    """The waiting pieces of one stage of a request."""

    pieces: int
    priority: int
    # Whether work was done for the request.
    has_cost: bool
    # Time left until the results are needed (seconds).
    left_s: float

    @property
    def level(self) -> _Level:
        """Return the key by which requests give way, the highest first."""
        return (self.priority, not self.has_cost)


def find_yielding(
    waiting: Sequence[WaitingPieces], rate: GroupRate
) -> frozenset[int]:
    """Return the indexes of the requests that give way.

    ``waiting`` is in the order in which the requests should run.
    """
    schedule = _Schedule(rate)
    for index, request in enumerate(waiting):
        schedule.add(index, request)
    return frozenset(range(len(waiting))) - schedule.indexes


@final
class _Schedule:
    """The requests that can be in time, in the order in which they run."""

    def __init__(self, rate: GroupRate) -> None:
        self._rate = rate
        self._pieces = 0
        self._pieces_by_level: collections.Counter[_Level] = (
            collections.Counter()
        )
        self._requests_by_index: dict[int, WaitingPieces] = {}

    @property
    def indexes(self) -> frozenset[int]:
        return frozenset(self._requests_by_index)

    def add(self, index: int, request: WaitingPieces) -> None:
        """Add a request if it can be in time, perhaps in place of others."""
        if not self._is_in_time(request, self._pieces):
            yielding = self._count_yielding(request.level)
            if not self._is_in_time(request, self._pieces - yielding):
                return
            self._make_place(request)
        self._change(request, request.pieces)
        self._requests_by_index[index] = request

    def _is_in_time(self, request: WaitingPieces, pieces_ahead: int) -> bool:
        end_s = self._rate.estimate_end_s(pieces_ahead + request.pieces)
        return end_s <= request.left_s

    def _count_yielding(self, level: _Level) -> int:
        """Return the pieces of the requests that give way to a level."""
        return sum(
            count
            for other, count in self._pieces_by_level.items()
            if other > level
        )

    def _make_place(self, request: WaitingPieces) -> None:
        """Remove less urgent requests until one is in time."""
        ranked = sorted(
            self._requests_by_index,
            key=lambda index: (self._requests_by_index[index].level, index),
        )
        while ranked and not self._is_in_time(request, self._pieces):
            removed = self._requests_by_index.pop(ranked.pop())
            self._change(removed, -removed.pieces)

    def _change(self, request: WaitingPieces, pieces: int) -> None:
        self._pieces += pieces
        self._pieces_by_level[request.level] += pieces
