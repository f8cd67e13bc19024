"""Pieces of stages, and what came of them.

Times are monotonic seconds of the process that holds the value; between
processes they travel as time left.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final


@final
class PieceReason(enum.Enum):
    """Why a piece has no result."""

    # It could not have been ready in time.
    LATE = 'late'
    INPUT_GONE = 'input_gone'
    NO_ROOM = 'no_room'
    FAILED = 'failed'
    # The runner, or the instance that batches for it, did not answer.
    UNREACHABLE = 'unreachable'


@final
@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of a stage of one request."""

    request_id: str
    stage: int
    index: int
    # Input of a piece of a first stage.
    key: str
    # Handles of the results that a piece of a later stage takes.
    inputs: tuple[str, ...]
    # Zone that it should be made in, and the bytes that cross zones if not.
    zone: str
    moved_bytes: int
    priority: int
    # When the result is worth nothing any more.
    ends_at: float
    # When the result is needed for the request to meet its objective.
    needed_at: float
    # How much it goes before others that are needed then (seconds).
    lead_s: float
    result_bytes: int
    # Whether work for its request has been done already.
    has_cost: bool
    # Whether its request goes behind those that can meet their objective.
    is_deferred: bool


@final
@dataclass(frozen=True, slots=True)
class PieceOutcome:
    """The handle of a result, or the reason why there is none."""

    handle: str | None
    reason: PieceReason | None
    # The runner that holds the result.
    runner: str = ''
