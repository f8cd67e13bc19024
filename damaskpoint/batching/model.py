"""Pieces of stages and their outcomes.

Times are monotonic seconds of the process that holds the value; messages
between processes carry the time left instead.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence


@final
class PieceReason(enum.Enum):
    """Why a piece has no result."""

    # It could not have been completed in time.
    LATE = 'late'
    INPUT_GONE = 'input_gone'
    NO_ROOM = 'no_room'
    FAILED = 'failed'
    # The runner or its batching instance did not answer.
    UNREACHABLE = 'unreachable'
    # Its batching instance is leaving; another one should be asked.
    HANDED_BACK = 'handed_back'


@final
@dataclass(frozen=True, slots=True)
class Piece:
    """One unit of work of a stage of one request."""

    request_id: str
    stage: int
    index: int
    # Identifies the input of a piece of a first stage.
    key: str
    # Handles of the results that are the input of a later stage's piece.
    inputs: tuple[str, ...]
    # Preferred zone, and the bytes that cross zones if it runs elsewhere.
    zone: str
    moved_bytes: int
    priority: int
    # Time after which the result is useless.
    ends_at: float
    # Time by which the request needs the result to meet its objective.
    needed_at: float
    # How much earlier it is queued than its ``needed_at`` (seconds).
    lead_s: float
    result_bytes: int
    # Whether other pieces of its request have already run.
    has_cost: bool
    # Whether its request yields to those that can meet their objective.
    is_deferred: bool
    # Client account of the request; empty without one.
    account: str = ''


@final
@dataclass(frozen=True, slots=True)
class PieceOutcome:
    """The handle of a result, or the reason for its absence."""

    handle: str | None
    reason: PieceReason | None
    # The runner that holds the result.
    runner: str = ''
    # Time in the queue until the call began, and the duration of the call
    # (seconds); 0 without a call.
    waited_s: float = 0
    called_s: float = 0


def find_slowest(outcomes: Sequence[PieceOutcome]) -> PieceOutcome:
    """Return the outcome that came last at the batching instance."""
    return max(outcomes, key=lambda item: item.waited_s + item.called_s)


@final
@dataclass(frozen=True, slots=True)
class CallHolding:
    """Calls that an instance has in flight at a runner."""

    runner: str
    instance: str
    calls: int
    # When the last of them should end.
    busy_until: float


@final
@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A batching instance's answer to an order of a peer."""

    outcomes: tuple[PieceOutcome, ...]
    # Its calls in flight, if it handed pieces back.
    held: tuple[CallHolding, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """The calls at a runner, of all instances, by its own report."""

    running: int
    waiting: int
    # Calls that it runs at the same time.
    slots: int
    # How long work takes now, relative to the usual time.
    slowness: float = 1


@final
@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A runner's answer to a call with pieces."""

    # One for each piece; None if the runner was full and ran none of them.
    outcomes: tuple[PieceOutcome, ...] | None
    load: RunnerLoad | None = None
    # Time for connecting to the runner (seconds), and the bytes of the call.
    connected_s: float = 0
    sent_bytes: int = 0
