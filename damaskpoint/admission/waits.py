"""Estimates how long a request would wait for its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.admission.fair_queue import FairQueue
    from damaskpoint.admission.limits import AccountLimits


def estimate_wait_s(
    queue: FairQueue,
    limits: AccountLimits,
    ahead_cost: float,
    slots: float | None,
) -> float:
    """Return the wait behind ``ahead_cost`` of the account's own requests.

    Fair queueing bounds it twice: by all that waits, and by the own backlog
    at the account's guaranteed part of the slots. The account's own limit
    on requests in flight may make it longer. Costs are seconds of service.
    """
    wait_s: float = 0
    if slots is not None:
        others_cost = queue.total_cost - queue.cost_of(limits.account.name)
        by_all_s = (max(0, others_cost) + ahead_cost) / slots
        weight = queue.weight_of(limits.account.name)
        guaranteed = slots * weight / max(weight, queue.active_weight)
        wait_s = min(by_all_s, ahead_cost / guaranteed)
    in_flight = limits.max_in_flight
    if in_flight:
        wait_s = max(wait_s, ahead_cost / in_flight)
    return wait_s
