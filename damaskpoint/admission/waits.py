"""Estimates how long a request waits before it starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.admission.fair_queue import FairQueue, WaitingRequest
    from damaskpoint.admission.limits import AccountLimits
    from damaskpoint.admission.pool_limiter import PoolLimiter


def estimate_wait_s(
    item: WaitingRequest,
    ahead_by_pool: Mapping[str, float],
    queue: FairQueue,
    pool_limiter: PoolLimiter,
    limits: AccountLimits,
) -> float:
    """Return the estimated wait of a request in seconds.

    ``ahead_by_pool`` is the cost, in seconds of service, of the account's own
    requests that are ahead of the item.

    In each pool, fair queueing gives two bounds on the wait, of which the
    lower applies: the whole backlog of the pool, and the account's own
    backlog served at its guaranteed share. The account's limit on requests
    in flight may make the wait longer.
    """
    waits_s: list[float] = [0]
    ahead_total: float = 0
    for pool in item.fractions_by_pool:
        ahead = ahead_by_pool.get(pool, 0)
        ahead_total += ahead
        limit = pool_limiter.find_limit(pool)
        if limit is not None:
            waits_s.append(_estimate_in_pool(item, pool, ahead, queue) / limit)
    return max(*waits_s, ahead_total / max(1, limits.max_in_flight))


def _estimate_in_pool(
    item: WaitingRequest, pool: str, ahead: float, queue: FairQueue
) -> float:
    """Return the seconds of service that a pool provides before the item."""
    others_cost = queue.backlog.total_cost(pool)
    others_cost -= queue.backlog.cost_of(pool, item.account)
    weight = queue.weight_of(item.account)
    total_weight = max(weight, queue.backlog.total_weight(pool))
    return min(max(0, others_cost) + ahead, ahead * total_weight / weight)
