"""Chooses a request's home zone and the groups that make its pieces.

Requests with the same prompt have the same home zone, so that its parts are
found in a runner's memory there. Large results are made in the home zone
too.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.balancing import rendezvous
from damaskpoint.batching.estimate import GroupLoad, estimate_end_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.pledges import PledgeBoard
    from damaskpoint.batching.pool import StagePool
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import BatchLimits, Route, Stage
    from damaskpoint.forwarding.terms import RequestTerms


@final
@dataclass(frozen=True, slots=True)
class Plan:
    """Where a request goes, and how long its stages should take."""

    # Zone of the request's own runner; None when no zone has one.
    zone: str | None
    stages_s: float
    # Groups of runners of the stages, by the stage's index.
    groups_by_stage: Mapping[int, str]
    # Whether more is pledged to a group than its runners take in one call.
    is_contended: bool
    # Whether the request goes behind those that can meet their objective.
    is_deferred: bool
    # When a deferred request should be answered.
    due_at: float | None = None


@final
@dataclass(frozen=True, slots=True)
class _StageNeed:
    """The pieces of a stage that one request needs."""

    stage: Stage
    pieces: int
    # When they can begin (seconds from now).
    begin_s: float
    is_deferred: bool


@final
class Planner:
    """Knows the runners of stages and what waits for them."""

    def __init__(
        self,
        catalog: Catalog,
        pool: StagePool,
        health: RunnerHealth,
        pledges: PledgeBoard,
    ) -> None:
        """Plan with these."""
        self.pledges = pledges
        self._catalog = catalog
        self._pool = pool
        self._health = health

    def plan(
        self,
        route: Route,
        service: str,
        terms: RequestTerms,
        now: float,
        *,
        is_deferred: bool,
    ) -> Plan:
        """Return the home zone of a request and its groups."""
        ends_by_stage: dict[int, float] = {}
        groups_by_stage: dict[int, str] = {}
        for stage in route.stages:
            begin_s = max(
                (ends_by_stage.get(index, 0) for index in stage.after),
                default=float(0),
            )
            ends_by_stage[stage.index] = begin_s
            if not terms.count_pieces(stage.index):
                continue
            group = self._pool.choose_group(stage.service, terms.request_id)
            groups_by_stage[stage.index] = group
            pieces = terms.count_pieces(stage.index)
            need = _StageNeed(stage, pieces, begin_s, is_deferred)
            ends_by_stage[stage.index] = self._estimate_end_s(need, group, now)
        return Plan(
            self._find_home(service, terms, now),
            max(ends_by_stage.values(), default=float(0)),
            groups_by_stage,
            any(map(self._is_contended, groups_by_stage.values())),
            is_deferred,
        )

    def least_s_after(
        self, route: Route, terms: RequestTerms
    ) -> dict[int, float]:
        """Return the least time that the stages after each stage take."""
        after_by_stage: dict[int, float] = {}
        for stage in reversed(route.stages):
            own_s = after_by_stage.setdefault(stage.index, float(0))
            own_s += self._least_stage_s(stage, terms)
            for index in stage.after:
                known = after_by_stage.get(index, float(0))
                after_by_stage[index] = max(known, own_s)
        return after_by_stage

    def _is_contended(self, group: str) -> bool:
        runners = self._pool.find_runners(group)
        limits = self._find_limits(runners[0].service) if runners else None
        if limits is None:
            return False
        servers = len(runners) * limits.max_concurrent_calls
        ahead = self.pledges.count_ahead(group, is_deferred=False)
        return ahead > servers * limits.max_pieces

    def _least_stage_s(self, stage: Stage, terms: RequestTerms) -> float:
        """Return how long a stage takes where nothing waits."""
        pieces = terms.count_pieces(stage.index)
        limits = self._find_limits(stage.service)
        if not pieces or limits is None:
            return float(0)
        return limits.estimate_call_s(min(pieces, limits.max_pieces))

    def _estimate_end_s(
        self, need: _StageNeed, group: str, now: float
    ) -> float:
        """Return when pieces would be made by a group, from now (seconds)."""
        limits = self._find_limits(need.stage.service)
        runners = self._pool.find_runners(group)
        ready = self._health.select_ready(runners, now)
        if limits is None or not ready:
            return float('inf')
        load = GroupLoad(
            limits,
            runners=len(ready),
            ahead=self.pledges.count_ahead(group, is_deferred=need.is_deferred),
            pace=self._pool.find_pace(group, now),
        )
        return estimate_end_s(load, need.pieces, need.begin_s)

    def _find_limits(self, service_name: str) -> BatchLimits | None:
        service = self._catalog.find_service(service_name)
        return None if service is None else service.batches

    def _find_home(
        self, service: str, terms: RequestTerms, now: float
    ) -> str | None:
        """Return the home zone, by the zones' numbers of sound runners."""
        weights_by_zone: dict[str, float] = {}
        usable = self._catalog.runners.usable(service)
        for runner in self._health.select_sound(usable, now):
            weight = weights_by_zone.get(runner.zone, 0)
            weights_by_zone[runner.zone] = weight + 1
        ordered = rendezvous.order_weighted(weights_by_zone, terms.affinity_key)
        return ordered[0] if ordered else None
