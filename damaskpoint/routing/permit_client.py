"""Carries the leases' reads and writes to the platform's table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, final

import pydantic

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.platform.base import Committed, Row, RowKey, Table, Write
from damaskpoint.routing import metrics
from damaskpoint.routing.leases import (
    LEASE_TABLE,
    LeaseRow,
    LeaseWrite,
    WriteKind,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.routing.permits import PermitBook

# Pause between two rounds in which there was nothing to do (seconds).
_IDLE_S = 0.05


class _RowData(pydantic.BaseModel):
    """The data of a lease row."""

    owner: str
    claim_id: str
    fencing: int = pydantic.Field(ge=0)
    lease_s: float = pydantic.Field(gt=0)
    incarnation: int = pydantic.Field(ge=0)


@final
class PermitClient:
    """One task: reads what is due, then writes what is due."""

    def __init__(
        self,
        book: PermitBook,
        table: Table,
        clock: Callable[[], float],
    ) -> None:
        """Keep the book, the table and the monotonic clock (seconds)."""
        self._book = book
        self._table = table
        self._clock = clock

    async def run(self) -> None:
        """Serve the book until the task is cancelled."""
        while True:
            is_busy = await self.run_once()
            await asyncio.sleep(0 if is_busy else _IDLE_S)

    async def run_once(self) -> bool:
        """Read and write what is due; return whether anything was."""
        names = self._book.claims.plan_reads(self._clock())
        if names:
            await self._read(names)
        writes = self._book.claims.plan_writes(self._clock())
        if writes:
            await self._write(writes)
        return bool(names or writes)

    async def _read(self, names: tuple[str, ...]) -> None:
        row_keys = [RowKey(LEASE_TABLE, name) for name in names]
        rows = await self._table.read(row_keys)
        now = self._clock()
        if isinstance(rows, Failure):
            _count('read', 'failed')
            self._book.claims.note_read_failed(names, now)
            return
        _count('read', 'done')
        rows_by_name: dict[str, LeaseRow | None] = {}
        for name, row in zip(names, rows, strict=True):
            rows_by_name[name] = _decode(row)
        self._book.claims.note_read(rows_by_name, now)

    async def _write(self, writes: tuple[LeaseWrite, ...]) -> None:
        encoded = [_encode(write, self._book.owner) for write in writes]
        outcome = await self._table.transact(encoded)
        kind = 'done' if isinstance(outcome, Committed) else 'not_done'
        _count('write', kind)
        self._book.claims.note_written(writes, outcome, self._clock())


def _count(kind: str, result: str) -> None:
    metrics.TABLE_CALLS.inc({'kind': kind, 'result': result})


def _encode(write: LeaseWrite, owner: str) -> Write:
    is_release = write.kind is WriteKind.RELEASE
    row_data = _RowData(
        owner='' if is_release else owner,
        claim_id=write.claim_id,
        fencing=write.fencing,
        lease_s=write.lease_s,
        incarnation=write.incarnation,
    )
    return Write(
        RowKey(LEASE_TABLE, write.name),
        write.expected_version,
        row_data.model_dump(),
    )


def _decode(row: Row | None) -> LeaseRow | None:
    """Return the row; one that cannot be read counts as a rival's."""
    if row is None:
        return None
    try:
        parsed = _RowData.model_validate(row.data)
    except pydantic.ValidationError:
        return LeaseRow(row.version, '?', '', 0, defaults.LEASE_S)
    return LeaseRow(
        row.version,
        parsed.owner,
        parsed.claim_id,
        parsed.fencing,
        parsed.lease_s,
    )


def create_permit_client(
    book: PermitBook, table: Table, clock: Callable[[], float]
) -> PermitClient:
    """Return the client; the caller runs it as a task."""
    return PermitClient(book, table, clock)
