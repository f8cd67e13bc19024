"""Divides a limit that all entries share, by the demand that each sees.

Each entry computes its own part from what the others told. While all know
the same, the parts add up to the limit. A part shrinks at once and grows
only after the others had time to hear of the demand that moved.
"""

from __future__ import annotations

import abc
import collections
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint import defaults

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Part of a limit that is divided equally, so that an entry without demand
# can begin to serve an account.
_EQUAL_PART: Final = 0.2
_ROUNDING: Final = 1e-9


class DemandSource(abc.ABC):
    """What the other entries told of their demand."""

    @abc.abstractmethod
    def entry_names(self, now: float) -> Sequence[str]:
        """Return the names of all live entries in order, own included."""

    @abc.abstractmethod
    def peer_demands(self, account: str) -> Mapping[str, float]:
        """Return requests a second offered, by the peers that told them.

        A peer that told its demand, but none of this account, is there
        with 0.
        """

    @abc.abstractmethod
    def peer_outstanding(self) -> Mapping[str, float]:
        """Return requests running or waiting, by the peers that told."""


@final
class NoPeers(DemandSource):
    """The demand of an entry that is alone."""

    def __init__(self, name: str) -> None:
        """Know only this entry."""
        self._names = (name,)

    def entry_names(self, now: float) -> Sequence[str]:
        """Return the own name."""
        return self._names

    def peer_demands(self, account: str) -> Mapping[str, float]:
        """Return nothing."""
        return {}

    def peer_outstanding(self) -> Mapping[str, float]:
        """Return nothing."""
        return {}


@final
@dataclass(frozen=True, slots=True)
class Part:
    """The part of a limit that is this entry's."""

    # Share of the limit that goes to entries before this one, and to it.
    before: float
    share: float
    # Entries that divide the limit.
    entries: int

    def of_rate(self, limit: float) -> float:
        """Return the part of a limit that can be divided at will."""
        return limit * self.share

    def of_count(self, limit: int) -> int:
        """Return the part of a limit of whole things.

        Each entry has one if there are enough; the rest goes by the shares.
        While all entries know the same, the parts add up to the limit.
        """
        own = 1 if limit >= self.entries else 0
        rest = limit - own * self.entries
        first = math.floor(self.before * rest + _ROUNDING)
        behind = math.floor((self.before + self.share) * rest + _ROUNDING)
        return own + behind - first


def compute_part(
    own_name: str,
    own_demand: float,
    names: Sequence[str],
    demands_by_peer: Mapping[str, float],
    seed: str,
) -> Part:
    """Return the own part of a limit.

    Entries that told nothing count with the mean of those that did.
    ``seed`` turns the order of the entries, so that what is left of small
    limits does not always go to the same ones.
    """
    weights = _weigh(own_name, own_demand, names, demands_by_peer)
    offset = xxhash.xxh32_intdigest(seed.encode()) % len(names)
    total = sum(weights)
    before: float = 0
    turned = (*weights[offset:], *weights[:offset])
    turned_names = (*names[offset:], *names[:offset])
    for name, weight in zip(turned_names, turned, strict=True):
        if name == own_name:
            return Part(before / total, weight / total, len(names))
        before += weight
    return Part(0, 0, len(names))


def _weigh(
    own_name: str,
    own_demand: float,
    names: Sequence[str],
    demands_by_peer: Mapping[str, float],
) -> list[float]:
    told = own_demand + sum(demands_by_peer.values())
    mean = told / (1 + len(demands_by_peer))
    if mean <= 0:
        return [1.0 for _ in names]
    equal = mean * _EQUAL_PART
    weights = []
    for name in names:
        demand = demands_by_peer.get(name, mean)
        if name == own_name:
            demand = own_demand
        weights.append(equal + demand * (1 - _EQUAL_PART))
    return weights


@final
class PartKeeper:
    """Holds a part back until the others had time to hear of the change."""

    def __init__(self, hold_s: float = defaults.SHARE_HOLD_S) -> None:
        """Let parts grow ``hold_s`` seconds after they were computed."""
        self._hold_s = hold_s
        # Parts computed lately, with their times.
        self._computed: collections.deque[tuple[float, Part]] = (
            collections.deque()
        )

    def keep(self, part: Part, now: float) -> Part:
        """Return the smallest part computed within the hold time."""
        self._computed.append((now, part))
        while self._computed[0][0] < now - self._hold_s:
            self._computed.popleft()
        smallest = part
        for _, computed in self._computed:
            if computed.share < smallest.share:
                smallest = computed
        return smallest
