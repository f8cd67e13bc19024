"""One deadline, split over the stages of a pipeline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.errors import Code, Failure, Ran

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.pipeline.stage_times import StageEstimate


def check_feasible(
    remaining: Sequence[StageEstimate], deadline: float, now: float
) -> Failure | None:
    """Return why the remaining stages cannot end in time, if they cannot.

    Even if every stage ran as fast as its fast quarter, the sum would be too
    late. The caller is told how much time is missing.
    """
    left_s = deadline - now
    if left_s <= 0:
        return Failure(
            Code.DEADLINE_PASSED, 'no time is left', Ran.NO, retry_after_s=1
        )
    needed_s = sum_fast(remaining, now)
    if needed_s <= left_s:
        return None
    detail = f'{left_s:.3f} s are left, {needed_s:.3f} s are needed'
    return Failure(
        Code.DEADLINE_TOO_SHORT, detail, Ran.NO, retry_after_s=needed_s
    )


def end_of_stage(
    later: Sequence[StageEstimate], deadline: float, now: float
) -> float:
    """Return when a stage must have ended, in monotonic seconds.

    What the later stages need at least is kept back for them; all slack is
    open to the stage that runs, since slack that is saved for a later stage
    helps nobody when this one fails.
    """
    return deadline - sum_fast(later, now)


def sum_fast(estimates: Sequence[StageEstimate], now: float) -> float:
    """Return the seconds that fast runs of all these stages take."""
    return sum(estimate.fast_s(now) for estimate in estimates)
