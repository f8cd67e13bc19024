"""Decides which requests start, wait or are refused.

Requests and releases come in with the present time; passes and failures
come out. A request waits only while it can be expected to meet its
deadline; one that no longer can is ended at that moment.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.admission.account_table import AccountTable
from damaskpoint.admission.base import AdmissionPass
from damaskpoint.admission.deadline_checker import Judgement
from damaskpoint.admission.fair_queue import FairQueue, Waiting
from damaskpoint.admission.pool_limiter import CapacityShare, PoolGate
from damaskpoint.admission.service_times import ServiceTimes, bound_retry_after
from damaskpoint.admission.waits import estimate_wait_s
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.admission.base import AdmissionRequest
    from damaskpoint.admission.limits import AccountLimits
    from damaskpoint.admission.pool_limiter import CapacitySource
    from damaskpoint.admission.shares import DemandSource
    from damaskpoint.config.model import Configuration

# Waits turn out longer than estimated when other accounts come back.
_WAIT_MARGIN: Final = 1.25


@final
@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; ``advance`` tells its end under this number."""

    number: int


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of a wait."""

    number: int
    result: AdmissionPass | Failure


@final
@dataclass(frozen=True, slots=True)
class _Running:
    """A request that was let in."""

    admission_pass: AdmissionPass
    cost: float
    parts_by_pool: dict[str, float]


@final
class AdmissionCore:
    """The decisions of admission for one entry."""

    def __init__(
        self,
        own_name: str,
        queue_limit: int,
        demand: DemandSource,
        capacity: CapacitySource,
    ) -> None:
        """Refuse all until there is a configuration."""
        self.accounts = AccountTable(own_name, demand)
        self.gate = PoolGate(capacity)
        self.queue = FairQueue()
        self.times = ServiceTimes()
        self._capacity_share = CapacityShare(self.gate, own_name, demand)
        self._judgement = Judgement(
            self.queue, self.accounts, self.gate, self.times
        )
        self._queue_limit = queue_limit
        self._evicted: list[Outcome] = []
        self._numbers = itertools.count(1)
        self._running_by_number: dict[int, _Running] = {}

    # Commands.

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> None:
        """Take over client accounts, pipelines and pools."""
        self.accounts.apply_configuration(configuration, now)
        self.gate.apply_configuration(configuration)
        self.times.keep_only(
            frozenset(configuration.pipelines_by_name)
            | frozenset(configuration.pools_by_name)
        )
        for name, account in configuration.accounts_by_name.items():
            self.queue.set_account(name, account.weight, account.priority)
        self._capacity_share.reset()

    def offer(
        self, request: AdmissionRequest, now: float
    ) -> AdmissionPass | Queued | Failure:
        """Let a request in, let it wait, or refuse it."""
        self._capacity_share.refresh(self.running_count + len(self.queue), now)
        limits = self.accounts.find_limits(request.account, now)
        if limits is None:
            return Failure(Code.UNKNOWN_ACCOUNT, request.account)
        limits.demand.note_offer(now)
        refusal = limits.take_token(now)
        if refusal is not None:
            return refusal
        decided = self._place(request, limits, now)
        if isinstance(decided, Failure):
            limits.return_token()
        return decided

    def release(
        self, admission_pass: AdmissionPass, now: float, *, is_complete: bool
    ) -> None:
        """Take a pass back; a second time changes nothing."""
        running = self._running_by_number.pop(admission_pass.number, None)
        if running is None:
            return
        account = admission_pass.account
        seconds = now - admission_pass.admitted_at
        self.times.note_end(
            admission_pass.target, seconds, now, is_complete=is_complete
        )
        self.queue.charge(account, seconds - running.cost)
        self.gate.end(running.parts_by_pool)
        limits = self.accounts.find_known(account)
        if limits is not None:
            limits.in_flight -= 1

    def advance(self, now: float) -> tuple[Outcome, ...]:
        """End what has become hopeless and start what has room."""
        outcomes = self._evicted
        self._evicted = []
        if not self.queue:
            return tuple(outcomes)
        self._capacity_share.refresh(self.running_count + len(self.queue), now)
        outcomes.extend(self._end_hopeless(now))
        while True:
            item = self._pop_next(now)
            if item is None:
                return tuple(outcomes)
            outcomes.append(self._finish_wait(item, now))

    # Queries.

    @property
    def next_check(self) -> float | None:
        """Return when ``advance`` is due; None while nothing waits."""
        return self._judgement.next_check

    @property
    def running_count(self) -> int:
        """Return how many requests run."""
        return len(self._running_by_number)

    # Steps.

    def _place(
        self, request: AdmissionRequest, limits: AccountLimits, now: float
    ) -> AdmissionPass | Queued | Failure:
        item = self._create_item(request, now)
        estimate = self.times.estimate(request.target, now)
        if self._can_start(item, limits):
            if now + estimate.short_s > item.deadline:
                return _refuse_late(estimate.short_s, item, now)
            self.queue.start_at_once(item.account, item.cost)
            return self._start(item, limits, now)
        ahead = _find_own_ahead(self.queue, item)
        wait_s = estimate_wait_s(item, ahead, self.queue, self.gate, limits)
        needed_s = wait_s * _WAIT_MARGIN + estimate.long_s
        if now + needed_s > item.deadline:
            return _refuse_late(needed_s, item, now)
        return self._enqueue(item, wait_s, now)

    def _enqueue(
        self, item: Waiting, wait_s: float, now: float
    ) -> Queued | Failure:
        if len(self.queue) >= self._queue_limit:
            full = Failure(
                Code.QUEUE_FULL, retry_after_s=bound_retry_after(wait_s)
            )
            victim = self.queue.find_longest()
            if victim is None or _is_longer(self.queue, item, victim):
                return full
            # The account that waits with most gives way to one with less.
            self.queue.remove(victim.number)
            self._evicted.append(Outcome(victim.number, full))
        self.queue.push(item)
        self._judgement.note_waiting(item, now)
        return Queued(item.number)

    def _create_item(self, request: AdmissionRequest, now: float) -> Waiting:
        mean_s = self.times.estimate(request.target, now).mean_s
        return Waiting(
            next(self._numbers),
            request.account,
            request.target,
            request.arrived_at,
            request.deadline,
            mean_s or defaults.UNKNOWN_SERVICE_S,
            self.gate.parts_of(request.target),
        )

    def _can_start(self, item: Waiting, limits: AccountLimits) -> bool:
        """Return whether the item may start before all that wait."""
        if not limits.may_start or not self.gate.has_room(item.target):
            return False
        # What waits with room left waits for its account's own limit.
        return not any(_find_own_ahead(self.queue, item).values())

    def _start(
        self, item: Waiting, limits: AccountLimits, now: float
    ) -> AdmissionPass:
        admission_pass = AdmissionPass(
            item.number, item.account, item.target, now
        )
        limits.in_flight += 1
        self.times.note_start(item.target)
        self._running_by_number[item.number] = _Running(
            admission_pass, item.cost, self.gate.start(item.target)
        )
        return admission_pass

    def _pop_next(self, now: float) -> Waiting | None:
        targets = []
        for target in self.queue.targets():
            if self.gate.has_room(target):
                targets.append(target)
        return self.queue.pop(targets, self._may_start)

    def _may_start(self, account: str) -> bool:
        limits = self.accounts.find_known(account)
        return limits is not None and limits.may_start

    def _finish_wait(self, item: Waiting, now: float) -> Outcome:
        limits = self.accounts.find_known(item.account)
        long_s = self.times.estimate(item.target, now).long_s
        if limits is None or now + long_s > item.deadline:
            self.queue.charge(item.account, -item.cost)
            return Outcome(item.number, _refuse_late(long_s, item, now))
        return Outcome(item.number, self._start(item, limits, now))

    def _end_hopeless(self, now: float) -> list[Outcome]:
        ended = []
        for hopeless in self._judgement.find_hopeless(now):
            item = hopeless.item
            self.queue.remove(item.number)
            failure = _refuse_late(hopeless.needed_s, item, now)
            ended.append(Outcome(item.number, failure))
        return ended


def _find_own_ahead(queue: FairQueue, item: Waiting) -> dict[str, float]:
    """Return what the account has waiting, by the item's pools."""
    return {
        pool: queue.backlog.cost_of(pool, item.account)
        for pool in item.parts_by_pool
    }


def _is_longer(queue: FairQueue, item: Waiting, other: Waiting) -> bool:
    """Return whether the item's account would wait with no less."""
    own_cost = queue.cost_of(item.account) + item.cost
    own = own_cost / queue.weight_of(item.account)
    other_cost = queue.cost_of(other.account)
    return own >= other_cost / queue.weight_of(other.account)


def _refuse_late(needed_s: float, item: Waiting, now: float) -> Failure:
    """Return the final answer of a request that cannot be in time.

    The time to come back is that after which as much as is missing now
    will have been worked off.
    """
    missing_s = needed_s - (item.deadline - now)
    return Failure(
        Code.DEADLINE_TOO_SHORT,
        f'about {needed_s:.2f} s are needed',
        retry_after_s=bound_retry_after(missing_s),
    )
