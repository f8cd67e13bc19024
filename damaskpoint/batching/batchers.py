"""Finds the batching instance of each group among the known instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.assignment import (
    LostInstances,
    find_first,
    list_candidates,
)
from damaskpoint.batching.instance_rates import select_largest

from damaskpoint.membership.facts import Phase

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from collections.abc import Set as AbstractSet

    from damaskpoint.batching.base import Peers

_NONE: frozenset[str] = frozenset()
# Time for which a selection is kept while the candidates stay the same
# (seconds); only the number of runners can change it.
_SELECTION_CACHE_S: Final = 0.5


@final
class BatcherDirectory:
    """The batching instances, without those that were lost."""

    def __init__(
        self, own_name: str, peers: Peers, find_load: Callable[[], float]
    ) -> None:
        """Choose among the instances that ``peers`` knows.

        ``find_load`` returns the pieces per second of all groups together.
        """
        self._own_name = own_name
        self._peers = peers
        self._find_load = find_load
        self._lost = LostInstances(peers.find_last_seen)
        self._used_by_group: dict[str, str] = {}
        # The candidates of the last choice and the selected ones of them, when
        # they were selected, and the batching instances by group. Each request
        # asks for several groups, and hashing all is slow.
        self._candidates: frozenset[str] = frozenset()
        self._selected: frozenset[str] = frozenset()
        self._selected_at = float('-inf')
        self._first_by_group: dict[str, str] = {}

    # Commands.

    def record_lost(self, name: str, now: float) -> None:
        """Choose another instance until this one is heard of again."""
        self._lost.forget_returned(now)
        self._lost.record(name, now)

    def record_used(self, group: str, name: str) -> str | None:
        """Record where an order goes; return the previous one if it changed."""
        previous = self._used_by_group.get(group)
        self._used_by_group[group] = name
        return None if previous == name else previous

    def forget(self, group: str) -> None:
        """Drop what is known of a group."""
        self._used_by_group.pop(group, None)
        self._first_by_group.pop(group, None)

    # Queries.

    def find(
        self, group: str, now: float, declined: AbstractSet[str] = _NONE
    ) -> str | None:
        """Return the batching instance; None if no candidate is left.

        Instances that ``declined`` an order are no candidates for it.
        """
        view = self._peers.find_view(now)
        rates_by_name = view.batch_rates_by_name
        remaining = list_candidates(view) - self._lost.select(now) - declined
        if not remaining:
            return None
        if declined:
            selected = select_largest(
                remaining, rates_by_name, self._find_load()
            )
            return find_first(selected, group, rates_by_name)
        self._select(remaining, rates_by_name, now)
        first = self._first_by_group.get(group)
        if first is None:
            first = find_first(self._selected, group, rates_by_name)
            self._first_by_group[group] = first
        return first

    def is_replaced(self, now: float) -> bool:
        """Return whether this instance leaves, and another one batches."""
        view = self._peers.find_view(now)
        return view.phase is Phase.LEAVING and bool(view.serving)

    # Steps.

    def _select(
        self,
        candidates: frozenset[str],
        rates_by_name: Mapping[str, int],
        now: float,
    ) -> None:
        """Select the candidates again if they or the load may have changed."""
        is_recent = now - self._selected_at < _SELECTION_CACHE_S
        if is_recent and candidates == self._candidates:
            return
        self._candidates = candidates
        self._selected_at = now
        selected = select_largest(candidates, rates_by_name, self._find_load())
        if selected != self._selected:
            self._selected = selected
            self._first_by_group.clear()
