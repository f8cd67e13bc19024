"""Closes journal rows in the background, with retries."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.journal import metrics
from damaskpoint.journal.commit_queue import CommitEnd
from damaskpoint.journal.rows import (
    TABLE,
    ClosingAction,
    RowData,
    RowState,
    choose_closing_action,
)
from damaskpoint.platform.base import RowKey, Write

if TYPE_CHECKING:
    from damaskpoint.journal.answers import AnswerStore
    from damaskpoint.journal.base import Intent, StoredAnswer
    from damaskpoint.journal.committer import Committer
    from damaskpoint.journal.rows import AnswerData
    from damaskpoint.pipeline.background import BackgroundTasks
    from damaskpoint.platform.base import Table


@final
@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """An answer that is not in the table yet."""

    digest: str
    answer: StoredAnswer


@final
class RowCloser:
    """Writes the final state of rows in the background.

    The number of pending rows and the size of their answers are bounded. A
    row that cannot be closed stays open, and its outcome is then unknown.
    """

    def __init__(
        self,
        entry: str,
        table: Table,
        committer: Committer,
        answers: AnswerStore,
        background: BackgroundTasks,
    ) -> None:
        """Start without pending rows."""
        self._entry = entry
        self._table = table
        self._committer = committer
        self._answers = answers
        self._background = background
        self._pending = 0
        self._pending_bytes = 0
        self._answers_by_row: dict[str, PendingAnswer] = {}

    @property
    def pending(self) -> int:
        """Return the number of rows that are being closed."""
        return self._pending

    def find_answer(self, row_name: str) -> PendingAnswer | None:
        """Return the pending answer of a row, if any."""
        return self._answers_by_row.get(row_name)

    def start_closing(self, intent: Intent, state: RowState) -> None:
        """Start to close a row without an answer, unless beyond the bounds."""
        if self._exceeds_bounds(0):
            metrics.DROPPED.inc({})
            return
        task = self._background.start(self._close(intent, state, None))
        self._add_pending(task)

    def start_closing_with_answer(
        self, intent: Intent, answer: StoredAnswer
    ) -> asyncio.Task[None] | None:
        """Start to close a row with its answer; None if beyond the bounds."""
        if self._exceeds_bounds(len(answer.body)):
            metrics.DROPPED.inc({})
            return None
        pending = PendingAnswer(intent.digest, answer)
        self._answers_by_row[intent.row_name] = pending
        self._pending_bytes += len(answer.body)
        task = self._background.start(self._save_and_close(intent, answer))
        self._add_pending(task)
        task.add_done_callback(
            functools.partial(self._drop_pending_answer, intent)
        )
        return task

    def _drop_pending_answer(
        self, intent: Intent, task: asyncio.Task[None]
    ) -> None:
        """Drop an answer once the task that closes its row has ended."""
        pending = self._answers_by_row.pop(intent.row_name, None)
        if pending is not None:
            self._pending_bytes -= len(pending.answer.body)

    def _add_pending(self, task: asyncio.Task[None]) -> None:
        self._pending += 1
        metrics.PENDING.set({}, self._pending)
        task.add_done_callback(self._remove_pending)

    def _remove_pending(self, task: asyncio.Task[None]) -> None:
        self._pending -= 1
        metrics.PENDING.set({}, self._pending)

    async def _save_and_close(
        self, intent: Intent, answer: StoredAnswer
    ) -> None:
        backoff_s = defaults.JOURNAL_RETRY_PAUSE_S
        data = await self._answers.save(intent, answer)
        while isinstance(data, Failure):
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, defaults.JOURNAL_MAX_RETRY_PAUSE_S)
            data = await self._answers.save(intent, answer)
        await self._close(intent, RowState.DONE, data)

    async def _close(
        self, intent: Intent, state: RowState, answer: AnswerData | None
    ) -> None:
        """Retry until the row is closed, by this write or another one."""
        backoff_s = defaults.JOURNAL_RETRY_PAUSE_S
        version: int | None = intent.version
        while version is not None:
            write = self._make_write(intent, state, answer, version)
            receipt = await self._committer.commit(write)
            if receipt.end is CommitEnd.STORED:
                break
            version = await self._read_version(intent, version)
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, defaults.JOURNAL_MAX_RETRY_PAUSE_S)
        metrics.CLOSED.inc({'state': state.value})

    async def _read_version(self, intent: Intent, version: int) -> int | None:
        """Return the version to overwrite; None if there is nothing to close."""
        rows = await self._table.read((RowKey(TABLE, intent.row_name),))
        if isinstance(rows, Failure):
            return version
        row = rows[0]
        if choose_closing_action(row, intent.attempt) is ClosingAction.DONE:
            return None
        return 0 if row is None else row.version

    def _make_write(
        self,
        intent: Intent,
        state: RowState,
        answer: AnswerData | None,
        version: int,
    ) -> Write:
        data = RowData(
            state=state,
            attempt=intent.attempt,
            entry=self._entry,
            digest=intent.digest,
            opened_at=intent.opened_at,
            ends_at=intent.ends_at,
            answer=answer,
        )
        return Write(RowKey(TABLE, intent.row_name), version, data.encode())

    def _exceeds_bounds(self, size: int) -> bool:
        if self._pending >= defaults.JOURNAL_MAX_PENDING:
            return True
        return self._pending_bytes + size > defaults.JOURNAL_MAX_PENDING_BYTES
