"""Runs one stage with retries and hedging."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Failure, Ran
from damaskpoint.pipeline import metrics
from damaskpoint.pipeline.attempt import StageAttempt
from damaskpoint.pipeline.model import AttemptFailure, StageResult
from damaskpoint.pipeline.retry_policy import (
    AttemptHistory,
    RetryDecision,
    decide_retry,
    describe_end,
)
from damaskpoint.routing.base import CallEnd

if TYPE_CHECKING:
    from damaskpoint.pipeline.attempt import CallDependencies
    from damaskpoint.pipeline.model import StageJob
    from damaskpoint.pipeline.retry_budget import RetryBudget
    from damaskpoint.pipeline.stage_times import StageEstimate, StageTimes

    Outcome = StageResult | AttemptFailure | Failure

_NOT_SENT = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE))


@final
@dataclass(slots=True)
class _AttemptLog:
    """The failed attempts of one run of a stage, and their upstreams."""

    sent: int = 0
    unsent: int = 0
    tried: set[str] = field(default_factory=set)

    def record(self, failure: AttemptFailure) -> None:
        if failure.upstream:
            self.tried.add(failure.upstream)
        if failure.end in _NOT_SENT:
            self.unsent += 1
        else:
            self.sent += 1


@final
class StageRunner:
    """Runs stages within this entry's retry budget."""

    def __init__(
        self,
        dependencies: CallDependencies,
        budget: RetryBudget,
        times: StageTimes,
    ) -> None:
        """Create a runner with the dependencies that all stages share."""
        self._dependencies = dependencies
        self._budget = budget
        self._times = times

    async def run(self, job: StageJob) -> StageResult | Failure:
        """Return the result of a stage, or its final failure."""
        started_at = time.monotonic()
        result = await self._run_attempts(job)
        now = time.monotonic()
        if isinstance(result, StageResult):
            pipeline = job.request.pipeline.name
            self._times.record(pipeline, job.stage.name, result.seconds, now)
        _record_stage_metrics(job, result, now - started_at)
        return result

    async def _run_attempts(self, job: StageJob) -> StageResult | Failure:
        estimate = self._find_estimate(job)
        attempts = _AttemptLog()
        self._budget.record_first_attempt()
        while True:
            outcome = await self._run_attempt(
                job, frozenset(attempts.tried), estimate
            )
            if isinstance(outcome, StageResult):
                return outcome
            if isinstance(outcome, Failure):
                return _qualify_refusal(outcome, job, attempts)
            attempts.record(outcome)
            if not self._may_retry(job, outcome, attempts, estimate):
                return describe_end(
                    outcome.end, not job.stage.has_side_effect, outcome.detail
                )

    def _may_retry(
        self,
        job: StageJob,
        failure: AttemptFailure,
        attempts: _AttemptLog,
        estimate: StageEstimate,
    ) -> bool:
        now = time.monotonic()
        history = AttemptHistory(
            not job.stage.has_side_effect,
            attempts.sent,
            attempts.unsent,
            job.deadline - now,
            estimate.fast_s(now),
        )
        decision = decide_retry(failure.end, history)
        if job.sink is not None and job.sink.has_begun:
            # Text that was sent to the caller cannot be revoked.
            decision = RetryDecision.GIVE_UP
        on_budget = decision is RetryDecision.REPEAT_ON_BUDGET
        if on_budget and not self._budget.spend():
            decision = RetryDecision.GIVE_UP
        metrics.RETRIES.inc(
            {'decision': decision.value, 'cause': failure.end.value}
        )
        return decision is not RetryDecision.GIVE_UP

    async def _run_attempt(
        self, job: StageJob, tried: frozenset[str], estimate: StageEstimate
    ) -> Outcome:
        hedge_delay_s = estimate.slow_s * defaults.HEDGE_FACTOR
        may_hedge = not job.stage.has_side_effect and job.sink is None
        first = StageAttempt(job, self._dependencies)
        if not may_hedge or hedge_delay_s <= 0:
            return await first.run(tried)
        return await self._run_hedged(job, first, tried, hedge_delay_s)

    async def _run_hedged(
        self,
        job: StageJob,
        first: StageAttempt,
        tried: frozenset[str],
        hedge_delay_s: float,
    ) -> Outcome:
        """Run an attempt, and hedge it on another upstream once it is slow.

        The hedge delay starts at the first send. If it started while the
        router chooses an upstream, the hedge would only wait for the router
        in parallel with the first attempt.
        """
        timer = _HedgeTimer(hedge_delay_s)
        first.on_sent = timer.start
        running = [asyncio.ensure_future(first.run(tried))]
        try:
            await asyncio.wait(
                (running[0], timer.fired), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            timer.stop()
            await _cancel_all(running)
            raise
        timer.stop()
        if running[0].done():
            return running[0].result()
        if self._budget.spend():
            second = StageAttempt(job, self._dependencies)
            excluded = tried | {first.upstream}
            running.append(asyncio.ensure_future(second.run(excluded)))
        try:
            outcome = await _wait_first_success(running)
        except BaseException:
            await _cancel_all(running)
            raise
        await _cancel_all(running)
        return outcome

    def _find_estimate(self, job: StageJob) -> StageEstimate:
        return self._times.find(job.request.pipeline.name, job.stage.name)


@final
class _HedgeTimer:
    """Completes a future once a call has exceeded the hedge delay."""

    def __init__(self, delay_s: float) -> None:
        """Create a timer that is not running; the delay is in seconds."""
        self._loop = asyncio.get_running_loop()
        self._delay_s = delay_s
        self._timer: asyncio.TimerHandle | None = None
        self.fired: asyncio.Future[None] = self._loop.create_future()

    def start(self) -> None:
        """Start the timer at the first send; later sends do not restart it."""
        if self._timer is None:
            self._timer = self._loop.call_later(self._delay_s, self._fire)

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _fire(self) -> None:
        self.fired.set_result(None)


async def _wait_first_success(running: list[asyncio.Task[Outcome]]) -> Outcome:
    """Return the first result, or a failure once all attempts have failed."""
    waiting = set(running)
    failure: Outcome | None = None
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            outcome = task.result()
            if isinstance(outcome, StageResult):
                _record_hedge_metrics(running, task)
                return outcome
            # The failure of the first attempt is more informative than
            # that of a hedge, which the router may just have refused.
            if failure is None or task is running[0]:
                failure = outcome
    assert failure is not None
    _record_hedge_metrics(running, None)
    return failure


def _record_hedge_metrics(
    running: list[asyncio.Task[Outcome]], winner: asyncio.Task[Outcome] | None
) -> None:
    if len(running) == 1:
        return
    if winner is None:
        metrics.HEDGES.inc({'result': 'failed'})
        return
    is_first = winner is running[0]
    metrics.HEDGES.inc({'result': 'lost' if is_first else 'won'})


async def _cancel_all(running: list[asyncio.Task[Outcome]]) -> None:
    """Cancel the attempts that are still running, and await their end."""
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def _qualify_refusal(
    refusal: Failure, job: StageJob, attempts: _AttemptLog
) -> Failure:
    """Return the failure of a stage whose next attempt the router refused.

    An earlier attempt that was sent may have run, so ``Ran.NO`` of the
    refusal does not apply to the stage.
    """
    if attempts.sent == 0:
        return refusal
    if job.stage.has_side_effect:
        # With a side effect, only attempts that certainly did not run are
        # retried.
        return refusal
    return Failure(
        refusal.code, refusal.detail, Ran.UNKNOWN, refusal.retry_after_s
    )


def _record_stage_metrics(
    job: StageJob, result: StageResult | Failure, seconds: float
) -> None:
    stage = job.stage.name
    if isinstance(result, StageResult):
        metrics.STAGES.inc({'stage': stage, 'result': 'whole'})
        metrics.UNITS.inc({'stage': stage, 'use': 'used'})
        metrics.STAGE_SECONDS.observe({'stage': stage}, seconds)
        return
    metrics.STAGES.inc({'stage': stage, 'result': result.code.value})
