"""Serves one request: admission, stages, the runner and the answer."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.stages import StageRun, StageWork
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding import metrics, retry_after
from damaskpoint.forwarding.attempts import Attempts
from damaskpoint.forwarding.relay import Relay
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.batching.planner import Plan
    from damaskpoint.batching.stages import StageTime
    from damaskpoint.forwarding.caller_answer import CallerAnswer
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.request import CallerRequest

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Default ``Retry-After`` (seconds).
_RETRY_AFTER_S: Final = 0.2
# Share of the objective that a plan must leave unused if other work is ahead:
# estimates are only right on average, so half of the requests would be late
# without this margin.
_CONTENDED_MARGIN_SHARE: Final = 0.12
# Multiple of the estimated time that must be left for the stages of a deferred
# request, since requests that arrive later overtake it.
_DEFERRED_FACTOR: Final = 3.0
# Time for which a late request continues, as a share of the objective.
_OVERTIME_SHARE: Final = 0.5
# How often the stages run again for a request whose results were lost.
_MAX_REPEATS: Final = 2
# Upper bound for estimates, which may be infinite (seconds).
_MAX_ESTIMATE_S: Final = 1_000.0
# Result of ``run`` for a request that was answered by a runner.
ANSWERED: Final = 'answered'
# Codes whose status guarantees that the request did not run.
_NOT_RUN_CODES: Final = frozenset(
    (
        Code.DEADLINE_TOO_SHORT,
        Code.UPSTREAM_OVERLOADED,
        Code.NO_UPSTREAM,
        Code.SHUTTING_DOWN,
    )
)


@final
class Session:
    """Serves one request; ``run`` may be called once."""

    def __init__(
        self,
        context: ForwardingContext,
        request: CallerRequest,
        answer: CallerAnswer,
    ) -> None:
        """Prepare to serve a request."""
        self._context = context
        self._request = request
        self._answer = answer
        self._service = request.route.choose_service(request.request_id)
        self._relay = Relay(answer, self._handle_answer_start)
        self._stages: StageRun | None = None
        self._attempts: Attempts | None = None
        self._task: asyncio.Task[object] | None = None
        self._is_interrupted = False
        context.sizes.record(request.route.name, request.metadata)
        self._lead_s = context.sizes.lead_s(
            request.route.name, request.metadata
        )

    async def run(self) -> str:
        """Answer the request and return its end for logs and metrics."""
        self._task = asyncio.current_task()
        left_s = self._request.ends_at - time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                failure = await self._serve()
        except TimeoutError:
            failure = Failure(Code.DEADLINE_PASSED, self._service)
        except asyncio.CancelledError:
            if not self._is_interrupted:
                raise
            failure = Failure(Code.SHUTTING_DOWN, 'the shutdown has ended')
        finally:
            if self._stages is not None:
                self._stages.release()
        if failure is None:
            return ANSWERED
        if self._answer.is_started:
            self._answer.abort()
            return f'cut_{failure.code.value}'
        failure = self._to_caller_failure(failure)
        await self._answer.send_failure(
            failure, (requests.echo_request_id(self._request.request_id),)
        )
        return failure.code.value

    def interrupt(self) -> None:
        """End the request now, with a failure unless its answer has begun."""
        if self._task is None or self._answer.is_ended:
            return
        self._is_interrupted = True
        self._task.cancel()

    async def _serve(self) -> Failure | None:
        """Run the stages and send; repeat both if a result was lost.

        A stream that broke at its runner continues with new results.
        """
        failure = await self._serve_once()
        for _ in range(_MAX_REPEATS):
            if failure is None or failure.code is not Code.RESULT_LOST:
                break
            failure = await self._serve_once()
        return failure

    async def _serve_once(self) -> Failure | None:
        now = time.monotonic()
        quarantined = self._context.prompts.check(self._request.metadata, now)
        if quarantined is not None:
            return quarantined
        if self._find_pause_s(now):
            return Failure(
                Code.NO_UPSTREAM, 'all runners of a service asked for a pause'
            )
        plan = self._plan_or_refuse(now)
        if isinstance(plan, Failure):
            return plan
        stages_s = min(plan.stages_s, _MAX_ESTIMATE_S)
        refused = self._context.completion.check(self._request, stages_s, now)
        if refused is not None:
            return refused
        results = await self._run_stages(plan)
        if isinstance(results, Failure):
            return results
        if self._attempts is None:
            self._attempts = Attempts(
                self._context, self._request, self._service, self._relay
            )
        return await self._attempts.run(plan.zone, results)

    def _find_pause_s(self, now: float) -> float:
        """Return how long a service has no runner because all are paused.

        It is the longest such time over the services of the request.
        """
        context = self._context
        metadata = self._request.metadata
        services = {self._service}
        for stage in self._request.route.stages:
            if metadata.count_pieces(stage.index):
                services.add(stage.service)
        pause_s = float(0)
        for service in services:
            usable = context.catalog.runners.usable(service)
            left_s = context.health.pause_left_s(usable, now)
            pause_s = max(pause_s, left_s or 0)
        return pause_s

    def _plan_or_refuse(self, now: float) -> Plan | Failure:
        """Return a plan that ends in time, or the failure of a refusal.

        A request that would miss its objective is deferred: it yields to
        those that can meet theirs.
        """
        request = self._request
        plan = self._create_plan(now, is_deferred=False)
        if self._answer.is_started:
            return plan
        late_s = self._estimate_lateness_s(plan, now)
        if not plan.stages_s or late_s <= 0:
            return plan
        deferred = self._create_plan(now, is_deferred=True)
        first_s = self._context.first_events.estimate_s(self._service)
        stages_s = min(deferred.stages_s, _MAX_ESTIMATE_S)
        ends_at = now + stages_s * _DEFERRED_FACTOR + first_s
        is_refused = ends_at > request.starts_by
        _LOG.info(
            'refused, would be late' if is_refused else 'deferred',
            extra={
                'request': request.request_id,
                'route': request.route.name,
                'zone': plan.zone,
                'age_ms': round((now - request.first_sent_at) * _MS),
                'stages_ms': round(min(plan.stages_s, _MAX_ESTIMATE_S) * _MS),
                'deferred_stages_ms': round(stages_s * _MS),
                'first_event_ms': round(first_s * _MS),
                'late_ms': round(late_s * _MS),
                'left_ms': round((request.starts_by - now) * _MS),
            },
        )
        if not is_refused:
            return replace(deferred, due_at=ends_at)
        return Failure(
            Code.DEADLINE_TOO_SHORT,
            'the stages are busy',
            retry_after_s=retry_after.compute_busy_s(
                request.request_id, late_s, request.ends_at - now
            ),
        )

    def _create_plan(self, now: float, *, is_deferred: bool) -> Plan:
        return self._context.planner.plan(
            self._request.route,
            self._service,
            self._request.metadata,
            now,
            is_deferred=is_deferred,
            account=self._request.account_name,
        )

    def _estimate_lateness_s(self, plan: Plan, now: float) -> float:
        """Return by how much a plan would miss the objective (seconds)."""
        stages_s = min(plan.stages_s, _MAX_ESTIMATE_S)
        first_s = self._context.first_events.estimate_s(self._service)
        late_s = now + stages_s + first_s - self._request.due_at - self._lead_s
        if plan.is_contended:
            late_s += self._request.route.objective_s * _CONTENDED_MARGIN_SHARE
        return late_s

    async def _run_stages(self, plan: Plan) -> tuple[str, ...] | Failure:
        request = self._request
        if not any(request.metadata.piece_counts):
            return ()
        began_at = time.monotonic()
        if self._stages is not None:
            self._stages.release()
        self._stages = StageRun(
            self._create_stage_work(plan, began_at),
            self._context.planner,
            self._context.pool,
        )
        results = await self._stages.run()
        took_s = time.monotonic() - began_at
        metrics.STAGES_SECONDS.observe({'route': request.route.name}, took_s)
        end = results.detail if isinstance(results, Failure) else 'made'
        _LOG.info(
            'stages ended',
            extra={
                'request': request.request_id,
                'zone': plan.zone,
                'took_ms': round(took_s * _MS),
                'planned_ms': round(min(plan.stages_s, _MAX_ESTIMATE_S) * _MS),
                'pieces': list(request.metadata.piece_counts),
                'times_ms': _list_times_ms(self._stages.times),
                'end': end,
            },
        )
        return results

    def _create_stage_work(self, plan: Plan, now: float) -> StageWork:
        request = self._request
        first_s = self._context.first_events.estimate_s(self._service)
        due_at = plan.due_at or request.due_at
        starts_by = request.starts_by
        if self._answer.is_started:
            # The stream is continued: its caller waits for the next event.
            due_at = now + request.route.objective_s
            starts_by = request.ends_at
        overtime_s = request.route.objective_s * _OVERTIME_SHARE
        return StageWork(
            route=request.route,
            metadata=request.metadata,
            plan=plan,
            priority=request.route.priority,
            account=request.account_name,
            ends_at=min(starts_by, due_at + overtime_s) - first_s,
            due_at=due_at - first_s,
            lead_s=self._lead_s,
        )

    def _handle_answer_start(self) -> None:
        """Record the time until the answer starts; release the results.

        The runner has read all of its input when it starts to answer.
        """
        route = self._request.route
        metrics.FIRST_EVENT_SECONDS.observe(
            {'route': route.name},
            time.monotonic() - self._request.arrived_at,
        )
        # Results of a stream that may continue elsewhere are released too: they
        # would occupy memory for much longer than it takes to make them again.
        if self._stages is not None:
            self._stages.release()

    def _to_caller_failure(self, failure: Failure) -> Failure:
        """Return the failure for the caller.

        Its status states that the request did not run only if that is certain.
        The one of a quarantined prompt states neither.
        """
        if failure.code is Code.PROMPT_QUARANTINED:
            _LOG.info(
                'refused, prompt part quarantined',
                extra={
                    'request': self._request.request_id,
                    'reason': failure.detail,
                },
            )
            return failure
        if self._attempts is not None and self._attempts.ran is not Ran.NO:
            is_late = time.monotonic() >= self._request.ends_at
            code = Code.UPSTREAM_TIMEOUT if is_late else Code.UPSTREAM_BROKEN
            return replace(failure, code=code, retry_after_s=None)
        code = failure.code
        if code not in _NOT_RUN_CODES:
            code = Code.NO_UPSTREAM
        retry_after_s = (
            failure.retry_after_s
            or self._find_pause_s(time.monotonic())
            or _RETRY_AFTER_S
        )
        return replace(failure, code=code, retry_after_s=retry_after_s)


def _list_times_ms(times: Iterable[StageTime]) -> list[list[int]]:
    """Return for each stage its index, total time, wait and call."""
    return [
        [
            item.stage,
            round(item.took_s * _MS),
            round(item.waited_s * _MS),
            round(item.called_s * _MS),
        ]
        for item in times
    ]
