"""Policies that choose one of the upstreams that can take a call.

``TwoChoices`` is the policy in production. ``RoundRobin`` is the baseline for
measurements; it is selected in code, and no setting selects it.
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

# Random draws for one candidate; if none fits, all upstreams are searched.
_MAX_DRAWS = 4
# Upstreams tried in a prefix's order before the call loses its affinity.
_AFFINITY_TRIES = 2


@final
@enum.unique
class ChoiceReason(enum.Enum):
    """Why an upstream was chosen."""

    AFFINITY = 'affinity'
    SHORTER_WAIT = 'shorter_wait'
    OTHER_ZONE = 'other_zone'
    ONLY_ONE = 'only_one'
    # A cold upstream: to warm it up, or because no warm one has capacity.
    COLD_IDLE = 'cold_idle'
    COLD_ONLY = 'cold_only'
    IN_TURN = 'in_turn'
    # A cold upstream, under a permit lent by a peer.
    BORROWED = 'borrowed'
    # The only upstream that can resume a stream.
    RESUMED = 'resumed'


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen upstream and the reason for the choice."""

    node: Node
    reason: ChoiceReason
    # Whether a call with a prefix did not get its preferred upstream.
    is_affinity_broken: bool = False


class ChoicePolicy(abc.ABC):
    """Chooses among the upstreams of a pool."""

    @abc.abstractmethod
    def choose(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        """Return a choice, or None if no upstream can take the call."""


@final
class TwoChoices(ChoicePolicy):
    """Power of two choices: the random candidate with the shortest wait.

    Two candidates are drawn from the local availability zone and one from all
    zones. The wait of an upstream in another zone includes the cost of a call
    between zones. A prefix keeps its preferred upstream while the load of that
    upstream is within a bound relative to the pool's mean.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Create the policy for an entry in this availability zone."""
        self._zone = zone
        self._rng = rng

    def choose(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        """Return a choice; prefer an idle cold upstream that has a permit.

        Other cold upstreams are the last resort.
        """
        idle = self._find_idle_cold(query, pool_state, now)
        if idle is not None:
            return Choice(idle, ChoiceReason.COLD_IDLE)
        if not pool_state.ready:
            return self._choose_cold(query, pool_state)
        if query.prefix:
            preferred = _find_by_prefix(query, pool_state)
            if preferred is not None:
                return Choice(preferred, ChoiceReason.AFFINITY)
        chosen = self._choose_warm(query, pool_state, now)
        if chosen is None:
            return self._choose_cold(query, pool_state)
        return Choice(chosen.node, chosen.reason, bool(query.prefix))

    def _choose_warm(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        local = pool_state.ready_by_zone.get(self._zone, pool_state.ready)
        drawn = (
            self._draw(query, pool_state, local),
            self._draw(query, pool_state, local),
            self._draw(query, pool_state, pool_state.ready),
        )
        costs_by_name: dict[str, float] = {}
        best: Node | None = None
        best_cost = math.inf
        for node in drawn:
            if node is None or node.upstream.name in costs_by_name:
                continue
            cost = self._estimate_cost(node, pool_state, now)
            costs_by_name[node.upstream.name] = cost
            if cost < best_cost:
                best = node
                best_cost = cost
        if best is None:
            return None
        if len(costs_by_name) == 1:
            return Choice(best, ChoiceReason.ONLY_ONE)
        if local and best.upstream.zone != self._zone:
            return Choice(best, ChoiceReason.OTHER_ZONE)
        return Choice(best, ChoiceReason.SHORTER_WAIT)

    def _estimate_cost(
        self, node: Node, pool_state: PoolState, now: float
    ) -> float:
        """Return the expected wait (seconds) plus penalties for the node."""
        wait = node.estimate_wait(pool_state.pool.warm_limit, now)
        if node.upstream.zone != self._zone:
            wait += defaults.ZONE_COST_S
        if node.load.is_outlier:
            # Ranks outliers behind all others but keeps their order.
            wait *= defaults.OUTLIER_PENALTY
        return wait

    def _draw(
        self, query: RouteQuery, pool_state: PoolState, names: SampledSet
    ) -> Node | None:
        if not names:
            return None
        for _ in range(_MAX_DRAWS):
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
        service_s = pool_state.service_s or defaults.INITIAL_SERVICE_TIME_S
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
    """Uses upstreams in turn, regardless of their load: the baseline."""

    def __init__(self) -> None:
        """Start with the first upstream of each pool."""
        self._turns_by_pool: dict[str, int] = {}

    def choose(
        self, query: RouteQuery, pool_state: PoolState, now: float
    ) -> Choice | None:
        """Return the next open upstream by name that fits the call."""
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
    """Return the first upstream that fits; may examine all names."""
    for name in names:
        node = pool_state.nodes_by_name[name]
        if _fits(node, query):
            return node
    return None


def _find_by_prefix(query: RouteQuery, pool_state: PoolState) -> Node | None:
    """Return the preferred upstream while its load is within the bound."""
    mean = (pool_state.total_in_flight + 1) / max(1, pool_state.open_count)
    bound = math.ceil(mean * defaults.AFFINITY_LOAD_BOUND)
    ranked = pool_state.rank_by_prefix(query.prefix)
    for name in ranked[:_AFFINITY_TRIES]:
        node = pool_state.nodes_by_name[name]
        if node.placement is not Placement.READY:
            continue
        if node.load.is_outlier or not _fits(node, query):
            continue
        if node.counted_in_flight < bound:
            return node
    return None
