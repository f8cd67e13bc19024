"""The system's tables and objects, on top of the platform's store."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.platform.base import (
    Committed,
    Conflicted,
    ObjectStore,
    Row,
    RowKey,
    Table,
    Write,
)
from damaskpoint.platform.store import (
    ABSENT_VERSION,
    ChangeConflict,
    RowChange,
    RowRange,
    next_key,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.platform.store import PlatformStore, StoredRow

# Appended to a prefix, it follows all keys that begin with the prefix.
_LAST_CHARACTER: Final = '\U0010ffff'
# Maximum number of rows in one answer, as documented by the platform.
_PAGE_ROWS: Final = 500


@final
class StoreTable(Table):
    """A table whose rows are JSON objects; versions are those of the store."""

    def __init__(self, store: PlatformStore) -> None:
        """Read and write through this client."""
        self._store = store

    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        """Return the rows in the order of the keys; None if one is absent.

        Each row is read by a separate call, so the result is not a consistent
        snapshot.
        """
        reads = [self._read_one(row_key) for row_key in row_keys]
        rows: list[Row | None] = []
        for row in await asyncio.gather(*reads):
            if isinstance(row, Failure):
                return row
            rows.append(row)
        return tuple(rows)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        """Return up to ``limit`` rows with the prefix and keys past ``after``.

        The rows are in key order.
        """
        start_key = max(prefix, next_key(after) if after else '')
        end_key = prefix + _LAST_CHARACTER if prefix else ''
        found: list[Row] = []
        while len(found) < limit:
            page = await self._store.read_range(
                RowRange(
                    table,
                    start_key,
                    end_key,
                    min(_PAGE_ROWS, limit - len(found)),
                )
            )
            if isinstance(page, Failure):
                return page
            decoded = _decode_all(table, page.rows)
            if isinstance(decoded, Failure):
                return decoded
            found.extend(decoded)
            if not page.is_truncated or not page.rows:
                break
            start_key = next_key(page.rows[-1].key)
        return tuple(found)

    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        """Apply all writes or none."""
        outcome = await self._store.change([_encode(write) for write in writes])
        if isinstance(outcome, Failure):
            return outcome
        if isinstance(outcome, ChangeConflict):
            return Conflicted(_find_conflicts(writes, outcome))
        return Committed((outcome,) * len(writes))

    async def _read_one(self, row_key: RowKey) -> Row | Failure | None:
        key = row_key.key
        page = await self._store.read_range(
            RowRange(row_key.table, key, next_key(key))
        )
        if isinstance(page, Failure):
            return page
        return _decode(row_key, page.rows[0]) if page.rows else None


@final
class StoreObjects(ObjectStore):
    """Objects of the platform's store."""

    def __init__(self, store: PlatformStore) -> None:
        """Read and write through this client."""
        self._store = store

    async def put(self, name: str, body: bytes) -> Failure | None:
        """Store an object atomically."""
        return await self._store.put_object(name, body)

    async def get(self, name: str) -> bytes | Failure:
        """Return an object; ``PLATFORM_MISSING`` if there is none."""
        return await self._store.get_object(name)


def _encode(write: Write) -> RowChange:
    content = None
    if write.data is not None:
        content = json.dumps(write.data).encode()
    row_key = write.row_key
    return RowChange(
        row_key.table, row_key.key, write.expected_version, content
    )


def _decode_all(table: str, stored: Sequence[StoredRow]) -> list[Row] | Failure:
    decoded = []
    for stored_row in stored:
        row = _decode(RowKey(table, stored_row.key), stored_row)
        if isinstance(row, Failure):
            return row
        decoded.append(row)
    return decoded


def _decode(row_key: RowKey, stored: StoredRow) -> Row | Failure:
    try:
        data = json.loads(stored.content or b'')
    except ValueError as error:
        return _unreadable(row_key, str(error))
    if not isinstance(data, dict):
        return _unreadable(row_key, 'no object')
    return Row(row_key, stored.version, data)


def _unreadable(row_key: RowKey, reason: str) -> Failure:
    row_id = f'{row_key.table}/{row_key.key}'
    return Failure(Code.MESSAGE_MALFORMED, f'{row_id}: {reason}', Ran.NO)


def _find_conflicts(
    writes: Sequence[Write], refused: ChangeConflict
) -> tuple[int, ...]:
    positions = []
    for position, write in enumerate(writes):
        row_id = (write.row_key.table, write.row_key.key)
        version = refused.versions_by_row.get(row_id, ABSENT_VERSION)
        if write.expected_version not in {None, version}:
            positions.append(position)
    return tuple(positions)
