"""Sends the transactions of the group commit to the table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.journal import metrics
from damaskpoint.journal.commit_queue import CommitQueue, CommitReceipt

if TYPE_CHECKING:
    from damaskpoint.pipeline.background import BackgroundTasks
    from damaskpoint.platform.base import Table, Write


@final
class Committer:
    """Sends queued writes, one transaction at a time."""

    def __init__(self, table: Table, background: BackgroundTasks) -> None:
        """Start without queued writes."""
        self._table = table
        self._background = background
        self._queue = CommitQueue(
            defaults.JOURNAL_BATCH, defaults.JOURNAL_MAX_WAITING
        )
        self._receipts_by_number: dict[int, asyncio.Future[CommitReceipt]] = {}
        self._is_sending = False

    @property
    def waiting(self) -> int:
        """Return the number of writes that are not in flight."""
        return self._queue.waiting

    async def commit(self, write: Write) -> CommitReceipt:
        """Write a row, and return the outcome."""
        queued = self._queue.submit(write)
        if isinstance(queued, CommitReceipt):
            metrics.WRITES.inc({'end': queued.end.value})
            return queued
        future: asyncio.Future[CommitReceipt]
        future = asyncio.get_running_loop().create_future()
        self._receipts_by_number[queued.number] = future
        self._start_sending()
        return await future

    def _start_sending(self) -> None:
        """Start the sending task if it is not running.

        The task first runs in a later iteration of the event loop, so that
        writes of the same iteration join the first transaction.
        """
        if self._is_sending:
            return
        self._is_sending = True
        self._background.start(self._send_batches())

    async def _send_batches(self) -> None:
        batch = self._queue.take_batch()
        while batch:
            metrics.TRANSACTIONS.inc({})
            outcome = await self._table.transact(
                [queued.write for queued in batch]
            )
            for receipt in self._queue.complete_batch(outcome):
                self._deliver(receipt)
            batch = self._queue.take_batch()
        self._is_sending = False

    def _deliver(self, receipt: CommitReceipt) -> None:
        metrics.WRITES.inc({'end': receipt.end.value})
        future = self._receipts_by_number.pop(receipt.number)
        if not future.done():
            future.set_result(receipt)
