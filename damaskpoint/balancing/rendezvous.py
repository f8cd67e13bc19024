"""Rendezvous hashing: instances make the same choice without messages."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_DIGEST_BITS: Final = 64
# Number of digests: the largest one plus 1.
_SCALE: Final = float(1 << _DIGEST_BITS)


def score(member: str, key: str, weight: float = 1) -> float:
    """Return the weighted score of a member for a key; the highest wins."""
    digest = xxhash.xxh64_intdigest(f'{member}\n{key}'.encode())
    return -weight / math.log((digest + 1) / (_SCALE + 2))


def order(members: Iterable[str], key: str) -> list[str]:
    """Return the members by descending score for the key."""
    return sorted(members, key=lambda member: score(member, key), reverse=True)


def order_weighted(
    weights_by_member: Mapping[str, float], key: str
) -> list[str]:
    """Return the members with a positive weight by descending score."""
    return sorted(
        (member for member, weight in weights_by_member.items() if weight > 0),
        key=lambda member: score(member, key, weights_by_member[member]),
        reverse=True,
    )
