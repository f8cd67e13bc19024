"""The format of journal rows, and the rules for reading and closing them.

An open row is never taken over: the attempt that wrote it may have sent the
request, or may still send it. Only that attempt closes the row.
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
_RETRY_AFTER_S: Final = 1.0


@final
class RowState(enum.Enum):
    """The state of the request of a row."""

    # The attempt that opened the row may send it, or has sent it.
    OPEN = 'open'
    # It certainly did not run; the key may be opened again.
    NOT_RUN = 'not_run'
    # It is unknown whether it ran.
    UNKNOWN = 'unknown'
    # It ran, and its answer is stored.
    DONE = 'done'


@final
class AnswerData(pydantic.BaseModel):
    """The stored answer of a completed request."""

    model_config = pydantic.ConfigDict(frozen=True)

    status: int
    headers: tuple[tuple[str, str], ...]
    # The body in base64, or the name of the object that contains it.
    body: str = ''
    object_name: str = ''
    # Hexadecimal SHA-256 of the body.
    sha256: str


@final
class RowData(pydantic.BaseModel):
    """The columns of a row."""

    model_config = pydantic.ConfigDict(frozen=True)

    state: RowState
    # The attempt that last wrote the row, and its entry.
    attempt: str
    entry: str
    digest: str
    # Wall-clock times in seconds since the epoch: when the attempt opened the
    # row, and when a row that is still open is considered abandoned.
    opened_at: float
    ends_at: float
    answer: AnswerData | None = None

    def encode(self) -> dict[str, object]:
        """Return the columns as JSON values for the table."""
        return self.model_dump(mode='json', exclude_none=True)


@final
@dataclass(frozen=True, slots=True)
class Free:
    """The key may be opened if the row still has this version."""

    version: int


@final
@dataclass(frozen=True, slots=True)
class Owned:
    """The row is open, and was opened by the attempt that reads it."""

    version: int


@final
@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran, and its answer is stored."""

    answer: AnswerData


def decode_row(row: Row) -> RowData | Failure:
    """Return the columns of a row, or a failure if they are malformed."""
    try:
        return RowData.model_validate(row.data)
    except pydantic.ValidationError as error:
        detail = f'journal row: {error.error_count()} faults'
        return Failure(Code.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)


def interpret_row(
    row: Row | None, request: GuardedRequest, attempt: str, now_wall: float
) -> Free | Owned | Answered | Failure:
    """Return the status of a request's key according to its row.

    ``attempt`` is the attempt that reads the row, or empty. ``now_wall`` is
    the wall clock in seconds since the epoch; it only distinguishes "in
    progress" from "unknown", neither of which implies that nothing ran.
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
        return Owned(row.version)
    return _interpret_other(data, now_wall)


def _interpret_other(data: RowData, now_wall: float) -> Answered | Failure:
    """Return the status of a key whose row this attempt did not open."""
    if data.state is RowState.DONE and data.answer is not None:
        return Answered(data.answer)
    if data.state is not RowState.OPEN:
        return Failure(Code.OUTCOME_UNKNOWN, '', Ran.UNKNOWN)
    if now_wall < data.ends_at:
        return Failure(
            Code.KEY_IN_PROGRESS, '', Ran.UNKNOWN, retry_after_s=_RETRY_AFTER_S
        )
    return Failure(
        Code.OUTCOME_UNKNOWN, 'its entry left no outcome', Ran.UNKNOWN
    )


@final
class ClosingAction(enum.Enum):
    """What an attempt has to write to close its row."""

    # Nothing: the row is closed, or belongs to another attempt.
    DONE = 'done'
    # The final state, over the version that was read.
    WRITE = 'write'


def choose_closing_action(row: Row | None, attempt: str) -> ClosingAction:
    """Return what an attempt has to write to close its row.

    An absent row is written as well, so that a delayed write of the intent
    conflicts with it.
    """
    if row is None:
        return ClosingAction.WRITE
    data = decode_row(row)
    if isinstance(data, Failure):
        return ClosingAction.DONE
    if data.state is RowState.OPEN and data.attempt == attempt:
        return ClosingAction.WRITE
    return ClosingAction.DONE


def is_expired(data: RowData, keep_s: float, now_wall: float) -> bool:
    """Return whether a row is past its retention time, in seconds."""
    return now_wall - max(data.opened_at, data.ends_at) > keep_s
