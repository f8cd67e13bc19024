"""Decides which instances compete for the lease of a pool.

The lease alone ensures that there is one holder, whichever instances compete.
The candidates only limit the load on the table: if all instances of a large
system competed, their reads of the leases' rows would be most of its load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

CANDIDATES_PER_POOL: Final = 3


def is_candidate(pool: str, name: str, live_names: Iterable[str]) -> bool:
    """Return whether an instance is among the candidates of a pool.

    Rendezvous hashing ranks the instances, differently for each pool. An
    empty list means that the live instances are unknown, so every instance is
    a candidate.
    """
    ranked = sorted(live_names, key=_HashRank(pool))
    return not ranked or name in ranked[:CANDIDATES_PER_POOL]


class _HashRank:
    """Sort key that ranks instances by a hash of the pool and their name."""

    def __init__(self, pool: str) -> None:
        self._pool = pool

    def __call__(self, name: str) -> int:
        return xxhash.xxh64_intdigest(f'{self._pool}/{name}'.encode())
