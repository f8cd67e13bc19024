"""Decides which instances compete for the lease of a pool.

All may, and the lease alone decides; but if each instance of a large fleet
read each lease's row all the time, the table would do little else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

CANDIDATES_PER_POOL: Final = 3


def is_candidate(pool: str, name: str, live_names: Iterable[str]) -> bool:
    """Return whether an instance is among the first for a pool.

    The order of instances follows from a hash, differently for each pool.
    An empty list says nothing, so that everyone is a candidate.
    """
    ranked = sorted(live_names, key=_Rank(pool))
    return not ranked or name in ranked[:CANDIDATES_PER_POOL]


class _Rank:
    """Ranks names for one pool."""

    def __init__(self, pool: str) -> None:
        self._pool = pool

    def __call__(self, name: str) -> int:
        return xxhash.xxh64_intdigest(f'{self._pool}/{name}'.encode())
