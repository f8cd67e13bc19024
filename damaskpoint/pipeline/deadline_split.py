"""Divides the deadline of a request among the stages of its pipeline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.errors import Code, Failure, Ran

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.pipeline.stage_times import StageEstimate


def check_feasible(
    estimates: Sequence[StageEstimate], deadline: float, now: float
) -> Failure | None:
    """Return a failure if the remaining stages cannot meet the deadline.

    A deadline cannot be met if the sum of the stages' first-quartile times
    exceeds the time left. ``retry_after_s`` is then that sum, and the
    detail states both times.
    """
    remaining_s = deadline - now
    if remaining_s <= 0:
        return Failure(
            Code.DEADLINE_PASSED, 'no time is left', Ran.NO, retry_after_s=1
        )
    needed_s = sum_fast(estimates, now)
    if needed_s <= remaining_s:
        return None
    detail = f'{remaining_s:.3f} s are left, {needed_s:.3f} s are needed'
    return Failure(
        Code.DEADLINE_TOO_SHORT, detail, Ran.NO, retry_after_s=needed_s
    )


def stage_deadline(
    later: Sequence[StageEstimate], deadline: float, now: float
) -> float:
    """Return the deadline of a stage, in monotonic seconds.

    Only the first-quartile times of the later stages are reserved. All slack
    goes to the current stage: slack reserved for a later stage is of no use
    if this one fails.
    """
    return deadline - sum_fast(later, now)


def sum_fast(estimates: Sequence[StageEstimate], now: float) -> float:
    """Return the sum of the stages' first-quartile times, in seconds."""
    return sum(estimate.fast_s(now) for estimate in estimates)
