"""Simulates one entry's admission control in virtual time, for the steps."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from damaskpoint.admission.base import AdmissionPass, AdmissionRequest
from damaskpoint.admission.core import AdmissionCore, Queued
from damaskpoint.admission.pool_limiter import CapacitySource
from damaskpoint.admission.shares import DemandSource
from damaskpoint.config import model
from damaskpoint.errors import Code, Failure

TARGET = 'explain-alarm'
POOL = 'model-pool'
SERVICE = 'member-portal'


class FixedCapacity(CapacitySource):
    """A capacity that the test sets."""

    def __init__(self, calls: float) -> None:
        self.calls = calls

    def find_capacity(self, pool: str) -> float | None:
        return self.calls


class ReportedDemand(DemandSource):
    """A reported demand that the test sets."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names
        self.rates_by_account: dict[str, dict[str, float]] = {}
        self.work: dict[str, float] = {}

    def entry_names(self, now: float) -> tuple[str, ...]:
        return self.names

    def peer_demands(self, account: str) -> dict[str, float]:
        return self.rates_by_account.get(account, {})

    def peer_outstanding(self) -> dict[str, float]:
        return self.work


def create_configuration(accounts: list[model.Account]) -> model.Configuration:
    """Return a configuration of one pool and one pipeline of two stages."""
    stages = tuple(
        model.Stage(name, kind, POOL, 'm', '', False)
        for name, kind in (
            ('encode', model.StageKind.ENCODE),
            ('generate', model.StageKind.GENERATE),
        )
    )
    pool = model.Pool(POOL, model.PoolKind.MODEL, 1, 8, True, True)
    service = model.Pool(SERVICE, model.PoolKind.SERVICE, 1, 8, True, True)
    names = frozenset(account.name for account in accounts)
    return model.Configuration(
        version=1,
        digest='00',
        accounts_by_name={account.name: account for account in accounts},
        pools_by_name={POOL: pool, SERVICE: service},
        pipelines_by_name={TARGET: model.Pipeline(TARGET, stages, 3000, names)},
    )


def create_account(name: str, **changes: int) -> model.Account:
    """Return an account with limits too high to matter, unless changed."""
    fields = {
        'weight': 1,
        'rate_per_s': 100_000,
        'burst': 10_000,
        'max_in_flight': 10_000,
        'priority': 0,
    }
    return model.Account(name, '', **(fields | changes))


@dataclass
class AccountStats:
    """Outcomes and waits of an account's requests."""

    offered: int = 0
    served_in_time: int = 0
    served_late: int = 0
    refusals: dict[Code, int] = field(default_factory=dict)
    waits_s: list[float] = field(default_factory=list)
    # Time from a request's arrival to its refusal.
    refusal_delays_s: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class Arrival:
    """A scheduled request."""

    account: str
    deadline_s: float


class Bench:
    """One entry's admission core with simulated arrivals and services.

    Service times vary uniformly by 30 % around ``service_s``.
    """

    def __init__(
        self,
        accounts: list[model.Account],
        *,
        slots: float,
        service_s: float,
        queue_limit: int = 256,
        demand: DemandSource | None = None,
        name: str = 'entry-0',
    ) -> None:
        self.now = 100.0
        self.capacity = FixedCapacity(slots)
        self.core = AdmissionCore(
            name, queue_limit, demand or ReportedDemand((name,)), self.capacity
        )
        self.core.apply_configuration(create_configuration(accounts), self.now)
        self.service_s = service_s
        self.stats_by_account = {
            account.name: AccountStats() for account in accounts
        }
        self.requests: dict[int, AdmissionRequest] = {}
        self.results: dict[int, tuple[float, AdmissionPass | Failure]] = {}
        self._events: list[tuple[float, int, Arrival | AdmissionPass]] = []
        self._numbers = itertools.count()
        self._rng = random.Random(7)
        self.last_retry_after_s: float = 0
        # Time of refusal and deadline of each request refused after a wait.
        self.refused_waits: list[tuple[float, float]] = []

    def push(self, at: float, event: Arrival | AdmissionPass) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def stop_service(self) -> None:
        """Drop all scheduled events, so that running requests never end."""
        self._events = []

    def offer_steadily(
        self, account: str, rate_per_s: float, seconds: float, deadline_s: float
    ) -> None:
        """Schedule Poisson arrivals of an account."""
        at = self.now
        while True:
            at += self._rng.expovariate(rate_per_s)
            if at > self.now + seconds:
                return
            self.push(at, Arrival(account, deadline_s))

    def run(self, until: float) -> None:
        """Process arrivals, ends of service and checks in order of time."""
        while self._find_next_event_at() <= until:
            check_at = self.core.next_check
            if check_at is not None and check_at <= self._find_next_event_at():
                self.now = max(self.now + 1e-6, check_at)
                self._advance()
                continue
            at, _, event = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if isinstance(event, AdmissionPass):
                self._end(event)
            else:
                self.offer(event.account, event.deadline_s)
        self.now = max(self.now, until)

    def offer(
        self, account: str, deadline_s: float, target: str = TARGET
    ) -> None:
        """Offer one request now."""
        request = AdmissionRequest(
            'r', account, target, self.now, self.now + deadline_s
        )
        self.stats_by_account[account].offered += 1
        decision = self.core.offer(request, self.now)
        if isinstance(decision, Queued):
            self.requests[decision.number] = request
        else:
            self._finish(request, decision)
        self._advance()

    def _find_next_event_at(self) -> float:
        next_at = self._events[0][0] if self._events else float('inf')
        check_at = self.core.next_check
        return next_at if check_at is None else min(next_at, check_at)

    def _end(self, admitted: AdmissionPass) -> None:
        request = self.requests.pop(-admitted.number)
        in_time = self.now <= request.deadline
        stats = self.stats_by_account[admitted.account]
        stats.served_in_time += in_time
        stats.served_late += not in_time
        self.core.release(admitted, self.now, is_complete=in_time)
        self._advance()

    def _advance(self) -> None:
        for outcome in self.core.advance(self.now):
            request = self.requests.pop(outcome.number)
            self._finish(request, outcome.result)

    def _finish(
        self, request: AdmissionRequest, result: AdmissionPass | Failure
    ) -> None:
        stats = self.stats_by_account[request.account]
        if isinstance(result, Failure):
            count = stats.refusals.get(result.code, 0)
            stats.refusals[result.code] = count + 1
            stats.refusal_delays_s.append(self.now - request.arrived_at)
            assert result.retry_after_s, result
            self.last_retry_after_s = result.retry_after_s
            if self.now > request.arrived_at:
                self.refused_waits.append((self.now, request.deadline))
            return
        stats.waits_s.append(self.now - request.arrived_at)
        self.requests[-result.number] = request
        spread = self._rng.uniform(0.7, 1.3)
        self.push(self.now + self.service_s * spread, result)
