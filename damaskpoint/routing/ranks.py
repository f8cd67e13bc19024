"""Assigns entries to upstreams by rendezvous hashing.

All entries with the same view of the live entries agree without messages.
While views differ, more entries than intended may own an upstream, which only
costs additional polls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of entries that poll the load of an upstream.
OWNERS_PER_UPSTREAM: Final = 2


@final
class EntryRanks:
    """The rank of this entry among the live entries, for each upstream."""

    def __init__(self, own_name: str) -> None:
        """Start with this entry as the only known one."""
        self._own_name = own_name
        self._entries: tuple[str, ...] = (own_name,)
        self._ranks_by_upstream: dict[str, int] = {}

    def update_entries(self, names: Iterable[str]) -> None:
        """Set the names of the live entries."""
        entries = tuple(sorted({self._own_name, *names}))
        if entries == self._entries:
            return
        self._entries = entries
        self._ranks_by_upstream.clear()

    @property
    def count(self) -> int:
        """Return the number of live entries."""
        return len(self._entries)

    def find_first(self, upstream: str) -> str:
        """Return the entry that ranks first for an upstream."""
        return max(self._entries, key=lambda entry: _score(entry, upstream))

    def find_rank(self, upstream: str) -> int:
        """Return the rank of this entry for an upstream; 0 is the first."""
        known = self._ranks_by_upstream.get(upstream)
        if known is not None:
            return known
        own_score = _score(self._own_name, upstream)
        rank = 0
        for entry in self._entries:
            if _score(entry, upstream) > own_score:
                rank += 1
        self._ranks_by_upstream[upstream] = rank
        return rank

    def is_owner(self, upstream: str) -> bool:
        """Return whether this entry is one of the upstream's owners."""
        return self.find_rank(upstream) < OWNERS_PER_UPSTREAM


def _score(entry: str, upstream: str) -> int:
    return xxhash.xxh64_intdigest(f'{entry}\n{upstream}'.encode())
