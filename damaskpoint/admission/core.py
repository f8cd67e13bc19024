"""The decisions of admission control, without I/O, timers or a clock.

Each call is given the current time. A request waits only while it is
expected to meet its deadline; as soon as it is not, it is refused.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.admission.account_table import AccountTable
from damaskpoint.admission.base import AdmissionPass
from damaskpoint.admission.deadline_checker import DeadlineChecker
from damaskpoint.admission.fair_queue import FairQueue, WaitingRequest
from damaskpoint.admission.pool_limiter import CapacityShare, PoolLimiter
from damaskpoint.admission.service_times import ServiceTimes, bound_retry_after
from damaskpoint.admission.waits import estimate_wait_s
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.admission.base import AdmissionRequest
    from damaskpoint.admission.limits import AccountLimits
    from damaskpoint.admission.pool_limiter import CapacitySource
    from damaskpoint.admission.shares import DemandSource
    from damaskpoint.config.model import Configuration

# Factor on estimated waits, which grow when idle accounts become active.
_WAIT_MARGIN: Final = 1.25


@final
@dataclass(frozen=True, slots=True)
class Queued:
    """A request that waits; ``advance`` returns its outcome by number."""

    number: int


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a queued request."""

    number: int
    result: AdmissionPass | Failure


@final
@dataclass(frozen=True, slots=True)
class _Running:
    """An admitted request."""

    admission_pass: AdmissionPass
    cost: float
    fractions_by_pool: dict[str, float]


