"""All upstreams of one entry, each placed by what it can take now."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.routing import metrics
from damaskpoint.routing.nodes import Node, Placement, PoolState
from damaskpoint.routing.outliers import decay_outlier
from damaskpoint.routing.waiting import WaitQueue
from damaskpoint.routing.warmth import SIGNS_OF_COLD, UnprovenReason

if TYPE_CHECKING:
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.routing.permits import PermitBook
    from damaskpoint.routing.ranks import EntryRanks
    from damaskpoint.routing.warmth import WarmthBook

_OPEN_PLACEMENTS = frozenset((Placement.READY, Placement.PERMITTED))
_FOREVER = float('inf')
# Time until a report that is asked for after a doubt is a proof (seconds).
_PROOF_S = defaults.LOAD_REPORT_LAG_S + defaults.LOAD_POLL_S


@final
class Fleet:
    """The upstreams by name, and by pool with those that wait for them."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        warmth: WarmthBook,
        permits: PermitBook,
        ranks: EntryRanks,
        *,
        is_guarded: bool,
    ) -> None:
        """Start with no upstreams.

        Without the guard a cold upstream counts as a warm one: that is for
        a measurement's baseline and for tests alone.
        """
        self.nodes_by_name: dict[str, Node] = {}
        self.states_by_pool: dict[str, PoolState] = {}
        self.queues_by_pool: dict[str, WaitQueue] = {}
        self._directory = directory
        self._warmth = warmth
        self._permits = permits
        self._ranks = ranks
        self._is_guarded = is_guarded
        self._timers: list[tuple[float, str]] = []
        self._restarted: list[Node] = []

    # Commands.

    def sync_directory(self, now: float) -> None:
        """Take over what changed in the directory."""
        for name in self._directory.take_changed():
            node = self._meet(name, now)
            if node is not None:
                self.refresh(node, now)

    def take_restarted(self) -> list[Node]:
        """Return the upstreams that the list shows as restarted."""
        restarted = self._restarted
        self._restarted = []
        return restarted

    def refresh(self, node: Node, now: float) -> None:
        """Place an upstream where it belongs now, and wake a waiter."""
        pool_state = self.states_by_pool[node.upstream.pool]
        others = node.load.estimate_others(now)
        pool_state.count(node, node.load.own + others)
        placement = self._find_placement(node, pool_state, others, now)
        pool_state.place(node, placement)
        self._set_timer(node, placement, now)
        if placement in _OPEN_PLACEMENTS:
            self.queues_by_pool[node.upstream.pool].wake_next()

    def run_timers(self, now: float) -> None:
        """Look again at each upstream whose time has come."""
        due: list[tuple[float, str]] = []
        while self._timers and self._timers[0][0] <= now:
            due.append(heapq.heappop(self._timers))
        # A timer that is set anew for now is left to the next run.
        for timer_at, name in due:
            node = self.nodes_by_name.get(name)
            if node is None or node.timer_at != timer_at:
                continue
            node.timer_at = _FOREVER
            if self._warmth.expire(name, now):
                reason = UnprovenReason.STALE.value
                metrics.UNPROVEN.inc({'reason': reason})
            self.refresh(node, now)

    def decay_outliers(self, now: float) -> None:
        """Let slow upstreams be tried again in time."""
        for pool_state in self.states_by_pool.values():
            if not pool_state.outliers:
                continue
            for node in pool_state.nodes_by_name.values():
                if node.load.is_outlier:
                    decay_outlier(pool_state, node, now)

    def drop_silent(self, now: float) -> None:
        """Forget the shares of peers that have gone silent."""
        before = now - defaults.PEER_TIMEOUT_S
        for node in self.nodes_by_name.values():
            if not node.load.shares_by_peer:
                continue
            node.load.drop_silent(before)
            self.refresh(node, now)

    # Queries.

    def is_placed_open(self, node: Node) -> bool:
        """Return whether the upstream can take a call."""
        return node.placement in _OPEN_PLACEMENTS

    # Steps.

    def _meet(self, name: str, now: float) -> Node | None:
        """Return the node of a listed upstream, as it is listed now."""
        upstream = self._directory.find(name)
        node = self.nodes_by_name.get(name)
        if upstream is None:
            self._forget(name)
            return None
        if node is not None and node.upstream.pool == upstream.pool:
            pool_state = self.states_by_pool[upstream.pool]
            if node.upstream.zone != upstream.zone:
                pool_state.place(node, Placement.CLOSED)
            if upstream.incarnation > node.upstream.incarnation:
                self._restarted.append(node)
            node.upstream = upstream
            self._adopt_pool(pool_state)
            return node
        pool = self._directory.find_pool(upstream.pool)
        self._forget(name)
        if pool is None:
            return None
        pool_state = self.states_by_pool.setdefault(pool.name, PoolState(pool))
        self.queues_by_pool.setdefault(pool.name, WaitQueue())
        node = Node(upstream)
        self.nodes_by_name[name] = node
        pool_state.add(node)
        if not pool.reports_load:
            self._warmth.lengthen(name, defaults.SILENT_PROOF_S)
        return node

    def _adopt_pool(self, pool_state: PoolState) -> None:
        pool = self._directory.find_pool(pool_state.pool.name)
        if pool is not None:
            pool_state.pool = pool

    def _forget(self, name: str) -> None:
        node = self.nodes_by_name.pop(name, None)
        if node is None:
            return
        self._warmth.forget(name)
        pool_state = self.states_by_pool[node.upstream.pool]
        pool_state.remove(name)
        if node.load.is_outlier:
            pool_state.outliers -= 1

    def _find_placement(
        self, node: Node, pool_state: PoolState, others: int, now: float
    ) -> Placement:
        name = node.upstream.name
        if not self._directory.is_open(name, now):
            return Placement.CLOSED
        if not node.breaker.allows(now):
            return Placement.BREAKER_OPEN
        if self._bears_warm_load(name, pool_state, now):
            return self._place_warm(node, pool_state, others)
        return self._place_cold(node, pool_state, now)

    def _bears_warm_load(
        self, name: str, pool_state: PoolState, now: float
    ) -> bool:
        pool = pool_state.pool
        if not self._is_guarded or pool.cold_limit >= pool.warm_limit:
            return True
        return self._warmth.is_warm(name, now)

    def _place_warm(
        self, node: Node, pool_state: PoolState, others: int
    ) -> Placement:
        """Leave each entry a fair part, whatever the others seem to use.

        Others' calls are known late: without a part of its own, an entry
        would wait while the others fill each place that they free.
        """
        limit = pool_state.pool.warm_limit
        own = node.load.own
        fair = max(1, limit // self._ranks.count)
        if own + others < limit or own < fair:
            return Placement.READY
        return Placement.FULL

    def _place_cold(
        self, node: Node, pool_state: PoolState, now: float
    ) -> Placement:
        name = node.upstream.name
        limit = pool_state.pool.cold_limit
        own = node.load.own
        node.hope_at = _find_hope(
            self._permits, self._warmth, node, pool_state, now
        )
        if own + node.load.peers_total >= limit:
            return Placement.COLD
        is_silent = not pool_state.pool.reports_load
        if not is_silent and not self._warmth.is_cold_confirmed(name, now):
            # It may have been warm in between, with others' calls inside.
            return Placement.COLD
        if self._permits.find_room(name, own, limit, now):
            return Placement.PERMITTED
        return Placement.COLD

    def _set_timer(self, node: Node, placement: Placement, now: float) -> None:
        name = node.upstream.name
        timer_at = node.timer_at
        # A half-open breaker waits for the end of its probe, not for a time.
        if placement is Placement.BREAKER_OPEN:
            if node.breaker.opens_until > now:
                timer_at = min(timer_at, node.breaker.opens_until)
        if placement in {Placement.READY, Placement.FULL}:
            expiry = self._warmth.find_expiry(name)
            if expiry > 0:
                timer_at = min(timer_at, expiry)
        closing = self._directory.find_closing(name)
        if closing is not None and placement is not Placement.CLOSED:
            timer_at = min(timer_at, closing)
        if timer_at < node.timer_at:
            node.timer_at = timer_at
            heapq.heappush(self._timers, (timer_at, name))


def _find_hope(
    permits: PermitBook,
    warmth: WarmthBook,
    node: Node,
    pool_state: PoolState,
    now: float,
) -> float:
    """Return when a cold upstream may take a call of this entry.

    Infinite when others have its permits, or none is in sight.
    """
    name = node.upstream.name
    if permits.is_held(name, now):
        return max(now, permits.find_ready(name))
    said_cold = warmth.find_reason(name) in SIGNS_OF_COLD
    if said_cold or not pool_state.pool.reports_load:
        return permits.find_claimed(name, now)
    # Unproven alone: its next report may prove it warm.
    return max(now, warmth.find_doubt(name) + _PROOF_S)
