"""Chooses the requests that give way where not all can be in time.

Requests run in the order in which they are needed, as long as all of them are
in time. Where one would be late, less urgent ones that run before it give way,
if that is enough; else it gives way itself. This is Moore and Hodgson's rule
with priorities: a request that is late anyway holds up no other. Of equally
urgent requests those of the account with the most pieces in time give way, as
long as it keeps at least as many as the other one gets (max-min fairness).
"""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.catalog.model import BatchLimits

    # Priority, and whether no work was done for the request; the highest one
    # gives way first.
    _Level = tuple[int, bool]


@final
class GroupRate:
    """How fast a group of runners takes the pieces of its queue."""

    def __init__(
        self,
        limits: BatchLimits,
        slots: int = 1,
        pace: float = 1,
        drain_pace: float = 1,
    ) -> None:
        """Estimate for a group that runs ``slots`` calls at the same time.

        ``pace`` is the measured duration of calls divided by the expected one,
        ``drain_pace`` the same for the time in which a backlog is worked off.
        """
        self._limits = limits
        self._pace = pace
        self._max_pieces = limits.max_pieces
        # Time of a full call, and between the starts of two (seconds).
        full_call_s = limits.estimate_call_s(limits.max_pieces)
        self._full_call_s = full_call_s * pace
        self._interval_s = full_call_s * max(pace, drain_pace) / slots

    def estimate_end_s(self, pieces: int) -> float:
        """Return when this many pieces will have run (seconds from now).

        One runner takes a call now, the others when their calls end, which
        are spread over time.
        """
        if pieces <= self._max_pieces:
            return self._limits.estimate_call_s(pieces) * self._pace
        waves = math.ceil(pieces / self._max_pieces) - 1
        return self._full_call_s + waves * self._interval_s


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
    # Client account; empty without one.
    account: str = ''
    # The key by which requests give way, the highest first.
    level: _Level = field(init=False)

    def __post_init__(self) -> None:
        """Derive the level once, since it is compared often."""
        # The data class is frozen.
        object.__setattr__(self, 'level', (self.priority, not self.has_cost))


def find_yielding(
    waiting: Sequence[WaitingPieces],
    rate: GroupRate,
    taken_by_account: Mapping[str, int],
) -> frozenset[int]:
    """Return the indexes of the requests that give way.

    ``waiting`` is in the order in which the requests should run. Accounts share
    what can be in time together with the pieces that were taken before.
    """
    schedule = _Schedule(rate, taken_by_account)
    for index, request in enumerate(waiting):
        schedule.add(index, request)
    return frozenset(range(len(waiting))) - schedule.indexes


@final
class _Schedule:
    """The requests that can be in time, in the order in which they run."""

    def __init__(
        self, rate: GroupRate, taken_by_account: Mapping[str, int]
    ) -> None:
        self._rate = rate
        self._pieces = 0
        self._pieces_by_level: collections.Counter[_Level] = (
            collections.Counter()
        )
        # Of each account, with those that were taken before.
        self._pieces_by_account = collections.Counter(taken_by_account)
        self._requests_by_index: dict[int, WaitingPieces] = {}

    @property
    def indexes(self) -> frozenset[int]:
        return frozenset(self._requests_by_index)

    def add(self, index: int, request: WaitingPieces) -> None:
        """Add a request if it can be in time, perhaps in place of others."""
        removed: list[int] = []
        if not self._is_in_time(request, self._pieces):
            if self._is_in_time(request, self._count_more_urgent(request)):
                removed = self._select_less_urgent(request)
            else:
                removed = self._select_of_other_accounts(request)
            if not removed:
                return
        for other in removed:
            self._remove(other)
        self._count(request, request.pieces)
        self._requests_by_index[index] = request

    def _is_in_time(self, request: WaitingPieces, pieces_ahead: int) -> bool:
        end_s = self._rate.estimate_end_s(pieces_ahead + request.pieces)
        return end_s <= request.left_s

    def _count_more_urgent(self, request: WaitingPieces) -> int:
        """Return the pieces of the requests that do not give way to one."""
        return sum(
            count
            for level, count in self._pieces_by_level.items()
            if level <= request.level
        )

    def _select_less_urgent(self, request: WaitingPieces) -> list[int]:
        """Return the requests that give way, the least urgent first."""
        return self._select_enough(request, self._list_less_urgent(request))

    def _list_less_urgent(self, request: WaitingPieces) -> list[int]:
        by_index = self._requests_by_index
        return sorted(
            (
                index
                for index, other in by_index.items()
                if other.level > request.level
            ),
            key=lambda index: (by_index[index].level, index),
            reverse=True,
        )

    def _select_of_other_accounts(self, request: WaitingPieces) -> list[int]:
        """Return requests that give way to one of an account with less.

        Less urgent ones are among them. Empty if they are not enough.
        """
        own = self._pieces_by_account[request.account] + request.pieces
        if max(self._pieces_by_account.values(), default=0) <= own:
            return []
        left_by_account = collections.Counter(self._pieces_by_account)
        candidates = self._list_less_urgent(request)
        for index in candidates:
            other = self._requests_by_index[index]
            left_by_account[other.account] -= other.pieces
        for index in reversed(tuple(self._requests_by_index)):
            other = self._requests_by_index[index]
            left = left_by_account[other.account] - other.pieces
            if left >= own and _is_comparable(other, request):
                left_by_account[other.account] = left
                candidates.append(index)
        return self._select_enough(request, candidates)

    def _select_enough(
        self, request: WaitingPieces, candidates: list[int]
    ) -> list[int]:
        """Return the first candidates whose removal lets one be in time."""
        selected: list[int] = []
        pieces = self._pieces
        for index in candidates:
            selected.append(index)
            pieces -= self._requests_by_index[index].pieces
            if self._is_in_time(request, pieces):
                return selected
        return []

    def _remove(self, index: int) -> None:
        removed = self._requests_by_index.pop(index)
        self._count(removed, -removed.pieces)

    def _count(self, request: WaitingPieces, pieces: int) -> None:
        self._pieces += pieces
        self._pieces_by_level[request.level] += pieces
        self._pieces_by_account[request.account] += pieces


def _is_comparable(other: WaitingPieces, request: WaitingPieces) -> bool:
    """Return whether one may give way to one of another account.

    Results that were made are kept.
    """
    if other.account == request.account or other.has_cost:
        return False
    return other.level == request.level
