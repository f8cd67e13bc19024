"""In-memory implementations of the abstract classes of ``platform.base``.

Faults of writes are scripted: each write takes the next one from a queue.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import TYPE_CHECKING, TypeVar

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.platform.base import (
    Committed,
    Conflicted,
    InstanceList,
    ListedInstance,
    ObjectStore,
    Presence,
    Row,
    RowKey,
    Table,
    Write,
)
from features.support.memory_table import MemoryTable, WriteBody

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Sequence

    CompetingWrite = Callable[[], Awaitable[None]]


_Answer = TypeVar('_Answer')


class WriteFault(enum.Enum):
    """The fault of one write."""

    NONE = 'none'
    # The write takes effect, but its answer is lost.
    ANSWER_LOST = 'answer lost'
    # The write is lost in transit; to the caller this looks like ANSWER_LOST.
    REQUEST_LOST = 'request lost'
    # The platform refuses the write and asks for a retry.
    REFUSED = 'refused'


class ScriptedTable(Table):
    """A table whose writes fail as scripted in ``faults``."""

    def __init__(self) -> None:
        self.rows = MemoryTable()
        self.faults: deque[WriteFault] = deque()
        self.is_down = False
        # If set, all reads return this failure.
        self.read_failure: Failure | None = None
        self.reads = 0
        # Called before a write, as a concurrent writer.
        self.before_write: deque[CompetingWrite] = deque()
        # Called after a write took effect, before its answer arrives.
        self.after_write: deque[CompetingWrite] = deque()

    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        self.reads += 1
        if self.read_failure:
            return self.read_failure
        if self.is_down:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        rows: list[Row | None] = []
        for row_key in row_keys:
            found = self.rows.read(row_key.table, row_key.key)
            if found is None:
                rows.append(None)
                continue
            rows.append(_decode(row_key, found))
        return tuple(rows)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        if self.is_down:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        rows = []
        for found in self.rows.scan(table, prefix, after, limit):
            rows.append(_decode(RowKey(table, str(found['key'])), found))
        return tuple(rows)

    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        if self.before_write:
            await self.before_write.popleft()()
        fault = self.faults.popleft() if self.faults else WriteFault.NONE
        if fault is WriteFault.REFUSED:
            return Failure(Code.PLATFORM_UNAVAILABLE, '429', Ran.NO, 0.01)
        if self.is_down or fault is WriteFault.REQUEST_LOST:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'lost', Ran.UNKNOWN)
        outcome = self._apply(writes)
        if self.after_write:
            await self.after_write.popleft()()
        if fault is WriteFault.ANSWER_LOST:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'lost', Ran.UNKNOWN)
        return outcome

    def _apply(self, writes: Sequence[Write]) -> Committed | Conflicted:
        bodies = []
        for write in writes:
            bodies.append(
                WriteBody(
                    table=write.row_key.table,
                    key=write.row_key.key,
                    expected_version=write.expected_version,
                    data=write.data,
                )
            )
        conflicts = self.rows.find_conflicts(bodies)
        if conflicts:
            return Conflicted(tuple(conflicts))
        return Committed(tuple(self.rows.apply(bodies)))


class MemoryObjects(ObjectStore):
    """An object store that can be down or return corrupt objects."""

    def __init__(self) -> None:
        self.bodies_by_name: dict[str, bytes] = {}
        self.is_down = False
        self.is_corrupt = False

    async def put(self, name: str, body: bytes) -> Failure | None:
        if self.is_down:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down', Ran.UNKNOWN)
        self.bodies_by_name[name] = body
        return None

    async def get(self, name: str) -> bytes | Failure:
        if self.is_down:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        body = self.bodies_by_name.get(name)
        if body is None:
            return Failure(Code.PLATFORM_MISSING, name)
        if not self.is_corrupt:
            return body
        damaged = bytearray(body)
        damaged[len(body) // 2] ^= 1
        return bytes(damaged)


class MemoryInstances(InstanceList):
    """A list of instances that the test sets."""

    def __init__(self) -> None:
        self.listed: tuple[ListedInstance, ...] = ()
        self.is_down = False

    async def fetch(self) -> tuple[ListedInstance, ...] | Failure:
        if self.is_down:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        return self.listed


def run_without_loop(coroutine: Coroutine[None, None, _Answer]) -> _Answer:
    """Run a coroutine that never suspends, without an event loop."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        answer: _Answer = stop.value
        return answer
    raise AssertionError('the coroutine suspended')


def list_instance(
    name: str, pool: str, zone: str = 'ikeja', presence: str = 'live'
) -> ListedInstance:
    """Return one entry of a list of instances."""
    return ListedInstance(
        name, pool, zone, '127.0.0.1', 1, 2, 1, Presence(presence)
    )


def _decode(row_key: RowKey, found: dict[str, object]) -> Row:
    version = found['version']
    data = found['data']
    assert isinstance(version, int)
    assert isinstance(data, dict)
    return Row(row_key, version, data)
