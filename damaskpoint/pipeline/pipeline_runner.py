"""Runs the stages of a pipeline under one deadline."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure, Ran
from damaskpoint.pipeline import deadline_split
from damaskpoint.pipeline.work import PipelineAnswer, StageJob, StageResult

if TYPE_CHECKING:
    from damaskpoint.pipeline.stage_runner import StageRunner
    from damaskpoint.pipeline.stage_times import StageEstimate, StageTimes
    from damaskpoint.pipeline.work import PipelineRequest, TokenSink


@final
class PipelineRun:
    """One request on its way through the stages, in one or two legs."""

    def __init__(
        self,
        request: PipelineRequest,
        sink: TokenSink | None,
        runner: StageRunner,
        times: StageTimes,
    ) -> None:
        """Start before the first stage; the sink takes the last one's text."""
        self.request = request
        self._sink = sink
        self._runner = runner
        self._times = times
        self._payload = request.payload
        self._results: list[StageResult] = []

    @property
    def stage_name(self) -> str:
        """Return the name of the stage that runs, or of the last one."""
        stages = self.request.pipeline.stages
        position = min(len(self._results), len(stages) - 1)
        return stages[position].name

    async def run_until(self, end: int) -> Failure | None:
        """Run the stages up to a position; return what stopped them.

        The failure speaks of the stage that it ended; ``describe`` makes it
        speak of the whole request.
        """
        stages = self.request.pipeline.stages
        for position in range(len(self._results), end):
            now = time.monotonic()
            remaining = self._estimates(position)
            too_late = deadline_split.check_feasible(
                remaining, self.request.deadline, now
            )
            if too_late is not None:
                return too_late
            is_last = position == len(stages) - 1
            job = StageJob(
                self.request,
                stages[position],
                self._payload,
                deadline_split.end_of_stage(
                    remaining[1:], self.request.deadline, now
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
        """Return the whole answer; all stages have run."""
        return PipelineAnswer(
            self.request.request_id,
            self._results[-1].output,
            tuple(self._results),
        )

    def describe(self, failure: Failure) -> Failure:
        """Say what is true of the whole request, not of one stage.

        Once an upstream has run a stage, "not run" is not the whole truth.
        While the stage with the side effect has not run, "yes" is not
        either: the caller may take it for the effect. Once it has run, what
        became of a later stage does not matter.
        """
        if self._has_effect():
            return replace(failure, ran=Ran.YES)
        if failure.ran is not Ran.NO or not self._results:
            return failure
        later = self.request.pipeline.stages[len(self._results) :]
        if any(stage.has_side_effect for stage in later):
            detail = f'{failure.detail}; the side effect has not happened'
            return replace(failure, ran=Ran.UNKNOWN, detail=detail)
        return replace(failure, ran=Ran.YES)

    def _has_effect(self) -> bool:
        """Return whether the stage with the side effect has run."""
        done = self.request.pipeline.stages[: len(self._results)]
        return any(stage.has_side_effect for stage in done)

    def _estimates(self, position: int) -> list[StageEstimate]:
        pipeline = self.request.pipeline
        return [
            self._times.find(pipeline.name, stage.name)
            for stage in pipeline.stages[position:]
        ]
