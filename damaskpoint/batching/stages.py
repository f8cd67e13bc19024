"""Runs the stages of one request and releases results after their use."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.model import Piece, PieceReason, find_slowest
from damaskpoint.errors import Code, Failure, FailureError

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping, Sequence

    from damaskpoint.batching.model import PieceOutcome
    from damaskpoint.batching.planner import Plan, Planner
    from damaskpoint.batching.pool import StagePool
    from damaskpoint.catalog.model import Route, Stage
    from damaskpoint.forwarding.metadata import RequestMetadata

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class StageWork:
    """The stages of a request to run, with their plan and deadlines."""

    route: Route
    metadata: RequestMetadata
    plan: Plan
    priority: int
    # Client account of the request; empty without one.
    account: str
    # When the stages must end at the latest, and when they should end for the
    # request to meet its objective (monotonic seconds).
    ends_at: float
    due_at: float
    # How much earlier its pieces are queued than those of an average request
    # (seconds).
    lead_s: float


@final
@dataclass(frozen=True, slots=True)
class _Result:
    """A result and the runner that holds it."""

    runner: str
    handle: str


@final
@dataclass(frozen=True, slots=True)
class StageTime:
    """Where the time of one stage went (seconds)."""

    stage: int
    # From the order to its answer.
    took_s: float
    # Of the piece that took longest at the batching instance: in its queue,
    # and in the call. The rest is the way there and back, and time in which
    # either process was busy.
    waited_s: float
    called_s: float


@final
class StageRun:
    """One run of the stages of a request."""

    def __init__(
        self, work: StageWork, planner: Planner, pool: StagePool
    ) -> None:
        """Start without results."""
        self._work = work
        self._planner = planner
        self._pool = pool
        self._results_by_stage: dict[int, list[_Result]] = {}
        self._finished: set[int] = set()
        # Of the stages that ended, in the order of their end.
        self.times: list[StageTime] = []
        self._has_cost = False
        self._min_remaining_s_by_stage = planner.min_remaining_s(
            work.route, work.metadata
        )
        self._expected_remaining_s_by_stage = planner.expected_remaining_s(
            work.route,
            work.metadata,
            work.plan.groups_by_stage,
            time.monotonic(),
        )
        # Indexes of stages whose pieces are still pledged.
        self._pledged: set[int] = set()

    async def run(self) -> tuple[str, ...] | Failure:
        """Return the handles of the last stages' results.

        Fails with ``NO_UPSTREAM``, ``DEADLINE_TOO_SHORT`` or ``RESULT_LOST``.
        In any case, call ``release`` afterwards.
        """
        route = self._work.route
        self._pledge()
        tasks_by_stage: dict[int, asyncio.Task[None]] = {}
        for stage in sorted(route.stages, key=self._start_order):
            prerequisites = _select_tasks(
                tasks_by_stage, self._find_prerequisites(stage)
            )
            tasks_by_stage[stage.index] = asyncio.ensure_future(
                self._run_stage(stage, prerequisites)
            )
        tasks = tuple(tasks_by_stage.values())
        try:
            await asyncio.gather(*tasks)
        except FailureError as error:
            return error.failure
        finally:
            for task in tasks:
                task.cancel()
        last_indexes = [item.index for item in route.last_stages]
        return self._collect_handles(last_indexes)

    def release(self) -> None:
        """Release all remaining results and withdraw all pledges."""
        for index in tuple(self._pledged):
            self._withdraw_pledge(index)
        for index in tuple(self._results_by_stage):
            self._release_stage(index)

    async def _run_stage(
        self, stage: Stage, prerequisites: Sequence[asyncio.Task[None]]
    ) -> None:
        """Run a stage after its prerequisites; raises ``FailureError``."""
        if prerequisites:
            await asyncio.wait(prerequisites)
        for task in prerequisites:
            # Raises the failure of a prerequisite.
            task.result()
        count = self._work.metadata.count_pieces(stage.index)
        if count:
            await self._run_pieces(stage, count)
            self._has_cost = True
        self._withdraw_pledge(stage.index)
        self._finished.add(stage.index)
        self._release_consumed(stage)

    async def _run_pieces(self, stage: Stage, count: int) -> None:
        """Run all pieces of a stage; raises ``FailureError``."""
        pieces = self._create_pieces(
            stage, count, self._collect_handles(stage.after)
        )
        group = self._work.plan.groups_by_stage[stage.index]
        began_at = time.monotonic()
        outcomes = await self._pool.run_pieces(group, pieces)
        self._record_time(stage, outcomes, time.monotonic() - began_at)
        results = self._results_by_stage.setdefault(stage.index, [])
        reasons = set()
        for outcome in outcomes:
            if outcome.handle is not None:
                results.append(_Result(outcome.runner, outcome.handle))
            elif outcome.reason is not None:
                reasons.add(outcome.reason)
        if reasons:
            self._log_failed(stage, group, reasons)
            raise FailureError(_to_failure(stage, reasons))

    def _record_time(
        self, stage: Stage, outcomes: Sequence[PieceOutcome], took_s: float
    ) -> None:
        slowest = find_slowest(outcomes)
        if slowest.handle is not None and slowest.called_s:
            self._planner.handovers.record(
                self._work.plan.groups_by_stage[stage.index],
                max(float(0), took_s - slowest.waited_s - slowest.called_s),
            )
        self.times.append(
            StageTime(stage.index, took_s, slowest.waited_s, slowest.called_s)
        )

    def _start_order(self, stage: Stage) -> int:
        return max(self._find_prerequisites(stage), default=-1)

    def _find_prerequisites(self, stage: Stage) -> tuple[int, ...]:
        """Return the indexes of the stages that must end before one starts.

        A last stage without input starts together with the last stage of the
        longest chain, since results made earlier would only occupy memory.
        """
        route = self._work.route
        if stage.after or stage not in route.last_stages:
            return stage.after
        longest = max(
            route.last_stages, key=lambda last: route.depth(last.index)
        )
        if self._work.metadata.count_pieces(longest.index):
            return longest.after
        return ()

    def _pledge(self) -> None:
        """Pledge all pieces of this request; gossip publishes the pledges."""
        for index, group in self._work.plan.groups_by_stage.items():
            pieces = self._work.metadata.count_pieces(index)
            self._pledged.add(index)
            self._add_pledge(group, pieces)

    def _withdraw_pledge(self, index: int) -> None:
        if index not in self._pledged:
            return
        self._pledged.remove(index)
        pieces = self._work.metadata.count_pieces(index)
        group = self._work.plan.groups_by_stage[index]
        self._add_pledge(group, -pieces)

    def _add_pledge(self, group: str, pieces: int) -> None:
        self._planner.pledges.add(
            group,
            pieces,
            is_deferred=self._work.plan.is_deferred,
            priority=self._work.priority,
            account=self._work.account,
        )

    def _collect_handles(self, stages: Iterable[int]) -> tuple[str, ...]:
        handles = []
        for index in stages:
            for result in self._results_by_stage.get(index, ()):
                handles.append(result.handle)
        return tuple(handles)

    def _create_pieces(
        self, stage: Stage, count: int, inputs: tuple[str, ...]
    ) -> list[Piece]:
        work = self._work
        min_remaining_s = self._min_remaining_s_by_stage[stage.index]
        expected_s = self._expected_remaining_s_by_stage[stage.index]
        zone, moved_bytes = self._choose_zone(stage)
        return [
            Piece(
                request_id=work.metadata.request_id,
                stage=stage.index,
                index=index,
                key=work.metadata.piece_key,
                inputs=inputs,
                zone=zone,
                moved_bytes=moved_bytes,
                priority=work.priority,
                account=work.account,
                ends_at=work.ends_at - min_remaining_s,
                needed_at=work.due_at - expected_s,
                lead_s=work.lead_s,
                result_bytes=stage.result_bytes,
                has_cost=self._has_cost,
                is_deferred=work.plan.is_deferred,
            )
            for index in range(count)
        ]

    def _choose_zone(self, stage: Stage) -> tuple[str, int]:
        """Return the preferred zone of a stage, and the bytes it saves.

        This is the zone with most of a piece's input. For a stage without
        input it is the home zone, which needs the result.
        """
        stages = self._work.route.stages
        bytes_by_zone: dict[str, int] = {}
        for index in stage.after:
            size = stages[index].result_bytes
            for result in self._results_by_stage.get(index, ()):
                zone = self._pool.find_zone(result.runner)
                bytes_by_zone[zone] = bytes_by_zone.get(zone, 0) + size
        if not bytes_by_zone:
            return self._work.plan.zone or '', stage.result_bytes
        zone = max(bytes_by_zone, key=lambda name: bytes_by_zone[name])
        return zone, bytes_by_zone[zone]

    def _release_consumed(self, finished: Stage) -> None:
        """Release the inputs that no other stage still needs."""
        for index in finished.after:
            consumers = [
                stage.index
                for stage in self._work.route.stages
                if index in stage.after
            ]
            if self._finished.issuperset(consumers):
                self._release_stage(index)

    def _release_stage(self, index: int) -> None:
        handles_by_runner: dict[str, list[str]] = {}
        for result in self._results_by_stage.pop(index, ()):
            handles_by_runner.setdefault(result.runner, []).append(
                result.handle
            )
        for runner, handles in handles_by_runner.items():
            self._pool.release(runner, handles)

    def _log_failed(
        self, stage: Stage, group: str, reasons: Iterable[PieceReason]
    ) -> None:
        now = time.monotonic()
        _LOG.info(
            'pieces failed',
            extra={
                'request': self._work.metadata.request_id,
                'stage': stage.index,
                'group': group,
                'reasons': sorted(reason.value for reason in reasons),
                'due_ms': round((self._work.due_at - now) * _MS),
                'left_ms': round((self._work.ends_at - now) * _MS),
            },
        )


def _to_failure(stage: Stage, reasons: Container[PieceReason]) -> Failure:
    """Return the failure of a stage by the reasons of its pieces."""
    if PieceReason.LATE in reasons:
        return Failure(
            Code.DEADLINE_TOO_SHORT, f'stage {stage.index} would be late'
        )
    if PieceReason.INPUT_GONE in reasons:
        return Failure(
            Code.RESULT_LOST, f'an input of stage {stage.index} is gone'
        )
    return Failure(Code.NO_UPSTREAM, f'stage {stage.index} was not made')


def _select_tasks(
    tasks_by_stage: Mapping[int, asyncio.Task[None]],
    stages: Iterable[int],
) -> list[asyncio.Task[None]]:
    """Return the tasks of prerequisites, which ``run`` starts first."""
    started = [index for index in stages if index in tasks_by_stage]
    return [tasks_by_stage[index] for index in started]
