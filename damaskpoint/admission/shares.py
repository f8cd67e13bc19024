"""Divides a limit between the entries in proportion to their demand.

Each entry computes its own share from the demand that its peers report.
While all entries have the same reports, the shares add up to the limit. A
share shrinks at once, but grows only after the peers have had time to receive
the reports of the changed demand, which keeps the sum close to the limit.
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

# Fraction of a limit that is divided equally, so that an entry without demand
# can start to serve an account.
_EQUAL_FRACTION: Final = 0.2
# Keeps rounding errors of the fractions from lowering a product below an
# integer.
_ROUNDING_TOLERANCE: Final = 1e-9


class DemandSource(abc.ABC):
    """The live entries and the demand that they report."""

    @abc.abstractmethod
    def entry_names(self, now: float) -> Sequence[str]:
        """Return the sorted names of all live entries, this one included."""

    @abc.abstractmethod
    def peer_demands(self, account: str) -> Mapping[str, float]:
        """Return the offered requests per second by reporting peer.

        A peer that reports demand, but none of this account, is included
        with 0.
        """

    @abc.abstractmethod
    def peer_outstanding(self) -> Mapping[str, float]:
        """Return the requests that run or wait, by reporting peer."""


@final
class NoPeers(DemandSource):
    """The demand source of an entry without peers."""

    def __init__(self, name: str) -> None:
        """Use ``name`` as the only entry."""
        self._names = (name,)

    def entry_names(self, now: float) -> Sequence[str]:
        """Return only this entry's name."""
        return self._names

    def peer_demands(self, account: str) -> Mapping[str, float]:
        """Return nothing."""
        return {}

    def peer_outstanding(self) -> Mapping[str, float]:
        """Return nothing."""
        return {}


@final
@dataclass(frozen=True, slots=True)
class LimitShare:
    """The share that one entry has of a limit."""

    # Fraction of the limit that goes to the preceding entries, in the order
    # of ``compute_share``.
    fraction_before: float
    # Fraction of the limit that goes to this entry.
    fraction: float
    # Number of entries that divide the limit.
    entries: int

    def of_rate(self, limit: float) -> float:
        """Return the share of a limit that may be fractional."""
        return limit * self.fraction

    def of_count(self, limit: int) -> int:
        """Return the share of an integer limit, as an integer.

        Each entry gets 1 if the limit suffices; the remainder is divided by
        the fractions. While all entries have the same reports, the results
        add up to the limit.
        """
        guaranteed = 1 if limit >= self.entries else 0
        remainder = limit - guaranteed * self.entries
        start = math.floor(
            self.fraction_before * remainder + _ROUNDING_TOLERANCE
        )
        end = math.floor(
            (self.fraction_before + self.fraction) * remainder
            + _ROUNDING_TOLERANCE
        )
        return guaranteed + end - start


def compute_share(
    own_name: str,
    own_demand: float,
    names: Sequence[str],
    demands_by_peer: Mapping[str, float],
    seed: str,
) -> LimitShare:
    """Return the share of a limit that belongs to the entry ``own_name``.

    Entries without a report are assumed to have the mean demand of those with
    one. ``seed`` rotates the order of the entries, so that the remainders of
    small limits do not always go to the same ones.
    """
    weights = _compute_weights(own_name, own_demand, names, demands_by_peer)
    offset = xxhash.xxh32_intdigest(seed.encode()) % len(names)
    total = sum(weights)
    weight_before: float = 0
    rotated = (*weights[offset:], *weights[:offset])
    rotated_names = (*names[offset:], *names[:offset])
    for name, weight in zip(rotated_names, rotated, strict=True):
        if name == own_name:
            return LimitShare(weight_before / total, weight / total, len(names))
        weight_before += weight
    return LimitShare(0, 0, len(names))


def _compute_weights(
    own_name: str,
    own_demand: float,
    names: Sequence[str],
    demands_by_peer: Mapping[str, float],
) -> list[float]:
    reported = own_demand + sum(demands_by_peer.values())
    mean = reported / (1 + len(demands_by_peer))
    if mean <= 0:
        return [1.0 for _ in names]
    equal = mean * _EQUAL_FRACTION
    weights = []
    for name in names:
        demand = demands_by_peer.get(name, mean)
        if name == own_name:
            demand = own_demand
        weights.append(equal + demand * (1 - _EQUAL_FRACTION))
    return weights


@final
class ShareStabilizer:
    """Delays the growth of a share until the peers know of the demand."""

    def __init__(self, growth_delay_s: float = defaults.SHARE_HOLD_S) -> None:
        """Delay the growth of a share by ``growth_delay_s`` seconds."""
        self._growth_delay_s = growth_delay_s
        # Shares computed within the growth delay, with their times.
        self._computed: collections.deque[tuple[float, LimitShare]] = (
            collections.deque()
        )

    def stabilize(self, share: LimitShare, now: float) -> LimitShare:
        """Record a share; return the smallest one within the growth delay."""
        self._computed.append((now, share))
        while self._computed[0][0] < now - self._growth_delay_s:
            self._computed.popleft()
        smallest = share
        for _, computed in self._computed:
            if computed.fraction < smallest.fraction:
                smallest = computed
        return smallest
