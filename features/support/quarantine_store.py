"""Instances that keep quarantines in one store, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from damaskpoint.batching.assignment import InstanceView
from damaskpoint.batching.base import Peers
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import Phase
from damaskpoint.platform import names
from damaskpoint.platform.store import ChangeConflict, Rows, StoredRow
from damaskpoint.quarantine.guard import PromptGuard
from damaskpoint.quarantine.model import Quarantine
from damaskpoint.quarantine.stored import QuarantineSink, QuarantineWriter

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.membership.facts import Address
    from damaskpoint.platform.store import RowChange

_STEP_S: Final = 0.1


class _AllLive(Peers):
    """All instances are live, also those that do not work."""

    def __init__(self, all_names: frozenset[str]) -> None:
        self._names = all_names
        self._addresses_by_name: dict[str, Address] = {}
        self._seen_at_by_name: dict[str, float] = {}

    def batching_names(self, now: float) -> frozenset[str]:
        return self._names

    def find_address(self, name: str, now: float) -> Address | None:
        return self._addresses_by_name.get(name)

    def find_view(self, now: float) -> InstanceView:
        return InstanceView('', Phase.SERVING, self._names)

    def find_last_seen(self, name: str) -> float | None:
        return self._seen_at_by_name.get(name)


class QuarantineStore:
    """One table; its clock is ``now`` plus an offset."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.now = float(100)
        self.clock_offset_s = float(5_000)
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.version = 0
        self.writes = 0
        self.is_down = False

    async def change(
        self, changes: Sequence[RowChange]
    ) -> int | ChangeConflict | Failure:
        """Change one row under its condition."""
        if self.is_down:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        change = changes[0]
        _, version = self.rows.get(change.key, (b'', 0))
        if change.expected_version != version:
            return ChangeConflict({(change.table, change.key): version})
        self.version += 1
        self.writes += 1
        if change.content is None:
            self.rows.pop(change.key)
        else:
            self.rows[change.key] = (change.content, self.version)
        return self.version

    def read(self) -> Rows:
        """Return the whole table."""
        rows = tuple(
            StoredRow(key, content, version)
            for key, (content, version) in self.rows.items()
        )
        return Rows(rows, self.version, now_s=self.now + self.clock_offset_s)


class StoringInstance:
    """The guard of an instance, with its reader and its writer."""

    def __init__(
        self, name: str, all_names: frozenset[str], store: QuarantineStore
    ) -> None:
        """Create an instance that has read the store once."""
        self._store = store
        # The instance's monotonic clock minus the time of the store.
        self.clock_skew_s = float(0)
        self.is_working = True
        self.guard = PromptGuard(lambda *_: None)
        self.sink = QuarantineSink(self.guard)
        client: Any = store
        self._writer = QuarantineWriter(
            client, self.sink, self.guard, name, _AllLive(all_names)
        )

    @property
    def now(self) -> float:
        """Return the instance's monotonic clock."""
        return self._store.now + self.clock_skew_s

    def read(self) -> None:
        """Read the whole table."""
        self.sink.replace(self._store.read(), self.now)

    def learn(self, part_id: str, began_s_ago: float) -> None:
        """Learn of a quarantine from a peer."""
        quarantine = Quarantine(1, False, self.now - began_s_ago)
        self.guard.apply_quarantine(part_id, quarantine, self.now)

    async def run(self) -> None:
        """Read and write once."""
        if self.is_working:
            self.read()
            await self._writer.advance(self.now)


async def run_all(
    store: QuarantineStore, instances: Sequence[StoringInstance], seconds: float
) -> None:
    """Let all instances work for some time."""
    ends_at = store.now + seconds
    while store.now < ends_at:
        for instance in instances:
            await instance.run()
        store.now += _STEP_S


def put_invalid(store: QuarantineStore, part_id: str) -> None:
    """Write a row that cannot be read."""
    store.version += 1
    store.rows[part_id] = (names.TABLE_QUARANTINES.encode(), store.version)
