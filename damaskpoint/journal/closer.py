"""Closes rows, and goes on trying while the platform refuses."""

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
    Closing,
    RowData,
    RowState,
    judge_closing,
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
    """An answer that the platform has not taken yet."""

    digest: str
    answer: StoredAnswer


@final
class RowCloser:
    """Writes the last state of rows, in the background and bounded.

    A row that cannot be closed stays open, which only says "unknown".
    """

    def __init__(
        self,
        entry: str,
        table: Table,
        committer: Committer,
        answers: AnswerStore,
        background: BackgroundTasks,
    ) -> None:
        """Start with nothing pending."""
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
        """Return an answer that is not in the table yet."""
        return self._answers_by_row.get(row_name)

    def start_state(self, intent: Intent, state: RowState) -> None:
        """Close a row without an answer."""
        if self._is_full(0):
            metrics.DROPPED.inc({})
            return
        work = self._background.start(self._close(intent, state, None))
        self._count_pending(work)

    def start_answer(
        self, intent: Intent, answer: StoredAnswer
    ) -> asyncio.Task[None] | None:
        """Close a row with its answer; None if too much is pending."""
        if self._is_full(len(answer.body)):
            metrics.DROPPED.inc({})
            return None
        pending = PendingAnswer(intent.digest, answer)
        self._answers_by_row[intent.row_name] = pending
        self._pending_bytes += len(answer.body)
        work = self._background.start(self._save(intent, answer))
        self._count_pending(work)
        work.add_done_callback(functools.partial(self._forget, intent))
        return work

    def _forget(self, intent: Intent, work: asyncio.Task[None]) -> None:
        """Drop an answer that is in the table now."""
        pending = self._answers_by_row.pop(intent.row_name, None)
        if pending is not None:
            self._pending_bytes -= len(pending.answer.body)

    def _count_pending(self, work: asyncio.Task[None]) -> None:
        self._pending += 1
        metrics.PENDING.set({}, self._pending)
        work.add_done_callback(self._uncount)

    def _uncount(self, work: asyncio.Task[None]) -> None:
        self._pending -= 1
        metrics.PENDING.set({}, self._pending)

    async def _save(self, intent: Intent, answer: StoredAnswer) -> None:
        pause_s = defaults.JOURNAL_PAUSE_S
        data = await self._answers.save(intent, answer)
        while isinstance(data, Failure):
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, defaults.JOURNAL_MAX_PAUSE_S)
            data = await self._answers.save(intent, answer)
        await self._close(intent, RowState.DONE, data)

    async def _close(
        self, intent: Intent, state: RowState, answer: AnswerData | None
    ) -> None:
        """Write until the row is closed, by this write or another."""
        pause_s = defaults.JOURNAL_PAUSE_S
        version: int | None = intent.version
        while version is not None:
            write = self._make_write(intent, state, answer, version)
            receipt = await self._committer.commit(write)
            if receipt.end is CommitEnd.STORED:
                break
            version = await self._read_version(intent, version)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, defaults.JOURNAL_MAX_PAUSE_S)
        metrics.CLOSED.inc({'state': state.value})

    async def _read_version(self, intent: Intent, version: int) -> int | None:
        """Return the version to write over, None if the row is closed."""
        rows = await self._table.read((RowKey(TABLE, intent.row_name),))
        if isinstance(rows, Failure):
            return version
        row = rows[0]
        if judge_closing(row, intent.attempt) is Closing.DONE:
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

    def _is_full(self, size: int) -> bool:
        if self._pending >= defaults.JOURNAL_PENDING:
            return True
        return self._pending_bytes + size > defaults.JOURNAL_PENDING_BYTES
