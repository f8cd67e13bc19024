"""Chooses the home zone of a request and the groups that run its pieces.

Requests with the same prompt have the same home zone, so that a runner there
has the parts of the prompt in its cache. Large results are produced in the
home zone too.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, final

from damaskpoint.balancing import rendezvous
from damaskpoint.batching.estimate import GroupLoad, estimate_end_s
from damaskpoint.batching.handovers import HandoverTimes

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.pledges import PledgeTable
    from damaskpoint.batching.pool import StagePool
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import BatchLimits, Route, Stage
    from damaskpoint.forwarding.metadata import RequestMetadata


@final
@dataclass(frozen=True, slots=True)
class Plan:
    """The placement of a request and the estimated time of its stages."""

    # Home zone; None if no zone has a healthy runner of the service.
    zone: str | None
    stages_s: float
    # Name of the group that runs each stage, by the stage's index.
    groups_by_stage: Mapping[int, str]
    # Whether more pieces that run before are pledged to one of the groups than
    # its runners take in one round of calls.
    is_contended: bool
    # Whether the request yields to those that can meet their objective.
    is_deferred: bool
    # Time by which a deferred request should be answered.
    due_at: float | None = None


@final
@dataclass(frozen=True, slots=True)
class _StageDemand:
    """The pieces of one stage that a request needs."""

    stage: Stage
    pieces: int
    # Earliest time at which they can start (seconds from now).
    start_s: float
    is_deferred: bool
    priority: int
    account: str


@final
class Planner:
    """Plans requests based on the runners of their stages and the load."""

    def __init__(
        self,
        catalog: Catalog,
        pool: StagePool,
        health: RunnerHealth,
        pledges: PledgeTable,
    ) -> None:
        """Plan with these runners, their health and the pledged pieces."""
        self.pledges = pledges
        self.handovers = HandoverTimes()
        self._catalog = catalog
        self._pool = pool
        self._health = health

    def plan(
        self,
        route: Route,
        service: str,
        metadata: RequestMetadata,
        now: float,
        *,
        is_deferred: bool,
        account: str = '',
    ) -> Plan:
        """Return a plan; ``stages_s`` is infinite if a group has no runner."""
        end_s_by_stage: dict[int, float] = {}
        groups_by_stage: dict[int, str] = {}
        demands_by_group: list[tuple[str, _StageDemand]] = []
        for stage in route.stages:
            start_s = max(
                (end_s_by_stage.get(index, 0) for index in stage.after),
                default=float(0),
            )
            end_s_by_stage[stage.index] = start_s
            if not metadata.count_pieces(stage.index):
                continue
            group = self._pool.choose_group(stage.service, metadata.request_id)
            groups_by_stage[stage.index] = group
            pieces = metadata.count_pieces(stage.index)
            demand = _StageDemand(
                stage, pieces, start_s, is_deferred, route.priority, account
            )
            demands_by_group.append((group, demand))
            end_s_by_stage[stage.index] = self._estimate_end_s(
                demand, group, now
            )
        return Plan(
            self._choose_home_zone(service, metadata, now),
            max(end_s_by_stage.values(), default=float(0)),
            groups_by_stage,
            any(
                self._is_contended(group, demand)
                for group, demand in demands_by_group
            ),
            is_deferred,
        )

    def min_remaining_s(
        self, route: Route, metadata: RequestMetadata
    ) -> dict[int, float]:
        """Return by stage the least time that the later stages take."""
        durations_s = [
            self._min_stage_s(stage, metadata) for stage in route.stages
        ]
        return _sum_remaining_s(route, durations_s)

    def expected_remaining_s(
        self,
        route: Route,
        metadata: RequestMetadata,
        groups_by_stage: Mapping[int, str],
        now: float,
    ) -> dict[int, float]:
        """Return by stage the time that the later stages take.

        It is that of the last orders of their groups, or, if longer, that at
        idle runners of the measured pace; with the time between the stages.
        """
        durations_s = []
        for stage in route.stages:
            duration_s = self._min_stage_s(stage, metadata)
            group = groups_by_stage.get(stage.index)
            if group is not None:
                pace = self._pool.find_pace(group, now)
                duration_s = max(duration_s * pace.pace, pace.order_s)
                duration_s += self.handovers.estimate_s(group)
            durations_s.append(duration_s)
        return _sum_remaining_s(route, durations_s)

    def _is_contended(self, group: str, demand: _StageDemand) -> bool:
        runners = self._pool.find_runners(group)
        limits = self._find_limits(runners[0].service) if runners else None
        if limits is None:
            return False
        call_slots = len(runners) * limits.max_concurrent_calls
        pieces_ahead = self._count_ahead(
            group, replace(demand, is_deferred=False)
        )
        return pieces_ahead > call_slots * limits.max_pieces

    def _count_ahead(self, group: str, demand: _StageDemand) -> int:
        """Return the pieces that run before a request's, rounded up."""
        if not self._pool.shares_capacity:
            return self.pledges.count_ahead(
                group, is_deferred=demand.is_deferred
            )
        pieces_ahead = self.pledges.count_ahead(
            group, is_deferred=demand.is_deferred, priority=demand.priority
        )
        if demand.is_deferred:
            return pieces_ahead
        share = self.pledges.demand.find_share_ahead(
            demand.account, demand.pieces
        )
        return math.ceil(pieces_ahead * share)

    def _min_stage_s(self, stage: Stage, metadata: RequestMetadata) -> float:
        """Return the duration of a stage on idle runners (seconds)."""
        pieces = metadata.count_pieces(stage.index)
        limits = self._find_limits(stage.service)
        if not pieces or limits is None:
            return float(0)
        return limits.estimate_call_s(min(pieces, limits.max_pieces))

    def _estimate_end_s(
        self, demand: _StageDemand, group: str, now: float
    ) -> float:
        """Return when a group would complete pieces (seconds from now)."""
        limits = self._find_limits(demand.stage.service)
        runners = self._pool.find_runners(group)
        ready = self._health.select_retryable(runners, now)
        if limits is None or not ready:
            return float('inf')
        pace = self._pool.find_pace(group, now)
        load = GroupLoad(
            limits,
            runners=len(ready),
            pieces_ahead=self._count_ahead(group, demand),
            pace=pace.pace,
            drain_pace=pace.drain_pace,
        )
        end_s = estimate_end_s(load, demand.pieces, demand.start_s)
        return end_s + self.handovers.estimate_s(group)

    def _find_limits(self, service_name: str) -> BatchLimits | None:
        service = self._catalog.find_service(service_name)
        return None if service is None else service.batches

    def _choose_home_zone(
        self, service: str, metadata: RequestMetadata, now: float
    ) -> str | None:
        """Return the home zone, weighted by the healthy runners per zone."""
        weights_by_zone: dict[str, float] = {}
        usable = self._catalog.runners.usable(service)
        for runner in self._health.select_healthy(usable, now):
            weight = weights_by_zone.get(runner.zone, 0)
            weights_by_zone[runner.zone] = weight + 1
        ordered = rendezvous.order_weighted(
            weights_by_zone, metadata.affinity_key
        )
        return ordered[0] if ordered else None


def _sum_remaining_s(
    route: Route, durations_s: Sequence[float]
) -> dict[int, float]:
    """Return by stage the longest time of a chain of stages after it."""
    remaining_s_by_stage: dict[int, float] = {}
    for stage in reversed(route.stages):
        total_s = remaining_s_by_stage.setdefault(stage.index, float(0))
        total_s += durations_s[stage.index]
        for index in stage.after:
            longest_s = remaining_s_by_stage.get(index, float(0))
            remaining_s_by_stage[index] = max(longest_s, total_s)
    return remaining_s_by_stage
