"""Steps that run a pipeline with stages and a journal that fail on demand."""

from __future__ import annotations

import time
from typing import Any, Final
from unittest import mock

from behave import given, then, when

from damaskpoint.config.model import Account, Pipeline, Stage, StageKind
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.pipeline.model import PipelineRequest, StageResult
from damaskpoint.pipeline.pipeline_service import PipelineService
from damaskpoint.pipeline.stage_times import StageTimes

_FAILURES_BY_FAULT: Final = {
    'is refused': Failure(Code.NO_UPSTREAM, ran=Ran.NO),
    'has an unknown outcome': Failure(Code.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN),
}
_NO_JOURNAL: Final = Failure(Code.PLATFORM_UNAVAILABLE, ran=Ran.NO)


def _stage(name: str) -> Stage:
    has_effect = name == 'effect'
    return Stage(name, StageKind.ENCODE, 'pool', 'model', '', has_effect)


def _result(job: Any) -> StageResult:
    name = job.stage.name
    return StageResult('r1', name, 'a1', {}, 1, 'engine', 0.01)


@given('a pipeline whose second stage has the side effect')
def create_request(context: Any) -> None:
    """Create a request with an idempotency key."""
    stages = tuple(_stage(name) for name in ('first', 'effect', 'last'))
    account = Account('caller', '', 1, 1, 1, 1, 1)
    pipeline = Pipeline('order', stages, 1000, frozenset(('caller',)))
    context.request = PipelineRequest(
        'r1', account, pipeline, {}, time.monotonic() + 100, 'key', 'digest'
    )


@when('the journal\'s open {journal} and the stage "{stage}" {fault}')
def run_pipeline(context: Any, journal: str, stage: str, fault: str) -> None:
    """Run the pipeline, and store the outcome that the guard receives."""
    context.guarded_outcome = 'nothing'

    async def run_stage(job: Any) -> object:
        if job.stage.name == stage:
            return _FAILURES_BY_FAULT[fault]
        return _result(job)

    async def guard_run(_request: Any, send: Any) -> object:
        if journal == 'fails':
            return _NO_JOURNAL
        outcome = await send()
        is_failure = isinstance(outcome, Failure)
        context.guarded_outcome = outcome.ran.value if is_failure else 'answer'
        return outcome

    runner = mock.Mock(run=run_stage)
    guard = mock.Mock(run=guard_run, look_up=mock.AsyncMock(return_value=None))
    service = PipelineService(runner, StageTimes(), guard)
    run = service.create_run(context.request, None)
    context.outcome = context.loop.run_until_complete(service.answer(run))


@then('the answer to the caller has ran "{ran}"')
def check_caller(context: Any, ran: str) -> None:
    """Compare ``ran`` of the final answer."""
    if isinstance(context.outcome, Failure):
        assert context.outcome.ran.value == ran, context.outcome
        return
    assert f'"ran": "{ran}"' in context.outcome.body.decode()


@then('the journal is to record "{outcome}"')
def check_journal(context: Any, outcome: str) -> None:
    """Compare the outcome that the guard received."""
    assert context.guarded_outcome == outcome, context.guarded_outcome
