"""Group commit: many rows' writes in one transaction.

While one transaction is on its way, the writes that come go into the next.
A transaction is all or nothing, so after a conflict the writes that did not
conflict are sent again without the others.
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
    """What became of one write."""

    STORED = 'stored'
    # The row had another version: this write took no effect.
    CONFLICTED = 'conflicted'
    # The answer was lost: the write may have taken effect, or still may.
    IN_DOUBT = 'in_doubt'
    # The write was never sent.
    REFUSED = 'refused'


@final
@dataclass(frozen=True, slots=True)
class CommitReceipt:
    """What became of the write with this number."""

    number: int
    end: CommitEnd
    # Version of the row after a write that was stored.
    version: int = 0


@final
@dataclass(frozen=True, slots=True)
class QueuedWrite:
    """A write with the number that its receipt will carry."""

    number: int
    write: Write


@final
class CommitQueue:
    """Gathers writes into bounded transactions, one at a time."""

    def __init__(self, max_batch: int, max_waiting: int) -> None:
        """Start empty."""
        self._max_batch = max_batch
        self._max_waiting = max_waiting
        self._numbers = itertools.count(1)
        self._waiting: collections.deque[QueuedWrite] = collections.deque()
        self._batch: tuple[QueuedWrite, ...] = ()

    @property
    def waiting(self) -> int:
        """Return the number of writes that are not on their way."""
        return len(self._waiting)

    @property
    def is_sending(self) -> bool:
        """Return whether a transaction is on its way."""
        return bool(self._batch)

    def submit(self, write: Write) -> CommitReceipt | QueuedWrite:
        """Take a write, or refuse it when too many wait."""
        number = next(self._numbers)
        if len(self._waiting) >= self._max_waiting:
            return CommitReceipt(number, CommitEnd.REFUSED)
        queued = QueuedWrite(number, write)
        self._waiting.append(queued)
        return queued

    def take_batch(self) -> tuple[QueuedWrite, ...]:
        """Begin the next transaction; empty if none may begin.

        A row is written at most once in a transaction; a second write waits
        for the next one.
        """
        if self._batch:
            return ()
        chosen: list[QueuedWrite] = []
        rows: set[RowKey] = set()
        left: collections.deque[QueuedWrite] = collections.deque()
        for queued in self._waiting:
            row_key = queued.write.row_key
            if len(chosen) >= self._max_batch or row_key in rows:
                left.append(queued)
                continue
            rows.add(row_key)
            chosen.append(queued)
        self._waiting = left
        self._batch = tuple(chosen)
        return self._batch

    def settle(
        self, outcome: Committed | Conflicted | Failure
    ) -> list[CommitReceipt]:
        """End the transaction; return the receipts that this decides."""
        batch = self._batch
        self._batch = ()
        if isinstance(outcome, Committed):
            return [
                CommitReceipt(queued.number, CommitEnd.STORED, version)
                for queued, version in zip(batch, outcome.versions, strict=True)
            ]
        if isinstance(outcome, Conflicted) and outcome.positions:
            return self._split(batch, frozenset(outcome.positions))
        return [
            CommitReceipt(queued.number, CommitEnd.IN_DOUBT) for queued in batch
        ]

    def _split(
        self, batch: tuple[QueuedWrite, ...], positions: frozenset[int]
    ) -> list[CommitReceipt]:
        receipts = []
        unharmed = []
        for position, queued in enumerate(batch):
            if position in positions:
                receipts.append(
                    CommitReceipt(queued.number, CommitEnd.CONFLICTED)
                )
            else:
                unharmed.append(queued)
        self._waiting.extendleft(reversed(unharmed))
        return receipts
