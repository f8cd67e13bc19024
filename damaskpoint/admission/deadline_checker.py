"""Finds the waiting requests that can no longer meet their deadlines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.admission.waits import estimate_wait_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.admission.account_table import AccountTable
    from damaskpoint.admission.fair_queue import FairQueue, WaitingRequest
    from damaskpoint.admission.pool_limiter import PoolLimiter
    from damaskpoint.admission.service_times import ServiceTimes


@final
@dataclass(frozen=True, slots=True)
class InfeasibleRequest:
    """A waiting request that cannot meet its deadline.

    ``needed_s`` is its estimated time to completion in seconds.
    """

    item: WaitingRequest
    needed_s: float


@final
class DeadlineChecker:
    """Checks the queue periodically and at each latest start time."""

    def __init__(
        self,
        queue: FairQueue,
        accounts: AccountTable,
        pool_limiter: PoolLimiter,
        service_times: ServiceTimes,
    ) -> None:
        """Start with no check scheduled."""
        self._queue = queue
        self._accounts = accounts
        self._pool_limiter = pool_limiter
        self._service_times = service_times
        self._next_check = float('inf')

    # Commands.

    def schedule_check(self, item: WaitingRequest, now: float) -> None:
        """Schedule the next check in time for a newly queued request."""
        self._next_check = min(
            self._next_check,
            now + defaults.ADMISSION_TICK_S,
            self._find_latest_start(item, now),
        )

    def find_infeasible(self, now: float) -> list[InfeasibleRequest]:
        """Return the infeasible requests, if a check is due.

        The caller removes them from the queue.
        """
        if now < self._next_check:
            return []
        infeasible = []
        due = now + defaults.ADMISSION_TICK_S
        ahead_by_account: dict[str, dict[str, float]] = {}
        for item in self._queue.list_waiting():
            ahead = ahead_by_account.setdefault(item.account, {})
            needed_s = self._find_needed_s(item, ahead, now)
            if now + needed_s > item.deadline:
                infeasible.append(InfeasibleRequest(item, needed_s))
                continue
            due = min(due, self._find_latest_start(item, now))
            for pool, fraction in item.fractions_by_pool.items():
                ahead[pool] = ahead.get(pool, 0) + item.cost * fraction
        self._next_check = due
        return infeasible

    # Queries.

    @property
    def next_check(self) -> float | None:
        """Return the time of the next check; None if nothing waits."""
        return self._next_check if self._queue else None

    def _find_needed_s(
        self, item: WaitingRequest, ahead: Mapping[str, float], now: float
    ) -> float:
        """Return the seconds to completion; infinite for a removed account."""
        limits = self._accounts.find_limits(item.account, now)
        if limits is None:
            return float('inf')
        wait_s = estimate_wait_s(
            item, ahead, self._queue, self._pool_limiter, limits
        )
        return wait_s + self._service_times.estimate(item.target, now).upper_s

    def _find_latest_start(self, item: WaitingRequest, now: float) -> float:
        return (
            item.deadline
            - self._service_times.estimate(item.target, now).upper_s
        )