@final
class AdmissionCore:
    """Decides which requests of one entry start, wait or are refused."""

    def __init__(
        self,
        own_name: str,
        queue_limit: int,
        demand: DemandSource,
        capacity: CapacitySource,
    ) -> None:
        """Refuse all requests until a configuration is applied."""
        self.accounts = AccountTable(own_name, demand)
        self.pool_limiter = PoolLimiter(capacity)
        self.queue = FairQueue()
        self.service_times = ServiceTimes()
        self._capacity_share = CapacityShare(
            self.pool_limiter, own_name, demand
        )
        self._deadline_checker = DeadlineChecker(
            self.queue, self.accounts, self.pool_limiter, self.service_times
        )
        self._queue_limit = queue_limit
        self._evicted: list[Outcome] = []
        self._numbers = itertools.count(1)
        self._running_by_number: dict[int, _Running] = {}

    # Commands.

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> None:
        """Replace client accounts, pipelines and pools."""
        self.accounts.apply_configuration(configuration, now)
        self.pool_limiter.apply_configuration(configuration)
        self.service_times.keep_only(
            frozenset(configuration.pipelines_by_name)
            | frozenset(configuration.pools_by_name)
        )
        for name, account in configuration.accounts_by_name.items():
            self.queue.set_account(name, account.weight, account.priority)
        self._capacity_share.reset()

    def offer(
        self, request: AdmissionRequest, now: float
    ) -> AdmissionPass | Queued | Failure:
        """Admit, queue or refuse a request."""
        self._capacity_share.refresh(self.running_count + len(self.queue), now)
        limits = self.accounts.find_limits(request.account, now)
        if limits is None:
            return Failure(Code.UNKNOWN_ACCOUNT, request.account)
        limits.demand.record_offer(now)
        refusal = limits.take_token(now)
        if refusal is not None:
            return refusal
        decision = self._start_or_enqueue(request, limits, now)
        if isinstance(decision, Failure):
            limits.return_token()
        return decision

    def release(
        self, admission_pass: AdmissionPass, now: float, *, is_complete: bool
    ) -> None:
        """Release a pass; a second call has no effect."""
        running = self._running_by_number.pop(admission_pass.number, None)
        if running is None:
            return
        account = admission_pass.account
        seconds = now - admission_pass.admitted_at
        self.service_times.record_end(
            admission_pass.target, seconds, now, is_complete=is_complete
        )
        self.queue.charge(account, seconds - running.cost)
        self.pool_limiter.end(running.fractions_by_pool)
        limits = self.accounts.find_existing(account)
        if limits is not None:
            limits.in_flight -= 1

    def advance(self, now: float) -> tuple[Outcome, ...]:
        """Refuse waiting requests that would be late and start others.

        Includes the outcomes of requests evicted since the last call.
        """
        outcomes = self._evicted
        self._evicted = []
        if not self.queue:
            return tuple(outcomes)
        self._capacity_share.refresh(self.running_count + len(self.queue), now)
        outcomes.extend(self._refuse_infeasible(now))
        while True:
            item = self._pop_next(now)
            if item is None:
                return tuple(outcomes)
            outcomes.append(self._finish_wait(item, now))

    # Queries.

    @property
    def next_check(self) -> float | None:
        """Return the time of the next ``advance``; None if nothing waits."""
        return self._deadline_checker.next_check

    @property
    def running_count(self) -> int:
        """Return the number of running requests."""
        return len(self._running_by_number)

    # Steps.

    def _start_or_enqueue(
        self, request: AdmissionRequest, limits: AccountLimits, now: float
    ) -> AdmissionPass | Queued | Failure:
        item = self._create_item(request, now)
        estimate = self.service_times.estimate(request.target, now)
        if self._can_start(item, limits):
            if now + estimate.lower_s > item.deadline:
                return _create_deadline_failure(estimate.lower_s, item, now)
            self.queue.charge_immediate_start(item.account, item.cost)
            return self._start(item, limits, now)
        own_backlog = _find_own_backlog(self.queue, item)
        wait_s = estimate_wait_s(
            item, own_backlog, self.queue, self.pool_limiter, limits
        )
        needed_s = wait_s * _WAIT_MARGIN + estimate.upper_s
        if now + needed_s > item.deadline:
            return _create_deadline_failure(needed_s, item, now)
        return self._enqueue(item, wait_s, now)

    def _enqueue(
        self, item: WaitingRequest, wait_s: float, now: float
    ) -> Queued | Failure:
        if len(self.queue) >= self._queue_limit:
            queue_full = Failure(
                Code.QUEUE_FULL, retry_after_s=bound_retry_after(wait_s)
            )
            victim = self.queue.find_eviction_candidate()
            if victim is None or _has_longer_backlog(self.queue, item, victim):
                return queue_full
            # The account with the longest backlog loses its newest request.
            self.queue.remove(victim.number)
            self._evicted.append(Outcome(victim.number, queue_full))
        self.queue.push(item)
        self._deadline_checker.schedule_check(item, now)
        return Queued(item.number)

    def _create_item(
        self, request: AdmissionRequest, now: float
    ) -> WaitingRequest:
        mean_s = self.service_times.estimate(request.target, now).mean_s
        return WaitingRequest(
            next(self._numbers),
            request.account,
            request.target,
            request.arrived_at,
            request.deadline,
            mean_s or defaults.ASSUMED_SERVICE_TIME_S,
            self.pool_limiter.fractions_of(request.target),
        )

    def _can_start(self, item: WaitingRequest, limits: AccountLimits) -> bool:
        """Return whether the item may start ahead of the queue."""
        if not limits.may_start or not self.pool_limiter.has_capacity(
            item.target
        ):
            return False
        # While the pools have capacity, other accounts wait only for their own
        # limits, so only this account's backlog has to be served first.
        return not any(_find_own_backlog(self.queue, item).values())

    def _start(
        self, item: WaitingRequest, limits: AccountLimits, now: float
    ) -> AdmissionPass:
        admission_pass = AdmissionPass(
            item.number, item.account, item.target, now
        )
        limits.in_flight += 1
        self.service_times.record_start(item.target)
        self._running_by_number[item.number] = _Running(
            admission_pass, item.cost, self.pool_limiter.start(item.target)
        )
        return admission_pass

    def _pop_next(self, now: float) -> WaitingRequest | None:
        targets = []
        for target in self.queue.targets():
            if self.pool_limiter.has_capacity(target):
                targets.append(target)
        return self.queue.pop(targets, self._may_start)

    def _may_start(self, account: str) -> bool:
        limits = self.accounts.find_existing(account)
        return limits is not None and limits.may_start

    def _finish_wait(self, item: WaitingRequest, now: float) -> Outcome:
        limits = self.accounts.find_existing(item.account)
        upper_s = self.service_times.estimate(item.target, now).upper_s
        if limits is None or now + upper_s > item.deadline:
            self.queue.charge(item.account, -item.cost)
            return Outcome(
                item.number, _create_deadline_failure(upper_s, item, now)
            )
        return Outcome(item.number, self._start(item, limits, now))

    def _refuse_infeasible(self, now: float) -> list[Outcome]:
        refused = []
        for infeasible in self._deadline_checker.find_infeasible(now):
            item = infeasible.item
            self.queue.remove(item.number)
            failure = _create_deadline_failure(infeasible.needed_s, item, now)
            refused.append(Outcome(item.number, failure))
        return refused


def _find_own_backlog(
    queue: FairQueue, item: WaitingRequest
) -> dict[str, float]:
    """Return the waiting cost of the item's account for each of its pools."""
    return {
        pool: queue.backlog.cost_of(pool, item.account)
        for pool in item.fractions_by_pool
    }


def _has_longer_backlog(
    queue: FairQueue, item: WaitingRequest, other: WaitingRequest
) -> bool:
    """Return whether the item would make its account's backlog the longest.

    Backlogs are compared by cost over weight; ``other`` belongs to the
    account with the longest one now. Of equal backlogs, the item's counts as
    longer.
    """
    own_cost = queue.cost_of(item.account) + item.cost
    own = own_cost / queue.weight_of(item.account)
    other_cost = queue.cost_of(other.account)
    return own >= other_cost / queue.weight_of(other.account)


def _create_deadline_failure(
    needed_s: float, item: WaitingRequest, now: float
) -> Failure:
    """Return the failure of a request that cannot meet its deadline.

    The retry delay is the time by which the request would be late: after it,
    that much of the backlog has been served.
    """
    shortfall_s = needed_s - (item.deadline - now)
    return Failure(
        Code.DEADLINE_TOO_SHORT,
        f'about {needed_s:.2f} s are needed',
        retry_after_s=bound_retry_after(shortfall_s),
    )
