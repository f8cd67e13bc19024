"""Answers requests to pipelines; a side effect happens at most once."""

from __future__ import annotations

import functools
import http
import json
from typing import TYPE_CHECKING, final

from damaskpoint import problem, protocol
from damaskpoint.errors import Failure, Ran
from damaskpoint.journal.base import GuardedRequest, StoredAnswer
from damaskpoint.pipeline.pipeline_runner import PipelineRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.journal.guard import Guard
    from damaskpoint.pipeline.stage_runner import StageRunner
    from damaskpoint.pipeline.stage_times import StageTimes
    from damaskpoint.pipeline.work import PipelineRequest, TokenSink

    PlaceListener = Callable[[PipelineRun], None]


@final
class PipelineService:
    """Runs pipelines, those with a side effect under the guard."""

    def __init__(
        self, runner: StageRunner, times: StageTimes, guard: Guard
    ) -> None:
        """Keep what all requests share."""
        self._runner = runner
        self._times = times
        self._guard = guard

    def create_run(
        self, request: PipelineRequest, sink: TokenSink | None
    ) -> PipelineRun:
        """Return a run that has not begun."""
        return PipelineRun(request, sink, self._runner, self._times)

    async def answer(self, run: PipelineRun) -> StoredAnswer | Failure:
        """Run to the final answer.

        A pipeline with a side effect first asks what became of the same
        request earlier. The stages before the effect are idempotent, so the
        journal's intent is opened right before the effect.
        """
        outcome = await self._run(run)
        return (
            run.describe(outcome) if isinstance(outcome, Failure) else outcome
        )

    async def _run(self, run: PipelineRun) -> StoredAnswer | Failure:
        """Run to the end; a failure speaks of the stage that it ended."""
        request = run.request
        position = find_effect(request)
        if position is None:
            return await _run_rest(run)
        guarded = GuardedRequest(
            request.account.name, request.key, request.digest, request.deadline
        )
        known = await self._guard.look_up(guarded)
        if known is not None:
            return known
        stopped = await run.run_until(position)
        if stopped is not None:
            return stopped
        send = functools.partial(_run_effect, run)
        return await self._guard.run(guarded, send)


def find_effect(request: PipelineRequest) -> int | None:
    """Return the position of the stage with the side effect, if any."""
    for position, stage in enumerate(request.pipeline.stages):
        if stage.has_side_effect:
            return position
    return None


async def _run_rest(run: PipelineRun) -> StoredAnswer | Failure:
    stopped = await run.run_until(len(run.request.pipeline.stages))
    if stopped is not None:
        return stopped
    body = json.dumps(run.answer().encode()).encode()
    headers = (('Content-Type', protocol.MEDIA_JSON),)
    return StoredAnswer(http.HTTPStatus.OK, headers, body)


async def _run_effect(run: PipelineRun) -> StoredAnswer | Failure:
    """Run the effect and what follows it.

    The failure of a stage behind the effect is the final answer: the effect
    has happened, and the same key must never run it again. The failure of
    the effect itself goes back as it is: the journal's intent is closed if
    the effect certainly has not happened.
    """
    outcome = await _run_rest(run)
    if not isinstance(outcome, Failure):
        return outcome
    final = run.describe(outcome)
    if final.ran is not Ran.YES:
        return outcome
    body = problem.encode_problem(final, run.request.request_id).encode()
    headers = tuple(problem.render_headers(final).items())
    return StoredAnswer(final.kind.status, headers, body)
