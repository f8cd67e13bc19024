"""Group commit: batches writes of many rows into one transaction.

Writes submitted while a transaction is in flight go into the next one. A
transaction is atomic, so after a conflict the writes that did not conflict
are sent again without the others.
"""

from __future__ import annotations

import collections
import enum
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure
from damaskpoint.platform.base import Committed, Conflicted

if TYPE_CHECKING:
    from damaskpoint.platform.base import RowKey, Write


@final
class CommitEnd(enum.Enum):
    """The outcome of one write."""

    STORED = 'stored'
    # The row had another version: the write took no effect.
    CONFLICTED = 'conflicted'
    # The answer was lost: the write may have taken effect or may do so later.
    IN_DOUBT = 'in_doubt'
    # The write was never sent.
    REFUSED = 'refused'


@final
@dataclass(frozen=True, slots=True)
class CommitReceipt:
    """The outcome of the write with this number."""

    number: int
    end: CommitEnd
    # Version of the row after a stored write; 0 otherwise.
    version: int = 0


@final
@dataclass(frozen=True, slots=True)
class QueuedWrite:
    """A write, and the number that identifies its receipt."""

    number: int
    write: Write


@final
class CommitQueue:
    """Collects writes into bounded batches; one transaction at a time."""

    def __init__(self, max_batch: int, max_waiting: int) -> None:
        """Start empty; the bounds are numbers of writes."""
        self._max_batch = max_batch
        self._max_waiting = max_waiting
        self._numbers = itertools.count(1)
        self._waiting: collections.deque[QueuedWrite] = collections.deque()
        self._batch: tuple[QueuedWrite, ...] = ()

    @property
    def waiting(self) -> int:
        """Return the number of writes that are not in flight."""
        return len(self._waiting)

    @property
    def is_sending(self) -> bool:
        """Return whether a transaction is in flight."""
        return bool(self._batch)

    def submit(self, write: Write) -> CommitReceipt | QueuedWrite:
        """Enqueue a write, or refuse it if the queue is full."""
        number = next(self._numbers)
        if len(self._waiting) >= self._max_waiting:
            return CommitReceipt(number, CommitEnd.REFUSED)
        queued = QueuedWrite(number, write)
        self._waiting.append(queued)
        return queued

    def take_batch(self) -> tuple[QueuedWrite, ...]:
        """Start the next transaction, and return its writes.

        Empty if a transaction is in flight or no write waits. A transaction
        writes each row at most once; a second write waits for the next one.
        """
        if self._batch:
            return ()
        chosen: list[QueuedWrite] = []
        rows: set[RowKey] = set()
        remaining: collections.deque[QueuedWrite] = collections.deque()
        for queued in self._waiting:
            row_key = queued.write.row_key
            if len(chosen) >= self._max_batch or row_key in rows:
                remaining.append(queued)
                continue
            rows.add(row_key)
            chosen.append(queued)
        self._waiting = remaining
        self._batch = tuple(chosen)
        return self._batch

    def complete_batch(
        self, outcome: Committed | Conflicted | Failure
    ) -> list[CommitReceipt]:
        """End the transaction, and return the receipts of its final writes.

        A write that has to be sent again gets its receipt later.
        """
        batch = self._batch
        self._batch = ()
        if isinstance(outcome, Committed):
            return [
                CommitReceipt(queued.number, CommitEnd.STORED, version)
                for queued, version in zip(batch, outcome.versions, strict=True)
            ]
        if isinstance(outcome, Conflicted) and outcome.positions:
            return self._requeue_unconflicted(
                batch, frozenset(outcome.positions)
            )
        return [
            CommitReceipt(queued.number, CommitEnd.IN_DOUBT) for queued in batch
        ]

    def _requeue_unconflicted(
        self, batch: tuple[QueuedWrite, ...], positions: frozenset[int]
    ) -> list[CommitReceipt]:
        receipts = []
        unconflicted = []
        for position, queued in enumerate(batch):
            if position in positions:
                receipts.append(
                    CommitReceipt(queued.number, CommitEnd.CONFLICTED)
                )
            else:
                unconflicted.append(queued)
        self._waiting.extendleft(reversed(unconflicted))
        return receipts
