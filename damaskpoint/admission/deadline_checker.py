"""Finds the waiting requests that can no longer meet their deadlines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.admission.waits import estimate_wait_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.admission.account_table import AccountTable
    from damaskpoint.admission.fair_queue import FairQueue, Waiting
    from damaskpoint.admission.pool_limiter import PoolGate
    from damaskpoint.admission.service_times import ServiceTimes


@final
@dataclass(frozen=True, slots=True)
class Hopeless:
    """A request that cannot be in time, and what it would need."""

    item: Waiting
    needed_s: float


@final
class Judgement:
    """Judges all that waits at regular times, and when one is due."""

    def __init__(
        self,
        queue: FairQueue,
        accounts: AccountTable,
        gate: PoolGate,
        times: ServiceTimes,
    ) -> None:
        """Start with nothing due."""
        self._queue = queue
        self._accounts = accounts
        self._gate = gate
        self._times = times
        self._next_check = float('inf')

    # Commands.

    def note_waiting(self, item: Waiting, now: float) -> None:
        """Take a request that begins to wait."""
        self._next_check = min(
            self._next_check,
            now + defaults.ADMISSION_TICK_S,
            self._find_last_start(item, now),
        )

    def find_hopeless(self, now: float) -> list[Hopeless]:
        """Return what cannot be in time, if a check is due.

        The caller takes it out of the queue.
        """
        if now < self._next_check:
            return []
        found = []
        due = now + defaults.ADMISSION_TICK_S
        ahead_by_account: dict[str, dict[str, float]] = {}
        for item in self._queue.list_waiting():
            ahead = ahead_by_account.setdefault(item.account, {})
            needed_s = self._find_needed_s(item, ahead, now)
            if now + needed_s > item.deadline:
                found.append(Hopeless(item, needed_s))
                continue
            due = min(due, self._find_last_start(item, now))
            for pool, part in item.parts_by_pool.items():
                ahead[pool] = ahead.get(pool, 0) + item.cost * part
        self._next_check = due
        return found

    # Queries.

    @property
    def next_check(self) -> float | None:
        """Return when a check is due; None while nothing waits."""
        return self._next_check if self._queue else None

    def _find_needed_s(
        self, item: Waiting, ahead: Mapping[str, float], now: float
    ) -> float:
        """Return wait and service; infinite for an account that is gone."""
        limits = self._accounts.find_limits(item.account, now)
        if limits is None:
            return float('inf')
        wait_s = estimate_wait_s(item, ahead, self._queue, self._gate, limits)
        return wait_s + self._times.estimate(item.target, now).long_s

    def _find_last_start(self, item: Waiting, now: float) -> float:
        return item.deadline - self._times.estimate(item.target, now).long_s
