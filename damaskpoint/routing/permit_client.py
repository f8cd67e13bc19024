"""Executes the planned reads and writes of lease rows on the table."""

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

    from damaskpoint.routing.permits import PermitManager

# Pause between two rounds in which there was nothing to do (seconds).
_IDLE_S = 0.05


class _RowData(pydantic.BaseModel):
    """The data of a lease row as stored in the table."""

    owner: str
    claim_id: str
    fencing: int = pydantic.Field(ge=0)
    lease_s: float = pydantic.Field(gt=0)
    incarnation: int = pydantic.Field(ge=0)


@final
class PermitClient:
    """A task that executes due reads, then due writes, in a loop."""

    def __init__(
        self,
        manager: PermitManager,
        table: Table,
        clock: Callable[[], float],
    ) -> None:
        """Use this permit manager, table and monotonic clock (seconds)."""
        self._manager = manager
        self._table = table
        self._clock = clock

    async def run(self) -> None:
        """Execute reads and writes until the task is cancelled."""
        while True:
            is_busy = await self.run_once()
            await asyncio.sleep(0 if is_busy else _IDLE_S)

    async def run_once(self) -> bool:
        """Execute due reads and writes; return whether there were any."""
        names = self._manager.claims.plan_reads(self._clock())
        if names:
            await self._read(names)
        writes = self._manager.claims.plan_writes(self._clock())
        if writes:
            await self._write(writes)
        return bool(names or writes)

    async def _read(self, names: tuple[str, ...]) -> None:
        row_keys = [RowKey(LEASE_TABLE, name) for name in names]
        rows = await self._table.read(row_keys)
        now = self._clock()
        if isinstance(rows, Failure):
            _count('read', 'failed')
            self._manager.claims.record_failed_read(names, now)
            return
        _count('read', 'done')
        rows_by_name: dict[str, LeaseRow | None] = {}
        for name, row in zip(names, rows, strict=True):
            rows_by_name[name] = _decode(row)
        self._manager.claims.apply_rows(rows_by_name, now)

    async def _write(self, writes: tuple[LeaseWrite, ...]) -> None:
        encoded = [_encode(write, self._manager.owner) for write in writes]
        outcome = await self._table.transact(encoded)
        kind = 'done' if isinstance(outcome, Committed) else 'not_done'
        _count('write', kind)
        self._manager.claims.apply_outcome(writes, outcome, self._clock())


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
    """Decode a row; an invalid one counts as held by another owner."""
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
    manager: PermitManager, table: Table, clock: Callable[[], float]
) -> PermitClient:
    """Return the client; the caller runs it as a task."""
    return PermitClient(manager, table, clock)
