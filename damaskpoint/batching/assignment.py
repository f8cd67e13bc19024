"""Decides which instance batches for a group of runners.

All instances choose by rendezvous hashing over the candidates that they know.
A process that starts or leaves is no candidate for itself, so that it does
not batch beside the instance that its peers have chosen.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint.balancing import rendezvous
from damaskpoint.membership.facts import Phase

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Share of the listed instances of which a starting process must have heard
# before it batches: those that it does not know may rank before it.
_HEARD_SHARE: Final = 0.8
# Longest time after the first read of the platform's list for which a process
# waits to hear of them (seconds): rows of killed instances stay in the list.
_MAX_INTRODUCTION_S: Final = 3.0
# Least time for which a lost instance is no candidate (seconds): heartbeats
# that were sent before its loss still arrive from peers.
_MIN_AVOIDED_S: Final = 1.0
# Longest delay before calls without a batching instance (seconds): about a
# call, so that the instances that have lost it do not all call at once.
_MAX_DIRECT_DELAY_S: Final = 0.2
_DIGESTS: Final = 4_294_967_296


@final
@dataclass(frozen=True, slots=True)
class InstanceView:
    """The instances that one of them knows, by what they do."""

    own_name: str
    phase: Phase
    # Live peers that serve, and those that start.
    serving: frozenset[str]
    starting: frozenset[str] = frozenset()
    # Instances in the platform's list of which nothing was heard.
    unheard: frozenset[str] = frozenset()
    # Pieces per second that the machine of an instance can batch, if known.
    batch_rates_by_name: Mapping[str, int] = field(default_factory=dict)


@final
@dataclass(frozen=True, slots=True)
class Introduction:
    """What a starting process has learned so far."""

    # Whether configuration and runners are known.
    has_catalog: bool
    # Since when the platform's list has been known (seconds); None without it.
    listed_for_s: float | None
    # Listed instances except this one, and those of them that were heard of.
    listed: int
    heard: int


def is_introduced(introduction: Introduction) -> bool:
    """Return whether a starting process may batch for its peers."""
    listed_for_s = introduction.listed_for_s
    if not introduction.has_catalog or listed_for_s is None:
        return False
    if introduction.heard >= introduction.listed * _HEARD_SHARE:
        return True
    return listed_for_s >= _MAX_INTRODUCTION_S


def list_candidates(view: InstanceView) -> frozenset[str]:
    """Return the instances that may batch in the view of one of them."""
    own = frozenset((view.own_name,))
    if view.phase is Phase.SERVING:
        return view.serving | own
    if view.phase is Phase.STARTING:
        # Without any other instance, all start together, after a loss of power.
        return (view.serving | view.unheard) or (view.starting | own)
    return view.serving or own


def find_first(
    candidates: frozenset[str], group: str, rates_by_name: Mapping[str, int]
) -> str:
    """Return the candidate that batches for a group; there must be one.

    Groups are spread by the rates of the machines.
    """
    return max(
        candidates,
        key=lambda name: rendezvous.score(
            name, group, max(1, rates_by_name.get(name, 0))
        ),
    )


def compute_direct_delay_s(own_name: str, group: str) -> float:
    """Return the delay before calls without a batching instance (seconds)."""
    digest = xxhash.xxh32_intdigest(f'{own_name}\n{group}'.encode())
    return digest / _DIGESTS * _MAX_DIRECT_DELAY_S


@final
class LostInstances:
    """Instances whose orders failed and that were not heard of since."""

    def __init__(self, find_last_seen: Callable[[str], float | None]) -> None:
        """Start without lost instances.

        ``find_last_seen`` returns when an instance was last heard of
        (monotonic seconds), or None if it never was.
        """
        self._find_last_seen = find_last_seen
        self._lost_at_by_name: dict[str, float] = {}

    def record(self, name: str, now: float) -> None:
        """Record that an order to an instance failed."""
        self._lost_at_by_name[name] = now

    def select(self, now: float) -> frozenset[str]:
        """Return the instances that are no candidates now."""
        return frozenset(
            name
            for name, lost_at in self._lost_at_by_name.items()
            if self._is_lost(name, lost_at, now)
        )

    def forget_returned(self, now: float) -> None:
        """Drop the instances that are candidates again."""
        lost = self.select(now)
        for name in tuple(self._lost_at_by_name):
            if name not in lost:
                self._lost_at_by_name.pop(name)

    def _is_lost(self, name: str, lost_at: float, now: float) -> bool:
        if now - lost_at < _MIN_AVOIDED_S:
            return True
        seen_at = self._find_last_seen(name)
        # One that was never heard of is tried again after the least time.
        return seen_at is not None and seen_at <= lost_at + _MIN_AVOIDED_S
