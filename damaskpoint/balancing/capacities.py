"""How much load each runner sustains and what a request at it costs.

Figures come from the runners' reports, directly or from peers, and from the
latencies that this instance measures. Without a fresh figure a runner counts
as an average one of its service.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.balancing.capacity_choice import CostedRunners
from damaskpoint.balancing.latency_paces import (
    LatencyPaces,
    LatencySample,
    ServicePaces,
)
from damaskpoint.balancing.load_reports import ReportTable
from damaskpoint.membership.facts import CapacityFact
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.balancing.load_reports import RunnerReport
    from damaskpoint.balancing.loads import RunnerLoads
    from damaskpoint.catalog.model import Runner
    from damaskpoint.forwarding.metadata import LoadReport

# Weight of one request in the mean duration of a service's requests.
_RUN_WEIGHT: Final = 0.05
_DEFAULT_RUN_S: Final = 0.2
# Bounds of the time constant with which reported load is forgotten (seconds).
# It is the mean duration of a request, as the load of a runner is replaced in
# about that time.
_MIN_LOAD_MEMORY_S: Final = 0.1
_MAX_LOAD_MEMORY_S: Final = 3.0
# Time for which the answer whether runners differ is cached (seconds).
_DIFFERENCE_CACHE_S: Final = 0.25
# Measured paces in one datagram: fewer than reports, as they do not age.
_MAX_MEASURED: Final = 2
# A change of a learned limit by this factor is logged.
_LOGGED_FACTOR: Final = 1.5
# Interval at which limits are compared with the logged ones (seconds).
_COMPARE_INTERVAL_S: Final = 1.0
_DECIMALS: Final = 3


@final
@dataclass(frozen=True, slots=True)
class _Terms:
    """What the cost of a request depends on at all runners of a service."""

    paces: ServicePaces
    # Time of a request at an idle runner, for a stream until the first event
    # (seconds).
    usual_s: float
    # Added share of it at a full runner.
    growth: float
    # Time that a request occupies a slot, and time after which the load of a
    # runner says nothing any more (seconds).
    run_s: float
    memory_s: float

    def cost_s(self, utilization: float, slots: int) -> float:
        """Return the time of one more request, with its wait for a slot."""
        cost_s = self.usual_s * (1 + self.growth * utilization)
        excess = utilization + 1 / max(1, slots) - 1
        return cost_s + excess * self.run_s if excess > 0 else cost_s


@final
@dataclass(frozen=True, slots=True)
class LimitChange:
    """A learned limit that has changed much."""

    runner: str
    slots: int
    limit: float
    previous: float
    pace: float


@final
class RunnerCapacities(StateSource):
    """Learned figures of all runners; times are monotonic seconds."""

    def __init__(self, loads: RunnerLoads) -> None:
        """Start without figures; ``loads`` counts the requests in flight."""
        self._reports = ReportTable()
        self._latencies = LatencyPaces()
        self._loads = loads
        self._run_s_by_service: dict[str, float] = {}
        self._differences_by_service: dict[str, tuple[bool, float]] = {}
        # Runners with a measured latency, and their limits in the log.
        self._measured_by_name: dict[str, Runner] = {}
        self._logged_limit_by_runner: dict[str, float] = {}
        self._compared_at = float('-inf')

    # Commands.

    def record_report(
        self, runner: Runner, report: LoadReport, now: float
    ) -> None:
        """Record the report in an answer that was received now."""
        own = self._loads.find_own(runner.name)
        self._reports.record(runner, report, own, now)

    def apply_fact(self, runner: Runner, fact: CapacityFact) -> None:
        """Apply a peer's report or what it has measured."""
        if fact.samples:
            self._latencies.apply_peer(
                runner.service, runner.name, fact.pace, fact.samples
            )
            return
        own = self._loads.find_own(runner.name)
        self._reports.apply_fact(runner, fact, own)

    def record_latency(
        self, runner: Runner, route: str, began_at: float, now: float
    ) -> None:
        """Record the time until a runner began or completed its answer."""
        self._measured_by_name[runner.name] = runner
        report = self._reports.find(runner.name)
        terms = self._find_terms(runner.service)
        self._latencies.record(
            LatencySample(
                service=runner.service,
                route=route,
                runner=runner.name,
                utilization=self._utilization(runner, report, terms, now),
                took_s=now - began_at,
                reported_pace=report.discount_pace(now) if report else None,
            ),
            now,
        )

    def record_run(self, service: str, took_s: float) -> None:
        """Record the time from the send to the end of an answer."""
        mean_s = self._run_s_by_service.get(service, took_s)
        self._run_s_by_service[service] = mean_s + _RUN_WEIGHT * (
            took_s - mean_s
        )

    def take_limit_changes(self, now: float) -> list[LimitChange]:
        """Return the learned limits that have changed much, each once.

        They are compared once in a while.
        """
        changes: list[LimitChange] = []
        if now - self._compared_at < _COMPARE_INTERVAL_S:
            return changes
        self._compared_at = now
        for runner in self._measured_by_name.values():
            change = self._take_limit_change(runner)
            if change is not None:
                changes.append(change)
        return changes

    def expire(self, runners: Iterable[str], now: float) -> None:
        """Drop old reports and the figures of runners that are gone."""
        self._reports.expire(now)
        known = frozenset(runners)
        self._latencies.forget_except(known)
        for name in tuple(self._measured_by_name):
            if name not in known:
                self._measured_by_name.pop(name)
                self._logged_limit_by_runner.pop(name, None)

    def take_news(self, now: float, limit: int) -> list[CapacityFact]:
        """Return what peers should know: reports, then measured paces.

        What was measured is returned once.
        """
        news = self._reports.list_news(now, limit)
        free = min(limit - len(news), _MAX_MEASURED)
        for measured in self._latencies.take_unsent(free):
            news.append(
                CapacityFact(
                    measured.runner, 0, 0, measured.pace, now, measured.samples
                )
            )
        return news

    # Queries.

    def is_informed(self, service: str, now: float) -> bool:
        """Return whether the runners of a service should not be taken as equal.

        That is so if they tell their load, or if their latencies differ.
        """
        if self._reports.is_reporting(service, now):
            return True
        known = self._differences_by_service.get(service)
        if known is None or now - known[1] > _DIFFERENCE_CACHE_S:
            known = (self._latencies.are_different(service, now), now)
            self._differences_by_service[service] = known
        return known[0]

    def cost_runners(
        self, runners: Sequence[Runner], avoided: frozenset[str], now: float
    ) -> CostedRunners:
        """Return what one more request at each runner of a service costs."""
        cost_s_by_name: dict[str, float] = {}
        load_by_name: dict[str, float] = {}
        terms = self._find_terms(runners[0].service if runners else '')
        for runner in runners:
            report = self._reports.find(runner.name)
            utilization = self._utilization(runner, report, terms, now)
            pace = terms.paces.find(runner.name, now)
            if report is not None:
                pace *= report.discount_pace(now)
            cost_s_by_name[runner.name] = pace * terms.cost_s(
                utilization, runner.slots
            )
            load_by_name[runner.name] = pace * utilization
        return CostedRunners(
            runners=runners,
            cost_s_by_name=cost_s_by_name,
            load_by_name=load_by_name,
            mean_cost_s=sum(cost_s_by_name.values()) / max(1, len(runners)),
            avoided=avoided,
        )

    def dump_state(self, now: float) -> dict[str, object]:
        """Return each runner's report with its source and age."""
        reports: dict[str, object] = {}
        for name, report in self._reports.iterate():
            reports[name] = {
                'busy': report.busy,
                'slots': report.slots,
                'pace': round(report.pace, _DECIMALS),
                'age_s': round(now - report.measured_at, _DECIMALS),
                'source': report.source.value,
            }
        return {
            'reports_by_runner': reports,
            'latencies_by_service': self._latencies.dump(),
            'run_s_by_service': dict(self._run_s_by_service),
            'is_used_by_service': {
                service: self.is_informed(service, now)
                for service in self._run_s_by_service
            },
        }

    def _take_limit_change(self, runner: Runner) -> LimitChange | None:
        paces = self._latencies.find_service(runner.service)
        pace = paces.find_lasting(runner.name)
        if pace is None:
            return None
        limit = runner.slots / pace
        previous = self._logged_limit_by_runner.get(
            runner.name, float(runner.slots)
        )
        if max(limit, previous) < min(limit, previous) * _LOGGED_FACTOR:
            return None
        self._logged_limit_by_runner[runner.name] = limit
        return LimitChange(runner.name, runner.slots, limit, previous, pace)

    def _find_terms(self, service: str) -> _Terms:
        paces = self._latencies.find_service(service)
        usual_s = paces.idle_s or _DEFAULT_RUN_S
        run_s = self._run_s_by_service.get(service, usual_s)
        return _Terms(
            paces=paces,
            usual_s=usual_s,
            growth=paces.growth,
            run_s=run_s,
            memory_s=min(_MAX_LOAD_MEMORY_S, max(_MIN_LOAD_MEMORY_S, run_s)),
        )

    def _utilization(
        self,
        runner: Runner,
        report: RunnerReport | None,
        terms: _Terms,
        now: float,
    ) -> float:
        """Return the requests at a runner per slot; above 1 some wait."""
        own = self._loads.find_own(runner.name)
        counted = own + self._loads.find_peers(runner.name)
        if report is None:
            return counted / max(1, runner.slots)
        # Own requests are counted exactly, so a report cannot hide them.
        reported = max(own, report.busy + own - report.own_in_flight)
        left = math.exp((report.measured_at - now) / terms.memory_s)
        return (counted + left * (reported - counted)) / max(1, report.slots)
