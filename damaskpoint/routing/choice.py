"""Which of the upstreams that can take a call gets it.

``TwoChoices`` is the product's policy. ``RoundRobin`` is the plain baseline
of the measurements; the wiring, never the settings, puts it in place.
"""

from __future__ import annotations

import abc
import enum
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.routing.nodes import Node, Placement

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from damaskpoint.routing.base import RouteQuery
    from damaskpoint.routing.nodes import PoolState
    from damaskpoint.routing.sampled import SampledSet

# Draws of one candidate before all are looked through.
_DRAWS = 4
# First upstreams of a prefix that are tried before it loses its affinity.
_AFFINITY_TRIES = 2


@final
@enum.unique
class ChoiceReason(enum.Enum):
    """Why an upstream was chosen."""

    AFFINITY = 'affinity'
    SHORTER_WAIT = 'shorter_wait'
    OTHER_ZONE = 'other_zone'
    ONLY_ONE = 'only_one'
    # A cold upstream, to warm it, or because there is no warm one.
    COLD_IDLE = 'cold_idle'
    COLD_ONLY = 'cold_only'
    IN_TURN = 'in_turn'
    # Cold, under a permit that a peer lent.
    BORROWED = 'borrowed'
    # The only one that can go on with a stream.
    RESUMED = 'resumed'


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream and the reason for it."""

    node: Node
    reason: ChoiceReason
    # Whether a prefix did not get the upstream that is its own.
    is_affinity_broken: bool = False


class ChoicePolicy(abc.ABC):
    """Chooses among the upstreams of a pool."""

    @abc.abstractmethod
    def choose(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        """Return a choice, or None when no upstream can take the call."""


@final
class TwoChoices(ChoicePolicy):
    """The shorter expected wait of two random candidates.

    A prefix keeps its own upstream while that one's load is within a bound
    of the pool's mean. Candidates of the own availability zone are drawn
    first, and one of all zones; the cost between zones is added to its wait.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Keep the own availability zone."""
        self._zone = zone
        self._rng = rng

    def choose(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        """Return the choice; cold upstreams when idle, or as the last."""
        idle = self._find_idle_cold(query, pool_state, now)
        if idle is not None:
            return Choice(idle, ChoiceReason.COLD_IDLE)
        if not pool_state.ready:
            return self._choose_cold(query, pool_state)
        if query.prefix:
            own = _find_by_prefix(query, pool_state)
            if own is not None:
                return Choice(own, ChoiceReason.AFFINITY)
        chosen = self._choose_warm(query, pool_state, now)
        if chosen is None:
            return self._choose_cold(query, pool_state)
        return Choice(chosen.node, chosen.reason, bool(query.prefix))

    def _choose_warm(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        near = pool_state.ready_by_zone.get(self._zone, pool_state.ready)
        drawn = (
            self._draw(query, pool_state, near),
            self._draw(query, pool_state, near),
            self._draw(query, pool_state, pool_state.ready),
        )
        waits_by_name: dict[str, float] = {}
        best: Node | None = None
        best_wait = math.inf
        for node in drawn:
            if node is None or node.upstream.name in waits_by_name:
                continue
            wait = self._weigh(node, pool_state, now)
            waits_by_name[node.upstream.name] = wait
            if wait < best_wait:
                best = node
                best_wait = wait
        if best is None:
            return None
        if len(waits_by_name) == 1:
            return Choice(best, ChoiceReason.ONLY_ONE)
        if near and best.upstream.zone != self._zone:
            return Choice(best, ChoiceReason.OTHER_ZONE)
        return Choice(best, ChoiceReason.SHORTER_WAIT)

    def _weigh(self, node: Node, pool_state: PoolState, now: float) -> float:
        """Return the expected wait with what speaks against the node."""
        wait = node.estimate_wait(pool_state.pool.warm_limit, now)
        if node.upstream.zone != self._zone:
            wait += defaults.ZONE_COST_S
        if node.load.is_outlier:
            # Behind any that is no outlier, yet comparable among them.
            wait *= defaults.OUTLIER_PENALTY
        return wait

    def _draw(
        self, query: RouteQuery, pool_state: PoolState, names: SampledSet
    ) -> Node | None:
        if not names:
            return None
        for _ in range(_DRAWS):
            node = pool_state.nodes_by_name[names.draw(self._rng)]
            if _fits(node, query):
                return node
        return _find_first(names, query, pool_state)

    def _find_idle_cold(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Node | None:
        if not pool_state.permitted:
            return None
        node = pool_state.nodes_by_name[pool_state.permitted.draw(self._rng)]
        if now - node.last_cold_at < defaults.COLD_IDLE_S:
            return None
        if not _fits(node, query):
            return None
        service_s = pool_state.service_s or defaults.SERVICE_TIME_S
        left_s = query.deadline - now
        is_in_time = left_s > service_s * defaults.COLD_SLOWNESS
        return node if is_in_time else None

    def _choose_cold(
        self, query: RouteQuery, pool_state: PoolState
    ) -> Choice | None:
        node = _find_first(pool_state.permitted, query, pool_state)
        if node is None:
            return None
        return Choice(node, ChoiceReason.COLD_ONLY)


@final
class RoundRobin(ChoicePolicy):
    """One after the other, whatever their load: the plain baseline."""

    def __init__(self) -> None:
        """Start with the first of each pool."""
        self._turns_by_pool: dict[str, int] = {}

    def choose(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        """Return the next upstream that is open, in the order of names."""
        names = [*pool_state.ready, *pool_state.permitted]
        names.extend(pool_state.names_by_placement[Placement.FULL])
        names.sort()
        turn = self._turns_by_pool.get(pool_state.pool.name, 0)
        self._turns_by_pool[pool_state.pool.name] = turn + 1
        start = turn % len(names) if names else 0
        for name in names[start:] + names[:start]:
            node = pool_state.nodes_by_name[name]
            if _fits(node, query):
                return Choice(node, ChoiceReason.IN_TURN)
        return None


def _fits(node: Node, query: RouteQuery) -> bool:
    if node.upstream.name in query.excluded:
        return False
    return node.has_model(query)


def _find_first(
    names: Iterable[str], query: RouteQuery, pool_state: PoolState
) -> Node | None:
    """Look through all; only for calls that exclude or need much."""
    for name in names:
        node = pool_state.nodes_by_name[name]
        if _fits(node, query):
            return node
    return None


def _find_by_prefix(query: RouteQuery, pool_state: PoolState) -> Node | None:
    """Return the prefix's upstream while its load is within the bound."""
    mean = (pool_state.total_in_flight + 1) / max(1, pool_state.open_count)
    bound = math.ceil(mean * defaults.AFFINITY_LOAD_BOUND)
    ranked = pool_state.rank_by_prefix(query.prefix)
    for name in ranked[:_AFFINITY_TRIES]:
        node = pool_state.nodes_by_name[name]
        if node.placement is not Placement.READY:
            continue
        if node.load.is_outlier or not _fits(node, query):
            continue
        if node.counted < bound:
            return node
    return None
