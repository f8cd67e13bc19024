"""Maintains one lease in the platform's table: reads, claims, renews it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

import pydantic

from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource
from damaskpoint.platform.base import Committed, Conflicted, Row, Write
from damaskpoint.reconcile import metrics
from damaskpoint.reconcile.lease import (
    Lease,
    LeaseOptions,
    LeaseRow,
    LeaseWrite,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from damaskpoint.platform.base import Table


class _LeaseBody(pydantic.BaseModel):
    owner: str
    fencing: int = pydantic.Field(ge=0)
    write_id: str
    is_released: bool
    note: dict[str, Any] = {}


@final
class LeaseKeeper(StateSource):
    """Performs the reads and writes of one lease.

    Calls of ``run_once`` must not overlap. ``clock`` returns monotonic
    seconds.
    """

    def __init__(
        self, lease: Lease, table: Table, clock: Callable[[], float]
    ) -> None:
        """Start before the first read of the row."""
        self._lease = lease
        self._table = table
        self._clock = clock
        self._last_failure: Failure | None = None

    @property
    def lease(self) -> Lease:
        """Return this owner's view of the lease."""
        return self._lease

    async def run_once(
        self,
        create_note: Callable[[], Mapping[str, object]],
        may_claim: bool,
        is_urgent: bool = False,
    ) -> None:
        """Read the row unless the lease is held, then send a due write.

        ``create_note`` is called after the read; its result is written.
        """
        if not self._lease.is_held(self._clock()):
            await self._read_row()
        write = self._lease.next_write(self._clock(), create_note(), is_urgent)
        is_held = self._lease.is_held(self._clock())
        if write is None or not (may_claim or is_held):
            return
        await self._send_write(write)

    async def release(self, note: Mapping[str, object]) -> None:
        """Release the lease, so that another owner can claim it at once."""
        write = self._lease.release_write(self._clock(), note)
        if write:
            await self._send_write(write)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return whether the lease is held, its fencing number and failure."""
        last = self._last_failure
        return {
            'is_held': self._lease.is_held(now),
            'fencing': self._lease.fencing,
            'last_failure': last.detail if last else None,
        }

    async def _read_row(self) -> None:
        rows = await self._table.read((self._lease.options.row_key,))
        if isinstance(rows, Failure):
            self._last_failure = rows
            return
        row = _decode_row(rows[0])
        if isinstance(row, Failure):
            self._last_failure = row
            return
        self._lease.on_row_read(row, self._clock())

    async def _send_write(self, write: LeaseWrite) -> None:
        row_key = self._lease.options.row_key
        data = _encode_row(write.row)
        outcome = await self._table.transact(
            (Write(row_key, write.expected_version, data),)
        )
        outcome_label = type(outcome).__name__.lower()
        metrics.LEASE_WRITES.inc(
            {'kind': write.kind.value, 'end': outcome_label}
        )
        if isinstance(outcome, Committed):
            self._last_failure = None
            self._lease.on_committed(write, outcome.versions[0], self._clock())
            return
        if isinstance(outcome, Conflicted):
            self._lease.on_conflict()
            await self._read_row()
            return
        self._last_failure = outcome
        self._lease.on_response_lost(write)
        await self._read_row()


def create_lease_keeper(
    options: LeaseOptions, table: Table, clock: Callable[[], float]
) -> LeaseKeeper:
    """Return the keeper of one lease."""
    return LeaseKeeper(Lease(options), table, clock)


def _encode_row(row: LeaseRow) -> dict[str, object]:
    return {
        'owner': row.owner,
        'fencing': row.fencing,
        'write_id': row.write_id,
        'is_released': row.is_released,
        'note': dict(row.note),
    }


def _decode_row(row: Row | None) -> LeaseRow | Failure:
    if row is None:
        return LeaseRow(0, '', 0, '', is_released=True)
    try:
        body = _LeaseBody.model_validate(row.data)
    except pydantic.ValidationError as error:
        return Failure(Code.MESSAGE_MALFORMED, f'{row.row_key.key}: {error}')
    return LeaseRow(
        version=row.version,
        owner=body.owner,
        fencing=body.fencing,
        write_id=body.write_id,
        is_released=body.is_released,
        note=body.note,
    )
