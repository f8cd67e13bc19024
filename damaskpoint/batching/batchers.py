"""Finds the batching instance of each group among the known instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.batching.assignment import (
    LostInstances,
    find_first,
    list_candidates,
)

from damaskpoint.membership.facts import Phase

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from damaskpoint.batching.base import Peers

_NONE: frozenset[str] = frozenset()


@final
class BatcherDirectory:
    """The batching instances, without those that were lost."""

    def __init__(self, own_name: str, peers: Peers) -> None:
        """Choose among the instances that ``peers`` knows."""
        self._own_name = own_name
        self._peers = peers
        self._lost = LostInstances(peers.find_last_seen)
        self._used_by_group: dict[str, str] = {}
        # The batching instances by group while the candidates stay the same.
        # Each request asks for several groups, and hashing all is slow.
        self._candidates: frozenset[str] = frozenset()
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
        candidates = list_candidates(self._peers.find_view(now))
        remaining = candidates - self._lost.select(now) - declined
        if not remaining:
            return None
        if declined:
            return find_first(remaining, group)
        if remaining != self._candidates:
            self._candidates = remaining
            self._first_by_group.clear()
        first = self._first_by_group.get(group)
        if first is None:
            first = find_first(remaining, group)
            self._first_by_group[group] = first
        return first

    def is_replaced(self, now: float) -> bool:
        """Return whether this instance leaves, and another one batches."""
        view = self._peers.find_view(now)
        return view.phase is Phase.LEAVING and bool(view.serving)
