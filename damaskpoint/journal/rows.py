"""What a row of the journal says, and what may be done about it.

An open row is never taken over: whoever wrote it may have sent, and may
still send, the request. Only its own writer closes it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

import pydantic

from damaskpoint.errors import Code, Failure, Ran

if TYPE_CHECKING:
    from damaskpoint.journal.base import GuardedRequest
    from damaskpoint.platform.base import Row

TABLE: Final = 'journal'
_COME_BACK_S: Final = 1.0


@final
class RowState(enum.Enum):
    """How far the request of a row has come."""

    # Its writer may send it, or has sent it.
    OPEN = 'open'
    # It was certainly not run, and may be opened again.
    NOT_RUN = 'not_run'
    # Nobody can tell whether it ran.
    UNKNOWN = 'unknown'
    # It has its answer.
    DONE = 'done'


@final
class AnswerData(pydantic.BaseModel):
    """The answer of a request that is done."""

    model_config = pydantic.ConfigDict(frozen=True)

    status: int
    headers: tuple[tuple[str, str], ...]
    # The body in base64, or the name of the object that holds it.
    body: str = ''
    object_name: str = ''
    # Hexadecimal SHA-256 of the body.
    sha256: str


@final
class RowData(pydantic.BaseModel):
    """The columns of a row."""

    model_config = pydantic.ConfigDict(frozen=True)

    state: RowState
    # Which attempt wrote the row last, and at which entry.
    attempt: str
    entry: str
    digest: str
    # Wall-clock times in seconds since the epoch: when the attempt was
    # opened, and when it must have ended one way or the other.
    opened_at: float
    ends_at: float
    answer: AnswerData | None = None

    def encode(self) -> dict[str, object]:
        """Return the columns as the table takes them."""
        return self.model_dump(mode='json', exclude_none=True)


@final
@dataclass(frozen=True, slots=True)
class Free:
    """The key may be opened, if the row still has this version."""

    version: int


@final
@dataclass(frozen=True, slots=True)
class Ours:
    """The row is open in the name of the attempt that asks."""

    version: int


@final
@dataclass(frozen=True, slots=True)
class Answered:
    """The request has its answer."""

    answer: AnswerData


def decode_row(row: Row) -> RowData | Failure:
    """Return the columns of a row, or that they make no sense."""
    try:
        return RowData.model_validate(row.data)
    except pydantic.ValidationError as error:
        detail = f'journal row: {error.error_count()} faults'
        return Failure(Code.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)


def judge_row(
    row: Row | None, request: GuardedRequest, attempt: str, now_wall: float
) -> Free | Ours | Answered | Failure:
    """Return what a row means for a request; ``attempt`` may be empty.

    ``now_wall`` is the wall clock in seconds. It only tells "in progress"
    from "unknown"; neither says that nothing ran.
    """
    if row is None:
        return Free(0)
    data = decode_row(row)
    if isinstance(data, Failure):
        return data
    if data.digest != request.digest:
        return Failure(Code.KEY_REUSED)
    if data.state is RowState.NOT_RUN:
        return Free(row.version)
    if data.state is RowState.OPEN and attempt == data.attempt:
        return Ours(row.version)
    return _judge_other(data, now_wall)


def _judge_other(data: RowData, now_wall: float) -> Answered | Failure:
    """Return what a row says that another attempt has opened."""
    if data.state is RowState.DONE and data.answer is not None:
        return Answered(data.answer)
    if data.state is not RowState.OPEN:
        return Failure(Code.OUTCOME_UNKNOWN, '', Ran.UNKNOWN)
    if now_wall < data.ends_at:
        return Failure(
            Code.KEY_IN_PROGRESS, '', Ran.UNKNOWN, retry_after_s=_COME_BACK_S
        )
    return Failure(
        Code.OUTCOME_UNKNOWN, 'its entry left no outcome', Ran.UNKNOWN
    )


@final
class Closing(enum.Enum):
    """What an attempt that was given up on does about its row."""

    # Nothing: the row is closed, or another attempt's.
    DONE = 'done'
    # Write that it was not run, over the version that was read.
    WRITE = 'write'


def judge_closing(row: Row | None, attempt: str) -> Closing:
    """Return how an attempt closes a row that it never sent for.

    An absent row is written too: a late write of the intent then finds it
    and fails.
    """
    if row is None:
        return Closing.WRITE
    data = decode_row(row)
    if isinstance(data, Failure):
        return Closing.DONE
    if data.state is RowState.OPEN and data.attempt == attempt:
        return Closing.WRITE
    return Closing.DONE


def is_expired(data: RowData, keep_s: float, now_wall: float) -> bool:
    """Return whether a row is past the time that keys are kept."""
    return now_wall - max(data.opened_at, data.ends_at) > keep_s
