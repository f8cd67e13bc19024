"""A transactional table in memory, used in place of the platform's."""

from __future__ import annotations

import bisect
from dataclasses import dataclass
from typing import final

import pydantic


@final
class WriteBody(pydantic.BaseModel):
    """A conditional write of a transaction."""

    table: str
    key: str
    expected_version: int | None = None
    data: dict[str, object] | None = None


@dataclass(slots=True)
class _Row:
    version: int
    # None once the row is deleted; a later write continues its version.
    data: dict[str, object] | None


class MemoryTable:
    """Rows by table and key, whose versions also rise across deletions."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[tuple[str, str], _Row] = {}
        self._keys_by_table: dict[str, list[str]] = {}

    def read(self, table: str, key: str) -> dict[str, object] | None:
        """Return a row's version and data as a mapping, or None."""
        row = self._rows.get((table, key))
        if row is None or row.data is None:
            return None
        return {'version': row.version, 'data': row.data}

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[dict[str, object]]:
        """Return up to ``limit`` rows with the prefix and keys past ``after``.

        The rows are in key order.
        """
        keys = self._keys_by_table.get(table, [])
        start = bisect.bisect_right(keys, after) if after else 0
        start = max(start, bisect.bisect_left(keys, prefix))
        rows: list[dict[str, object]] = []
        for key in keys[start:]:
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            row = self.read(table, key)
            if row is not None:
                rows.append({'key': key, **row})
        return rows

    def find_conflicts(self, writes: list[WriteBody]) -> list[int]:
        """Return the positions of the writes whose condition fails."""
        conflicts = []
        for position, write in enumerate(writes):
            if write.expected_version is None:
                continue
            row = self._rows.get((write.table, write.key))
            is_absent = row is None or row.data is None
            version = 0 if row is None or is_absent else row.version
            if version != write.expected_version:
                conflicts.append(position)
        return conflicts

    def apply(self, writes: list[WriteBody]) -> list[int]:
        """Apply all writes and return the new versions."""
        return [self._apply_write(write) for write in writes]

    def _apply_write(self, write: WriteBody) -> int:
        row_id = (write.table, write.key)
        row = self._rows.get(row_id)
        if row is None:
            row = _Row(0, None)
            self._rows[row_id] = row
            keys = self._keys_by_table.setdefault(write.table, [])
            bisect.insort(keys, write.key)
        row.version += 1
        row.data = write.data
        return row.version
