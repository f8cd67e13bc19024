"""Runs the stages of a pipeline in order, under one deadline."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure, Ran
from damaskpoint.pipeline import deadline_split
from damaskpoint.pipeline.model import PipelineAnswer, StageJob, StageResult

if TYPE_CHECKING:
    from damaskpoint.pipeline.model import PipelineRequest, TokenSink
    from damaskpoint.pipeline.stage_runner import StageRunner
    from damaskpoint.pipeline.stage_times import StageEstimate, StageTimes


@final
class PipelineRun:
    """The progress of one request through the stages of its pipeline.

    A pipeline with a side effect is run in two steps: up to the stage with
    the side effect, and from there to the end.
    """

    def __init__(
        self,
        request: PipelineRequest,
        sink: TokenSink | None,
        runner: StageRunner,
        times: StageTimes,
    ) -> None:
        """Start before the first stage; the sink gets the last stage's text."""
        self.request = request
        self._sink = sink
        self._runner = runner
        self._times = times
        self._payload = request.payload
        self._results: list[StageResult] = []

    @property
    def stage_name(self) -> str:
        """Return the name of the current stage, or of the last one."""
        stages = self.request.pipeline.stages
        position = min(len(self._results), len(stages) - 1)
        return stages[position].name

    async def run_until(self, end: int) -> Failure | None:
        """Run the stages before position ``end``; return the first failure.

        The failure describes only the stage that failed; ``describe`` turns
        it into the failure of the whole request.
        """
        stages = self.request.pipeline.stages
        for position in range(len(self._results), end):
            now = time.monotonic()
            estimates = self._estimates(position)
            refusal = deadline_split.check_feasible(
                estimates, self.request.deadline, now
            )
            if refusal is not None:
                return refusal
            is_last = position == len(stages) - 1
            job = StageJob(
                self.request,
                stages[position],
                self._payload,
                deadline_split.stage_deadline(
                    estimates[1:], self.request.deadline, now
                ),
                self._sink if is_last else None,
                position,
            )
            result = await self._runner.run(job)
            if isinstance(result, Failure):
                return result
            self._results.append(result)
            self._payload = result.output
        return None

    def answer(self) -> PipelineAnswer:
        """Return the final answer; all stages must have run."""
        return PipelineAnswer(
            self.request.request_id,
            self._results[-1].output,
            tuple(self._results),
        )

    def describe(self, failure: Failure) -> Failure:
        """Return the failure of the whole request for that of one stage.

        Once a stage has run, ``Ran.NO`` would be wrong for the request.
        Until the stage with the side effect has run, ``Ran.YES`` would
        mislead as well: the caller could conclude that the side effect has
        happened. After that stage, the result is ``Ran.YES`` however a later
        stage failed.
        """
        if self._has_run_side_effect():
            return replace(failure, ran=Ran.YES)
        if failure.ran is not Ran.NO or not self._results:
            return failure
        later = self.request.pipeline.stages[len(self._results) :]
        if any(stage.has_side_effect for stage in later):
            detail = f'{failure.detail}; the side effect has not happened'
            return replace(failure, ran=Ran.UNKNOWN, detail=detail)
        return replace(failure, ran=Ran.YES)

    def _has_run_side_effect(self) -> bool:
        """Return whether the stage with the side effect has run."""
        done = self.request.pipeline.stages[: len(self._results)]
        return any(stage.has_side_effect for stage in done)

    def _estimates(self, position: int) -> list[StageEstimate]:
        pipeline = self.request.pipeline
        return [
            self._times.find(pipeline.name, stage.name)
            for stage in pipeline.stages[position:]
        ]
