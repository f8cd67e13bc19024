"""A history of a store that answers nobody for some time, without a network.

A call that arrives while the store is silent is never answered, also not after
its return: the caller has to give it up. A watch that was pending before is
answered when the store returns. Instances are told of no fault.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final
from unittest import mock

from damaskpoint.catalog.catalog import Catalog
from damaskpoint.catalog.follower import (
    OperatorSink,
    RunnerSink,
    TableFollower,
)
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.store import Rows, StoredRow
from features.support.restored_store import create_configuration
from features.support.virtual_loop import VirtualLoop
from standins.row_store import RowStore

if TYPE_CHECKING:
    from collections.abc import Iterable

# The client's timeout of a call, without the wait of a watch (seconds).
_CALL_TIMEOUT_S: Final = 1.0
_ANSWER_S: Final = 0.004
# Time after a silence from which its bounds hold again (seconds).
_CONTACT_S: Final = 3.0
# Time from the acknowledgement of a version until it must be in force.
_APPLY_S: Final = 2.0
_CHECK_INTERVAL_S: Final = 0.05
_LENGTH_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class Silence:
    """A time in which the store answers nobody (seconds)."""

    starts_at: float
    ends_at: float

    def covers(self, now: float) -> bool:
        """Return whether the store is silent."""
        return self.starts_at <= now < self.ends_at


@dataclass(frozen=True, slots=True)
class SilenceHistory:
    """When the store is silent, and when rows change."""

    silences: tuple[Silence, ...]
    # Times at which the operator writes a version, in order.
    changes: tuple[float, ...]
    # Times at which a runner's entry changes, in order.
    runner_changes: tuple[float, ...] = ()


class SilentStore:
    """The client's interface to a store that is silent at times."""

    def __init__(self, store: RowStore, silences: Iterable[Silence]) -> None:
        """Read this store."""
        self._store = store
        self._silences = tuple(silences)
        self.era = 0
        self.calls = 0

    async def read_table(self, table: str) -> Rows | Failure:
        """Return all rows of a table."""
        if not await self._reach(0):
            return _create_timeout()
        return self._create_rows(self._store.read(table))

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Rows | Failure:
        """Return the changes after a version as soon as there are any."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        if not await self._reach(wait_s):
            return _create_timeout()
        ends_at = sent_at + wait_s
        while not self._store.changes_after(table, after):
            left_s = ends_at - loop.time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._store.changed.wait(), left_s)
            except TimeoutError:
                break
        if not await self._answer(ends_at + _CALL_TIMEOUT_S):
            return _create_timeout()
        return self._create_rows(self._store.changes_after(table, after))

    async def _reach(self, wait_s: float) -> bool:
        """Send a call; a silent store lets it run into its timeout."""
        self.calls += 1
        loop = asyncio.get_running_loop()
        if any(silence.covers(loop.time()) for silence in self._silences):
            await asyncio.sleep(_CALL_TIMEOUT_S + wait_s)
            return False
        await asyncio.sleep(_ANSWER_S)
        return True

    async def _answer(self, timeout_at: float) -> bool:
        """Hold an answer back while the store is silent."""
        loop = asyncio.get_running_loop()
        for silence in self._silences:
            if not silence.covers(loop.time()):
                continue
            ends_at = min(silence.ends_at, timeout_at)
            await asyncio.sleep(ends_at - loop.time())
            return ends_at < timeout_at
        return True

    def _create_rows(self, rows: list[dict[str, Any]]) -> Rows:
        stored = []
        for row in rows:
            content = self._store.decode(row) if 'Value' in row else None
            stored.append(StoredRow(row['Key'], content, row['Ver']))
        return Rows(tuple(stored), self._store.version, self.era)


class SilenceTrial:
    """One history, read by one instance; ``run`` returns the violations."""

    def __init__(self, history: SilenceHistory) -> None:
        """Create the store and the instance."""
        self._history = history
        self._store = RowStore()
        self._catalog = Catalog()
        self.client = SilentStore(self._store, history.silences)
        client: Any = self.client
        self._followers = (
            TableFollower(client, 'op', OperatorSink(self._catalog)),
            TableFollower(client, 'servers', RunnerSink(self._catalog)),
        )
        self._acknowledged: list[tuple[float, int]] = []
        self.violations: list[str] = []

    def run(self) -> list[str]:
        """Play the history in virtual time and return the violations."""
        loop = VirtualLoop()
        with (
            mock.patch(
                'damaskpoint.catalog.follower.time.monotonic', loop.time
            ),
            asyncio.Runner(loop_factory=lambda: loop) as runner,
        ):
            runner.run(self._run())
        return self.violations

    async def _run(self) -> None:
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                *(follower.run() for follower in self._followers),
                self._write_versions(),
                self._write_runners(),
            )
        ]
        loop = asyncio.get_running_loop()
        while loop.time() < _LENGTH_S:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._check(loop.time())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _write_versions(self) -> None:
        """Write the versions; one that is due in a silence follows it."""
        loop = asyncio.get_running_loop()
        for version, change_at in enumerate((0, *self._history.changes), 1):
            write_at = change_at
            for silence in self._history.silences:
                if silence.covers(write_at):
                    write_at = silence.ends_at
            await asyncio.sleep(max(0, write_at - loop.time()))
            self._store.put('op', 'config', create_configuration(version))
            self._acknowledged.append((loop.time(), version))

    async def _write_runners(self) -> None:
        loop = asyncio.get_running_loop()
        for number, change_at in enumerate(self._history.runner_changes):
            await asyncio.sleep(max(0, change_at - loop.time()))
            self._store.put('servers', 'r-1', {'Slots': number})

    def _check(self, now: float) -> None:
        """Compare the version in force with the one that must be."""
        for silence in self._history.silences:
            if silence.starts_at <= now <= silence.ends_at + _CONTACT_S:
                return
        required = 0
        for acknowledged_at, version in self._acknowledged:
            if acknowledged_at + _APPLY_S < now:
                required = version
        configuration = self._catalog.configuration
        in_force = configuration.version if configuration else 0
        if in_force < required:
            self.violations.append(
                f'{now:.2f} s: version {in_force} in force, not {required}'
            )


def create_seeded_history(seed: int) -> SilenceHistory:
    """Return silences and changes at drawn times."""
    rng = random.Random(seed)
    silences = []
    starts_at = rng.uniform(3, 25)
    while starts_at < _LENGTH_S:
        ends_at = starts_at + rng.uniform(0.5, 12)
        silences.append(Silence(starts_at, ends_at))
        starts_at = ends_at + rng.uniform(5, 25)
    changes = [rng.uniform(1, _LENGTH_S) for _ in range(rng.randint(5, 25))]
    for silence in silences:
        # Just before a silence, so that the next watch is sent into it.
        changes.append(silence.starts_at - rng.uniform(0, 0.3))
        changes.append(silence.ends_at + rng.uniform(0, 3))
    runner_changes = sorted(rng.uniform(1, _LENGTH_S) for _ in range(10))
    return SilenceHistory(
        tuple(silences), tuple(sorted(changes)), tuple(runner_changes)
    )


def _create_timeout() -> Failure:
    return Failure(Code.PLATFORM_UNAVAILABLE, 'Timeout during request')
