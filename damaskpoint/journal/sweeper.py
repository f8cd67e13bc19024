"""Deletes journal rows past their retention time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.journal import metrics
from damaskpoint.journal.rows import TABLE, decode_row, is_expired
from damaskpoint.platform.base import Committed, RowKey, Write

if TYPE_CHECKING:
    from damaskpoint.platform.base import Row, Table

_LEASE_ROW: Final = RowKey('leases', 'journal-sweep')


@final
class Sweeper:
    """Scans the journal in steps, and deletes expired rows.

    A lease ensures that usually only one entry sweeps. Correctness does not
    depend on it: each deletion is conditional on the version that was read,
    so concurrent sweepers do no harm.
    """

    def __init__(self, entry: str, table: Table, keep_s: float) -> None:
        """Start at the first row; ``keep_s`` is the retention in seconds."""
        self._entry = entry
        self._table = table
        self._keep_s = keep_s
        self._after = ''

    async def sweep(self) -> None:
        """Sweep the next rows, if this entry holds the lease."""
        now_wall = time.time()
        if not await self._acquire_lease(now_wall):
            return
        rows = await self._table.scan(
            TABLE, '', self._after, defaults.SWEEP_ROWS
        )
        if isinstance(rows, Failure):
            return
        self._after = rows[-1].row_key.key if rows else ''
        expired = [row for row in rows if self._is_expired_row(row, now_wall)]
        if expired:
            await self._delete(expired)

    async def _acquire_lease(self, now_wall: float) -> bool:
        found = await self._table.read((_LEASE_ROW,))
        if isinstance(found, Failure):
            return False
        row = found[0]
        data = {} if row is None else row.data
        until = data.get('until')
        remaining_s = until - now_wall if isinstance(until, (int, float)) else 0
        if data.get('owner') != self._entry and remaining_s > 0:
            return False
        if remaining_s > defaults.SWEEP_LEASE_S / 2:
            return True
        claim: dict[str, object] = {
            'owner': self._entry,
            'until': now_wall + defaults.SWEEP_LEASE_S,
        }
        version = 0 if row is None else row.version
        outcome = await self._table.transact(
            (Write(_LEASE_ROW, version, claim),)
        )
        return isinstance(outcome, Committed)

    def _is_expired_row(self, row: Row, now_wall: float) -> bool:
        data = decode_row(row)
        if isinstance(data, Failure):
            return False
        return is_expired(data, self._keep_s, now_wall)

    async def _delete(self, expired: list[Row]) -> None:
        outcome = await self._table.transact(
            [Write(row.row_key, row.version, None) for row in expired]
        )
        if isinstance(outcome, Committed):
            metrics.SWEPT.add({}, len(expired))
