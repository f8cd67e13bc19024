"""Serves pipeline requests; a side effect happens at most once."""

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
    from damaskpoint.pipeline.model import PipelineRequest, TokenSink
    from damaskpoint.pipeline.stage_runner import StageRunner
    from damaskpoint.pipeline.stage_times import StageTimes

    PlaceListener = Callable[[PipelineRun], None]


@final
class PipelineService:
    """Runs pipelines; side effects are run under the journal's guard."""

    def __init__(
        self, runner: StageRunner, times: StageTimes, guard: Guard
    ) -> None:
        """Create a service with the dependencies that all requests share."""
        self._runner = runner
        self._times = times
        self._guard = guard

    def create_run(
        self, request: PipelineRequest, sink: TokenSink | None
    ) -> PipelineRun:
        """Return a run that has not started."""
        return PipelineRun(request, sink, self._runner, self._times)

    async def answer(self, run: PipelineRun) -> StoredAnswer | Failure:
        """Run all stages and return the final answer.

        For a pipeline with a side effect, the journal is first searched for the
        outcome of an earlier request with the same key. The stages before
        the side effect are idempotent, so the intent is written to the
        journal right before the side effect.
        """
        outcome = await self._run(run)
        return (
            run.describe(outcome) if isinstance(outcome, Failure) else outcome
        )

    async def _run(self, run: PipelineRun) -> StoredAnswer | Failure:
        """Run all stages; a failure describes only the stage that failed."""
        request = run.request
        position = find_side_effect(request)
        if position is None:
            return await _run_remaining_stages(run)
        guarded = GuardedRequest(
            request.account.name, request.key, request.digest, request.deadline
        )
        earlier_outcome = await self._guard.look_up(guarded)
        if earlier_outcome is not None:
            return earlier_outcome
        failure = await run.run_until(position)
        if failure is not None:
            return failure
        send = functools.partial(_run_from_side_effect, run)
        return await self._guard.run(guarded, send)


def find_side_effect(request: PipelineRequest) -> int | None:
    """Return the position of the stage with the side effect, if any."""
    for position, stage in enumerate(request.pipeline.stages):
        if stage.has_side_effect:
            return position
    return None


async def _run_remaining_stages(run: PipelineRun) -> StoredAnswer | Failure:
    failure = await run.run_until(len(run.request.pipeline.stages))
    if failure is not None:
        return failure
    body = json.dumps(run.answer().encode()).encode()
    headers = (('Content-Type', protocol.MEDIA_JSON),)
    return StoredAnswer(http.HTTPStatus.OK, headers, body)


async def _run_from_side_effect(run: PipelineRun) -> StoredAnswer | Failure:
    """Run the stage with the side effect and all later stages.

    If a later stage fails, its failure is stored as the final answer: the
    side effect has happened, and must not be repeated under the same key. A
    failure of the side effect itself is returned unchanged, so that the
    guard closes the intent as "not run" if it certainly did not happen.
    """
    outcome = await _run_remaining_stages(run)
    if not isinstance(outcome, Failure):
        return outcome
    request_failure = run.describe(outcome)
    if request_failure.ran is not Ran.YES:
        return outcome
    body = problem.encode_problem(
        request_failure, run.request.request_id
    ).encode()
    headers = tuple(problem.render_headers(request_failure).items())
    return StoredAnswer(request_failure.kind.status, headers, body)
