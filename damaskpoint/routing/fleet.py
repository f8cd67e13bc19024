"""All upstreams as one entry sees them, placed by the calls they can take."""

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
    from damaskpoint.routing.permits import PermitManager
    from damaskpoint.routing.ranks import EntryRanks
    from damaskpoint.routing.warmth import WarmthTracker

_OPEN_PLACEMENTS = frozenset((Placement.READY, Placement.PERMITTED))
_FOREVER = float('inf')
# Time after an invalidation until a newer report can be a proof (seconds).
_PROOF_DELAY_S = defaults.LOAD_REPORT_LAG_S + defaults.LOAD_POLL_S


@final
class Fleet:
    """The upstreams by name, and the state and wait queue of each pool."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        warmth: WarmthTracker,
        permits: PermitManager,
        ranks: EntryRanks,
        *,
        is_guarded: bool,
    ) -> None:
        """Start with no upstreams.

        If ``is_guarded`` is false, a cold upstream counts as a warm one; only
        the baseline of measurements and tests use this.
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
        """Apply the changes of the directory."""
        for name in self._directory.take_changed():
            node = self._sync_node(name, now)
            if node is not None:
                self.refresh(node, now)

    def take_restarted(self) -> list[Node]:
        """Return and clear the upstreams that the list shows as restarted."""
        restarted = self._restarted
        self._restarted = []
        return restarted

    def refresh(self, node: Node, now: float) -> None:
        """Update an upstream's placement; wake a waiter if it has capacity."""
        pool_state = self.states_by_pool[node.upstream.pool]
        others = node.load.estimate_others(now)
        pool_state.set_in_flight(node, node.load.own_in_flight + others)
        placement = self._find_placement(node, pool_state, others, now)
        pool_state.place(node, placement)
        self._set_timer(node, placement, now)
        if placement in _OPEN_PLACEMENTS:
            self.queues_by_pool[node.upstream.pool].wake_next()

    def run_timers(self, now: float) -> None:
        """Refresh each upstream whose timer is due."""
        due: list[tuple[float, str]] = []
        while self._timers and self._timers[0][0] <= now:
            due.append(heapq.heappop(self._timers))
        # A timer that this loop sets to ``now`` runs in the next call.
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
        """Decay the service times of outliers, so that they are tried again."""
        for pool_state in self.states_by_pool.values():
            if not pool_state.outliers:
                continue
            for node in pool_state.nodes_by_name.values():
                if node.load.is_outlier:
                    decay_outlier(pool_state, node, now)

    def drop_stale_shares(self, now: float) -> None:
        """Remove the shares that peers have not renewed in time."""
        before = now - defaults.PEER_TIMEOUT_S
        for node in self.nodes_by_name.values():
            if not node.load.shares_by_peer:
                continue
            node.load.drop_stale_shares(before)
            self.refresh(node, now)

    # Queries.

    def can_take_call(self, node: Node) -> bool:
        """Return whether the upstream can take a call."""
        return node.placement in _OPEN_PLACEMENTS

    # Steps.

    def _sync_node(self, name: str, now: float) -> Node | None:
        """Update and return the node of an upstream, or None if it has none."""
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
            self._update_pool(pool_state)
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
            self._warmth.set_proof_bound(name, defaults.NONREPORTING_PROOF_S)
        return node

    def _update_pool(self, pool_state: PoolState) -> None:
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
        if self._counts_as_warm(name, pool_state, now):
            return self._place_warm(node, pool_state, others)
        return self._place_cold(node, pool_state, now)

    def _counts_as_warm(
        self, name: str, pool_state: PoolState, now: float
    ) -> bool:
        pool = pool_state.pool
        if not self._is_guarded or pool.cold_limit >= pool.warm_limit:
            return True
        return self._warmth.is_warm(name, now)

    def _place_warm(
        self, node: Node, pool_state: PoolState, others: int
    ) -> Placement:
        """Return the placement; each entry is guaranteed a fair share.

        The calls of other entries are known with a delay. Without a share of
        its own, an entry would wait while others reuse the capacity that they
        free.
        """
        limit = pool_state.pool.warm_limit
        own_in_flight = node.load.own_in_flight
        fair_share = max(1, limit // self._ranks.count)
        if own_in_flight + others < limit or own_in_flight < fair_share:
            return Placement.READY
        return Placement.FULL

    def _place_cold(
        self, node: Node, pool_state: PoolState, now: float
    ) -> Placement:
        name = node.upstream.name
        limit = pool_state.pool.cold_limit
        own_in_flight = node.load.own_in_flight
        node.available_at = _estimate_available(
            self._permits, self._warmth, node, pool_state, now
        )
        if own_in_flight + node.load.peers_in_flight >= limit:
            return Placement.COLD
        is_nonreporting = not pool_state.pool.reports_load
        if not is_nonreporting and not self._warmth.is_cold_confirmed(
            name, now
        ):
            # It may have been warm in between and run calls of other entries.
            return Placement.COLD
        if self._permits.count_free_permits(name, own_in_flight, limit, now):
            return Placement.PERMITTED
        return Placement.COLD

    def _set_timer(self, node: Node, placement: Placement, now: float) -> None:
        name = node.upstream.name
        timer_at = node.timer_at
        # A half-open breaker waits for the end of its probe, not for a timer.
        if placement is Placement.BREAKER_OPEN:
            if node.breaker.open_until > now:
                timer_at = min(timer_at, node.breaker.open_until)
        if placement in {Placement.READY, Placement.FULL}:
            expiry = self._warmth.find_expiry(name)
            if expiry > 0:
                timer_at = min(timer_at, expiry)
        closing = self._directory.find_closing_time(name)
        if closing is not None and placement is not Placement.CLOSED:
            timer_at = min(timer_at, closing)
        if timer_at < node.timer_at:
            node.timer_at = timer_at
            heapq.heappush(self._timers, (timer_at, name))


def _estimate_available(
    permits: PermitManager,
    warmth: WarmthTracker,
    node: Node,
    pool_state: PoolState,
    now: float,
) -> float:
    """Return when a cold upstream may take a call of this entry.

    Infinite if other entries have its permits or no permit is expected.
    """
    name = node.upstream.name
    if permits.is_held(name, now):
        return max(now, permits.find_ready_at(name))
    is_reported_cold = warmth.find_reason(name) in SIGNS_OF_COLD
    if is_reported_cold or not pool_state.pool.reports_load:
        return permits.find_claim_ready_at(name, now)
    # Unproven, but not reported cold: its next report may prove it warm.
    return max(now, warmth.find_invalidated_at(name) + _PROOF_DELAY_S)
