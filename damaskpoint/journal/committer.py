"""Carries the group commit's transactions to the table."""

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
    """Sends one transaction at a time, with all that waits for it."""

    def __init__(self, table: Table, background: BackgroundTasks) -> None:
        """Start with nothing to write."""
        self._table = table
        self._background = background
        self._queue = CommitQueue(
            defaults.JOURNAL_BATCH, defaults.JOURNAL_WAITING
        )
        self._receipts_by_number: dict[int, asyncio.Future[CommitReceipt]] = {}
        self._is_pumping = False

    @property
    def waiting(self) -> int:
        """Return the number of writes that are not on their way."""
        return self._queue.waiting

    async def commit(self, write: Write) -> CommitReceipt:
        """Write a row and return what became of it."""
        queued = self._queue.submit(write)
        if isinstance(queued, CommitReceipt):
            metrics.WRITES.inc({'end': queued.end.value})
            return queued
        future: asyncio.Future[CommitReceipt]
        future = asyncio.get_running_loop().create_future()
        self._receipts_by_number[queued.number] = future
        self._wake()
        return await future

    def _wake(self) -> None:
        """Start to send; writes of the same turn still join the first."""
        if self._is_pumping:
            return
        self._is_pumping = True
        self._background.start(self._pump())

    async def _pump(self) -> None:
        batch = self._queue.take_batch()
        while batch:
            metrics.TRANSACTIONS.inc({})
            outcome = await self._table.transact(
                [queued.write for queued in batch]
            )
            for receipt in self._queue.settle(outcome):
                self._hand_out(receipt)
            batch = self._queue.take_batch()
        self._is_pumping = False

    def _hand_out(self, receipt: CommitReceipt) -> None:
        metrics.WRITES.inc({'end': receipt.end.value})
        future = self._receipts_by_number.pop(receipt.number)
        if not future.done():
            future.set_result(receipt)
