"""An in-memory table and object store for the journal's tests.

The table delays calls, refuses them and loses their answers on demand.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence


@dataclass(frozen=True, slots=True)
class CallFault:
    """The fault of one call; times are turns of the event loop."""

    effect_delay: int = 0
    # Time from the call until its answer is lost; -1 for never.
    lost_after: int = -1
    # Whether the call fails without any effect.
    is_refused: bool = False


@dataclass(slots=True)
class FakeTable(Table):
    """Rows whose versions continue to rise across deletions."""

    call_faults: Iterator[CallFault]
    rows_by_key: dict[RowKey, Row] = field(default_factory=dict)
    versions_by_key: dict[RowKey, int] = field(default_factory=dict)
    effects: set[asyncio.Task[object]] = field(default_factory=set)

    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        """Return the rows as of the time that the call takes effect."""
        answer = await self._run_call(_Read(self, tuple(row_keys)))
        assert isinstance(answer, (tuple, Failure))
        return answer

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        """Return rows in key order."""
        found = []
        for row_key in sorted(self.rows_by_key, key=lambda one: one.key):
            if row_key.table != table or not row_key.key.startswith(prefix):
                continue
            if row_key.key > after:
                found.append(self.rows_by_key[row_key])
        return tuple(found[:limit])

    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        """Apply all writes or none."""
        answer = await self._run_call(_Transact(self, tuple(writes)))
        assert isinstance(answer, (Committed, Conflicted, Failure))
        return answer

    def apply(self, writes: Sequence[Write]) -> Committed | Conflicted:
        """Apply all writes or none, immediately."""
        conflicts = []
        for position, write in enumerate(writes):
            row = self.rows_by_key.get(write.row_key)
            found = 0 if row is None else row.version
            if write.expected_version not in {None, found}:
                conflicts.append(position)
        if conflicts:
            return Conflicted(tuple(conflicts))
        return Committed(tuple(map(self._store, writes)))

    def _store(self, write: Write) -> int:
        version = self.versions_by_key.get(write.row_key, 0) + 1
        self.versions_by_key[write.row_key] = version
        if write.data is None:
            self.rows_by_key.pop(write.row_key, None)
        else:
            row = Row(write.row_key, version, write.data)
            self.rows_by_key[write.row_key] = row
        return version

    async def _run_call(self, call: _Read | _Transact) -> object:
        """Run a call with the next fault, or without one.

        A call whose answer is lost may still take effect afterwards.
        """
        fault = next(self.call_faults, CallFault())
        if fault.is_refused:
            await _wait_turns(fault.effect_delay)
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down', Ran.NO)
        effect = asyncio.ensure_future(_take_effect(call, fault.effect_delay))
        self.effects.add(effect)
        if fault.lost_after < 0:
            return await asyncio.shield(effect)
        await _wait_turns(fault.lost_after)
        return Failure(Code.PLATFORM_UNAVAILABLE, 'lost', Ran.UNKNOWN)


@dataclass(frozen=True, slots=True)
class _Read:
    table: FakeTable
    row_keys: tuple[RowKey, ...]

    def run(self) -> object:
        rows_by_key = self.table.rows_by_key
        return tuple(rows_by_key.get(row_key) for row_key in self.row_keys)


@dataclass(frozen=True, slots=True)
class _Transact:
    table: FakeTable
    writes: tuple[Write, ...]

    def run(self) -> object:
        return self.table.apply(self.writes)


class FakeObjectStore(ObjectStore):
    """Objects in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.bodies_by_name: dict[str, bytes] = {}

    async def put(self, name: str, body: bytes) -> Failure | None:
        """Store an object; never fails."""
        self.bodies_by_name[name] = body
        failure: Failure | None = None
        return failure

    async def get(self, name: str) -> bytes | Failure:
        """Return an object."""
        body = self.bodies_by_name.get(name)
        return Failure(Code.PLATFORM_MISSING, name) if body is None else body


async def _take_effect(call: _Read | _Transact, effect_delay: int) -> object:
    await _wait_turns(effect_delay)
    return call.run()


async def _wait_turns(turns: int) -> None:
    for _ in range(turns):
        await asyncio.sleep(0)
