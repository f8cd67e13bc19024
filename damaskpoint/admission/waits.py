"""Estimates how long a request would wait for its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.admission.fair_queue import FairQueue, Waiting
    from damaskpoint.admission.limits import AccountLimits
    from damaskpoint.admission.pool_limiter import PoolGate


def estimate_wait_s(
    item: Waiting,
    ahead_by_pool: Mapping[str, float],
    queue: FairQueue,
    gate: PoolGate,
    limits: AccountLimits,
) -> float:
    """Return the wait behind what the account itself has waiting ahead.

    In each pool fair queueing bounds the wait twice: by all that waits for
    the pool, and by the own backlog at the account's guaranteed part. The
    account's own limit on requests in flight may make it longer. Costs are
    seconds of service.
    """
    waits_s: list[float] = [0]
    ahead_total: float = 0
    for pool in item.parts_by_pool:
        ahead = ahead_by_pool.get(pool, 0)
        ahead_total += ahead
        calls = gate.find_limit(pool)
        if calls is not None:
            waits_s.append(_estimate_in_pool(item, pool, ahead, queue) / calls)
    return max(*waits_s, ahead_total / max(1, limits.max_in_flight))


def _estimate_in_pool(
    item: Waiting, pool: str, ahead: float, queue: FairQueue
) -> float:
    """Return the seconds of service that a pool gives before the item."""
    others = queue.backlog.total_cost(pool)
    others -= queue.backlog.cost_of(pool, item.account)
    weight = queue.weight_of(item.account)
    weights = max(weight, queue.backlog.total_weight(pool))
    return min(max(0, others) + ahead, ahead * weights / weight)
