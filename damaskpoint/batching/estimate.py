"""Estimates when a group of runners will have run new pieces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.catalog.model import BatchLimits

_HALF: Final = 0.5


@final
@dataclass(frozen=True, slots=True)
class GroupLoad:
    """The state of a group of runners that delays new pieces."""

    limits: BatchLimits
    # Number of healthy runners.
    runners: int
    # Pieces of admitted requests that run before the new ones.
    pieces_ahead: int
    # Measured duration of calls divided by the expected one.
    pace: float
    # Measured time in which a backlog is worked off, divided by that of full
    # calls at all runners.
    drain_pace: float = 1


def estimate_end_s(load: GroupLoad, pieces: int, start_s: float) -> float:
    """Return when pieces that can start at ``start_s`` will be complete.

    Both times are seconds from now. The pieces run once a runner is free
    after ``start_s``, and end no earlier than all pieces ahead of them.
    """
    limits = load.limits
    call_slots = load.runners * limits.max_concurrent_calls
    pieces_per_slot = (load.pieces_ahead + pieces) / call_slots
    call_s = limits.estimate_call_s(min(limits.max_pieces, pieces_per_slot))
    # Calls in flight are spread over time, so the first slot becomes free
    # after about half a call divided by the number of slots.
    wait_s = call_s * _HALF / call_slots if load.pieces_ahead else float(0)
    full_call_s = limits.estimate_call_s(limits.max_pieces)
    drain_s = pieces_per_slot / limits.max_pieces * full_call_s
    drain_pace = max(load.pace, load.drain_pace)
    return max(start_s + (wait_s + call_s) * load.pace, drain_s * drain_pace)
