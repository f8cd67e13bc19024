"""A journal in the platform's table."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.journal import metrics
from damaskpoint.journal.answers import AnswerStore
from damaskpoint.journal.base import (
    GuardedRequest,
    Intent,
    Journal,
    StoredAnswer,
)
from damaskpoint.journal.closer import RowCloser
from damaskpoint.journal.commit_queue import CommitEnd, CommitReceipt
from damaskpoint.journal.committer import Committer
from damaskpoint.journal.rows import (
    TABLE,
    Answered,
    Free,
    Owned,
    RowData,
    RowState,
    interpret_row,
)
from damaskpoint.observe.state import StateSource
from damaskpoint.platform.base import RowKey, Write

if TYPE_CHECKING:
    from damaskpoint.pipeline.background import BackgroundTasks
    from damaskpoint.pipeline.call import AttemptIdGenerator
    from damaskpoint.platform.base import ObjectStore, Table
    from damaskpoint.settings import JournalOptions

    KeyStatus = Free | Owned | Answered | Failure


@final
class TableJournal(Journal, StateSource):
    """Stores each request as a row, written by group commit.

    If the answer to a write is lost, the row is read back to learn whether
    the write took effect.
    """

    def __init__(
        self,
        entry: str,
        table: Table,
        committer: Committer,
        answers: AnswerStore,
        closer: RowCloser,
        attempt_ids: AttemptIdGenerator,
    ) -> None:
        """Start without open rows."""
        self._entry = entry
        self._table = table
        self._committer = committer
        self._answers = answers
        self._closer = closer
        self._attempt_ids = attempt_ids
        # Rows that this process is opening or holds open.
        self._held_rows: set[str] = set()

    async def look_up(
        self, request: GuardedRequest
    ) -> StoredAnswer | Failure | None:
        """Return the recorded outcome of a key; None if it may be opened."""
        local_result = self._find_local(request)
        if local_result is not None:
            return local_result
        status = await self._read(request, attempt='')
        if isinstance(status, Answered):
            return await self._answers.load(status.answer)
        if isinstance(status, Failure):
            return status
        return None

    async def open(
        self, request: GuardedRequest
    ) -> Intent | StoredAnswer | Failure:
        """Return a confirmed intent, or the recorded outcome of the key."""
        local_result = self._find_local(request)
        if local_result is not None:
            return local_result
        self._held_rows.add(request.row_name)
        try:
            opened = await self._open_row(request)
        except BaseException:
            self._held_rows.discard(request.row_name)
            raise
        if isinstance(opened, Intent):
            metrics.OPENED.inc({'result': 'opened'})
            return opened
        self._held_rows.discard(request.row_name)
        if isinstance(opened, Answered):
            metrics.OPENED.inc({'result': 'answered'})
            return await self._answers.load(opened.answer)
        metrics.OPENED.inc({'result': opened.code.value})
        return opened

    def close_not_run(self, intent: Intent) -> None:
        """Record that the request certainly did not run; it may be retried."""
        self._close(intent, RowState.NOT_RUN)

    def record_unknown(self, intent: Intent) -> None:
        """Record that it is unknown whether the request ran."""
        self._close(intent, RowState.UNKNOWN)

    async def record(self, intent: Intent, answer: StoredAnswer) -> None:
        """Record the answer; waits only briefly for the platform."""
        self._held_rows.discard(intent.row_name)
        task = self._closer.start_closing_with_answer(intent, answer)
        if task is None:
            return
        await asyncio.wait((task,), timeout=defaults.JOURNAL_RECORD_WAIT_S)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the numbers of open rows, waiting writes and closings."""
        return {
            'held': len(self._held_rows),
            'waiting_writes': self._committer.waiting,
            'pending_closings': self._closer.pending,
        }

    def _close(self, intent: Intent, state: RowState) -> None:
        self._held_rows.discard(intent.row_name)
        self._closer.start_closing(intent, state)

    def _find_local(
        self, request: GuardedRequest
    ) -> StoredAnswer | Failure | None:
        """Return the outcome of a key if this process has it, else None."""
        pending = self._closer.find_answer(request.row_name)
        if pending is not None:
            if pending.digest != request.digest:
                return Failure(Code.KEY_REUSED)
            return pending.answer
        if request.row_name in self._held_rows:
            return Failure(
                Code.KEY_IN_PROGRESS, '', Ran.UNKNOWN, retry_after_s=1
            )
        return None

    async def _open_row(
        self, request: GuardedRequest
    ) -> Intent | Answered | Failure:
        """Write the intent, and retry until the state of its row is known."""
        intent = self._make_intent(request)
        is_in_doubt = False
        for _ in range(defaults.JOURNAL_OPEN_ATTEMPTS):
            receipt = await self._committer.commit(self._make_write(intent))
            is_in_doubt = is_in_doubt or receipt.end is CommitEnd.IN_DOUBT
            status = await self._resolve_receipt(request, intent, receipt)
            if isinstance(status, Owned):
                return self._confirm(intent, request, status.version)
            if isinstance(status, Free):
                intent = _with_version(intent, status.version)
            elif not _is_read_failure(status):
                return status
            if time.monotonic() >= request.deadline:
                break
            await asyncio.sleep(defaults.JOURNAL_RETRY_PAUSE_S)
        return self._abandon(intent, is_in_doubt)

    async def _resolve_receipt(
        self, request: GuardedRequest, intent: Intent, receipt: CommitReceipt
    ) -> KeyStatus:
        """Return the key's status after a write; reads it back if uncertain."""
        if receipt.end is CommitEnd.STORED:
            return Owned(receipt.version)
        return await self._read(request, intent.attempt)

    def _abandon(self, intent: Intent, is_in_doubt: bool) -> Failure:
        """Abandon the attempt, which has sent nothing, and return its failure."""
        if is_in_doubt:
            # Otherwise a delayed write could block the key permanently.
            self._closer.start_closing(intent, RowState.NOT_RUN)
        return Failure(
            Code.PLATFORM_UNAVAILABLE,
            'no intent could be written',
            Ran.NO,
            retry_after_s=1,
        )

    def _confirm(
        self, intent: Intent, request: GuardedRequest, version: int
    ) -> Intent | Failure:
        """Return the confirmed intent, or a failure past the deadline."""
        confirmed = _with_version(intent, version)
        if time.monotonic() < request.deadline:
            return confirmed
        self._closer.start_closing(confirmed, RowState.NOT_RUN)
        return Failure(
            Code.DEADLINE_PASSED, 'the intent was late', retry_after_s=1
        )

    async def _read(self, request: GuardedRequest, attempt: str) -> KeyStatus:
        rows = await self._table.read((RowKey(TABLE, request.row_name),))
        if isinstance(rows, Failure):
            return Failure(
                Code.PLATFORM_UNAVAILABLE,
                rows.detail,
                Ran.NO,
                rows.retry_after_s or 1,
            )
        return interpret_row(rows[0], request, attempt, time.time())

    def _make_intent(self, request: GuardedRequest) -> Intent:
        opened_at = time.time()
        remaining_s = request.deadline - time.monotonic()
        return Intent(
            request.row_name,
            self._attempt_ids.next_id(),
            request.digest,
            version=0,
            opened_at=opened_at,
            ends_at=opened_at + remaining_s + defaults.JOURNAL_GRACE_S,
        )

    def _make_write(self, intent: Intent) -> Write:
        data = RowData(
            state=RowState.OPEN,
            attempt=intent.attempt,
            entry=self._entry,
            digest=intent.digest,
            opened_at=intent.opened_at,
            ends_at=intent.ends_at,
        )
        row_key = RowKey(TABLE, intent.row_name)
        return Write(row_key, intent.version, data.encode())


def create_table_journal(
    entry: str,
    table: Table,
    object_store: ObjectStore,
    options: JournalOptions,
    background: BackgroundTasks,
    attempt_ids: AttemptIdGenerator,
) -> TableJournal:
    """Create the journal of one entry."""
    committer = Committer(table, background)
    answers = AnswerStore(object_store, options.inline_bytes)
    closer = RowCloser(entry, table, committer, answers, background)
    return TableJournal(entry, table, committer, answers, closer, attempt_ids)


def _with_version(intent: Intent, version: int) -> Intent:
    return Intent(
        intent.row_name,
        intent.attempt,
        intent.digest,
        version,
        intent.opened_at,
        intent.ends_at,
    )


def _is_read_failure(status: Answered | Failure) -> bool:
    """Return whether the read failed, so that the status is unknown."""
    if isinstance(status, Answered):
        return False
    return status.code is Code.PLATFORM_UNAVAILABLE
