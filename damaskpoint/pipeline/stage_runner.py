"""Runs one stage: tries, retries, hedges, and at last one result."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Failure, Ran
from damaskpoint.pipeline import metrics
from damaskpoint.pipeline.attempt import StageAttempt
from damaskpoint.pipeline.retry_policy import (
    RetryDecision,
    TryHistory,
    decide_retry,
    describe_end,
)
from damaskpoint.pipeline.work import StageResult, TryFault
from damaskpoint.routing.base import CallEnd

if TYPE_CHECKING:
    from damaskpoint.pipeline.attempt import CallDependencies
    from damaskpoint.pipeline.retry_budget import RetryBudget
    from damaskpoint.pipeline.stage_times import StageEstimate, StageTimes
    from damaskpoint.pipeline.work import StageJob

    Outcome = StageResult | TryFault | Failure

_UNSENT = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE))


@final
@dataclass(slots=True)
class _Tally:
    """The tries of one run of a stage."""

    sent: int = 0
    unsent: int = 0
    used: set[str] = field(default_factory=set)

    def count(self, fault: TryFault) -> None:
        if fault.upstream:
            self.used.add(fault.upstream)
        if fault.end in _UNSENT:
            self.unsent += 1
        else:
            self.sent += 1


@final
class StageRunner:
    """Runs stages within the retry budget of this entry."""

    def __init__(
        self, parts: CallDependencies, budget: RetryBudget, times: StageTimes
    ) -> None:
        """Keep what all stages share."""
        self._parts = parts
        self._budget = budget
        self._times = times

    async def run(self, job: StageJob) -> StageResult | Failure:
        """Return the result of a stage, or the failure that ends it."""
        started_at = time.monotonic()
        result = await self._run_tries(job)
        now = time.monotonic()
        if isinstance(result, StageResult):
            pipeline = job.request.pipeline.name
            self._times.record(pipeline, job.stage.name, result.seconds, now)
        _count_stage(job, result, now - started_at)
        return result

    async def _run_tries(self, job: StageJob) -> StageResult | Failure:
        estimate = self._find_estimate(job)
        tally = _Tally()
        self._budget.record_first_try()
        while True:
            outcome = await self._try(job, frozenset(tally.used), estimate)
            if isinstance(outcome, StageResult):
                return outcome
            if isinstance(outcome, Failure):
                return _join_refusal(outcome, job, tally)
            tally.count(outcome)
            if not self._may_repeat(job, outcome, tally, estimate):
                return describe_end(
                    outcome.end, not job.stage.has_side_effect, outcome.detail
                )

    def _may_repeat(
        self,
        job: StageJob,
        fault: TryFault,
        tally: _Tally,
        estimate: StageEstimate,
    ) -> bool:
        now = time.monotonic()
        history = TryHistory(
            not job.stage.has_side_effect,
            tally.sent,
            tally.unsent,
            job.end_by - now,
            estimate.fast_s(now),
        )
        decision = decide_retry(fault.end, history)
        if job.sink is not None and job.sink.has_begun:
            # What the caller holds cannot be taken back.
            decision = RetryDecision.GIVE_UP
        on_budget = decision is RetryDecision.REPEAT_ON_BUDGET
        if on_budget and not self._budget.spend():
            decision = RetryDecision.GIVE_UP
        metrics.RETRIES.inc(
            {'decision': decision.value, 'cause': fault.end.value}
        )
        return decision is not RetryDecision.GIVE_UP

    async def _try(
        self, job: StageJob, used: frozenset[str], estimate: StageEstimate
    ) -> Outcome:
        slow_s = estimate.slow_s * defaults.HEDGE_FACTOR
        may_hedge = not job.stage.has_side_effect and job.sink is None
        first = StageAttempt(job, self._parts)
        if not may_hedge or slow_s <= 0:
            return await first.run(used)
        return await self._try_hedged(job, first, used, slow_s)

    async def _try_hedged(
        self,
        job: StageJob,
        first: StageAttempt,
        used: frozenset[str],
        slow_s: float,
    ) -> Outcome:
        """Run a try, and a second one elsewhere once it is slow.

        The time for an upstream to be chosen does not count: a second try
        would only wait beside the first.
        """
        timer = _SlowTimer(slow_s)
        first.on_sent = timer.start
        running = [asyncio.ensure_future(first.run(used))]
        try:
            await asyncio.wait(
                (running[0], timer.fired), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            timer.stop()
            await _cancel(running)
            raise
        timer.stop()
        if running[0].done():
            return running[0].result()
        if self._budget.spend():
            second = StageAttempt(job, self._parts)
            excluded = used | {first.upstream}
            running.append(asyncio.ensure_future(second.run(excluded)))
        try:
            outcome = await _take_first(running)
        except BaseException:
            await _cancel(running)
            raise
        await _cancel(running)
        return outcome

    def _find_estimate(self, job: StageJob) -> StageEstimate:
        return self._times.find(job.request.pipeline.name, job.stage.name)


@final
class _SlowTimer:
    """Tells when a call takes longer than it should."""

    def __init__(self, limit_s: float) -> None:
        """Wait for the call to be sent."""
        self._loop = asyncio.get_running_loop()
        self._limit_s = limit_s
        self._timer: asyncio.TimerHandle | None = None
        self.fired: asyncio.Future[None] = self._loop.create_future()

    def start(self) -> None:
        """Begin to count, at the first send."""
        if self._timer is None:
            self._timer = self._loop.call_later(self._limit_s, self._fire)

    def stop(self) -> None:
        """Stop to count."""
        if self._timer is not None:
            self._timer.cancel()

    def _fire(self) -> None:
        self.fired.set_result(None)


async def _take_first(running: list[asyncio.Task[Outcome]]) -> Outcome:
    """Return the first result; a fault only when nothing else is left."""
    waiting = set(running)
    fault: Outcome | None = None
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            outcome = task.result()
            if isinstance(outcome, StageResult):
                _count_hedge(running, task)
                return outcome
            # A fault of the first try says more than a refused hedge.
            if fault is None or task is running[0]:
                fault = outcome
    assert fault is not None
    _count_hedge(running, None)
    return fault


def _count_hedge(
    running: list[asyncio.Task[Outcome]], winner: asyncio.Task[Outcome] | None
) -> None:
    if len(running) == 1:
        return
    if winner is None:
        metrics.HEDGES.inc({'result': 'failed'})
        return
    is_first = winner is running[0]
    metrics.HEDGES.inc({'result': 'lost' if is_first else 'won'})


async def _cancel(running: list[asyncio.Task[Outcome]]) -> None:
    """End the tries that are still running, and see their end."""
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def _join_refusal(refusal: Failure, job: StageJob, tally: _Tally) -> Failure:
    """Return the failure of a stage that found no further upstream.

    A try that was sent before may have run, whatever the router says now.
    """
    if tally.sent == 0:
        return refusal
    if job.stage.has_side_effect:
        # Only tries that certainly did not run are repeated.
        return refusal
    return Failure(
        refusal.code, refusal.detail, Ran.UNKNOWN, refusal.retry_after_s
    )


def _count_stage(
    job: StageJob, result: StageResult | Failure, seconds: float
) -> None:
    stage = job.stage.name
    if isinstance(result, StageResult):
        metrics.STAGES.inc({'stage': stage, 'result': 'whole'})
        metrics.UNITS.inc({'stage': stage, 'use': 'used'})
        metrics.STAGE_SECONDS.observe({'stage': stage}, seconds)
        return
    metrics.STAGES.inc({'stage': stage, 'result': result.code.value})
