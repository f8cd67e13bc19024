"""A seeded history of a store that is restored from copies.

One follower per table reads the store without a network and with virtual
time. The operator and the runners write again what a restore lost, in any
order and after a delay.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final
from unittest import mock

from damaskpoint.catalog.catalog import Catalog
from damaskpoint.catalog.follower import (
    REWRITE_GRACE_S,
    OperatorSink,
    RunnerSink,
    TableFollower,
)
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.store import Rows, StoredRow
from standins.row_store import RowStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.row_store import StoreCopy

_ZONES: Final = ('zone-1', 'zone-2')
_RUNNERS: Final = 4
_STEPS: Final = 160
# Virtual seconds between two steps.
_STEP_S: Final = 0.1
# Longest time after a restore until a lost row is written again (seconds).
_REWRITE_S: Final = 4.0
_SERVICE: Final = 'plain'
_Row = tuple[str, str]


class DirectStore:
    """The client's interface to a stand-in, called without a network."""

    # Whether answers carry the era of the store.
    has_era = True

    def __init__(self, store: RowStore, rng: random.Random) -> None:
        """Read this store; some calls fail."""
        self._store = store
        self._rng = rng
        self.era = 0
        self.is_down = False

    async def read_table(self, table: str) -> Rows | Failure:
        """Return all rows of a table."""
        if self._fails():
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        self.era = self._find_era()
        return self._create_rows(self._store.read(table))

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Rows | Failure:
        """Return the changes after a version, without waiting."""
        if self._fails():
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        self.era = self._find_era()
        if not self._store.discarded_version <= after <= self._store.version:
            return Failure(Code.PLATFORM_MISSING, 'no such version')
        return self._create_rows(self._store.changes_after(table, after))

    def _find_era(self) -> int:
        return self._store.era if self.has_era else 0

    def _fails(self) -> bool:
        return self.is_down or not self._rng.randrange(10)

    def _create_rows(self, rows: list[dict[str, Any]]) -> Rows:
        stored = []
        for row in rows:
            content = None
            if 'Value' in row:
                content = self._store.decode(row)
            stored.append(StoredRow(row['Key'], content, row['Ver']))
        return Rows(tuple(stored), self._store.version, self.era)


@dataclass
class History:
    """What was written, and what the reading instance has seen."""

    # Content of each row as its writer wants it; None for a removed one.
    wanted: dict[_Row, dict[str, Any] | None] = field(default_factory=dict)
    seen_version: int = 0
    # Runner and start that were seen as draining.
    seen_leaving: set[tuple[str, int]] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)


class RestoredStoreTrial:
    """One seeded history; ``run`` returns the violations."""

    def __init__(self, seed: int) -> None:
        """Create the store, its writers and one reading instance."""
        self._rng = random.Random(seed)
        self.store = RowStore()
        self._client = DirectStore(self.store, self._rng)
        self._catalog = Catalog()
        self._history = History()
        self._now = float(0)
        self._copies: list[StoreCopy] = []
        self._rewrites: list[tuple[float, _Row]] = []
        self._starts = dict.fromkeys(range(_RUNNERS), 0)
        self._version = 0
        client: Any = self._client
        self._followers = (
            TableFollower(client, 'op', OperatorSink(self._catalog)),
            TableFollower(client, 'servers', RunnerSink(self._catalog)),
        )

    def run(self) -> list[str]:
        """Play the history and return the violated promises."""
        with mock.patch(
            'damaskpoint.catalog.follower.time.monotonic', lambda: self._now
        ):
            return asyncio.run(self._run())

    async def _run(self) -> list[str]:
        self._write_configuration()
        for number in range(_RUNNERS):
            self._start_runner(number)
        await self._read()
        for _ in range(_STEPS):
            self._now += _STEP_S
            self._write_due()
            self._rng.choice(self._list_actions())()
            if self._rng.randrange(10) < 7:
                await self._read()
        await self._settle()
        return self._history.violations

    async def _settle(self) -> None:
        """Wait until all is written again and read, then compare."""
        self._client.is_down = False
        ends_at = self._now + _REWRITE_S + 2 * REWRITE_GRACE_S
        while self._now < ends_at:
            self._now += _STEP_S
            self._write_due()
            await self._read()
        self._compare_with_writers()

    def _list_actions(self) -> list[Callable[[], None]]:
        # The drill is rare, so that something is written between two.
        return [
            *(self._do_nothing,) * 6,
            *(self._write_configuration,) * 2,
            *(self._change_runner,) * 4,
            *(self._change_zone,) * 2,
            *(self._copy,) * 2,
            self._restore,
            self._toggle_outage,
        ]

    # Writers.

    def _write(self, row: _Row, content: dict[str, Any] | None) -> None:
        self._history.wanted[row] = content
        if content is None:
            self.store.remove(*row)
        else:
            self.store.put(*row, content)

    def _write_configuration(self) -> None:
        self._version += self._rng.randint(1, 3)
        self._write(('op', 'config'), create_configuration(self._version))

    def _change_zone(self) -> None:
        row = ('op', f'evacuate/{self._rng.choice(_ZONES)}')
        is_evacuated = self._history.wanted.get(row) is not None
        self._write(row, None if is_evacuated else {})

    def _start_runner(self, number: int) -> None:
        self._starts[number] += 1
        self._write_runner(number, 'ready')

    def _write_runner(self, number: int, state: str) -> None:
        content = {
            'Service': _SERVICE,
            'Address': f'10.0.0.{number}:80',
            'Zone': _ZONES[number % len(_ZONES)],
            'Slots': 1,
            'State': state,
            'born': self._starts[number],
        }
        self._write(('servers', f'r-{number}'), content)

    def _change_runner(self) -> None:
        number = self._rng.randrange(_RUNNERS)
        current = self._history.wanted[('servers', f'r-{number}')]
        if current is None:
            self._start_runner(number)
        elif current['State'] == 'ready':
            self._write_runner(number, 'draining')
        else:
            self._write(('servers', f'r-{number}'), None)

    # The drill.

    def _copy(self) -> None:
        self._copies.append(self.store.copy())

    def _restore(self) -> None:
        if not self._copies:
            return
        copy = self._copies[-1]
        self._copies.clear()
        self.store.restore(copy)
        for row in self._history.wanted:
            due = self._now + self._rng.uniform(0, _REWRITE_S)
            self._rewrites.append((due, row))

    def _write_due(self) -> None:
        for due, row in tuple(self._rewrites):
            if due <= self._now:
                self._rewrites.remove((due, row))
                self._write(row, self._history.wanted[row])

    def _toggle_outage(self) -> None:
        self._client.is_down = not self._client.is_down

    def _do_nothing(self) -> None:
        """Let time pass."""

    # The reading instance.

    async def _read(self) -> None:
        for follower in self._followers:
            await follower.advance()
        self._catalog.runners.expire(self._now)
        self._check()

    def _check(self) -> None:
        """Compare what is in use with what was seen before."""
        history = self._history
        configuration = self._catalog.configuration
        if configuration is not None:
            if configuration.version < history.seen_version:
                self._report(f'configuration back to {configuration.version}')
            history.seen_version = configuration.version
        for runner in self._catalog.runners.usable(_SERVICE):
            if (runner.name, runner.started_ms) in history.seen_leaving:
                self._report(f'{runner.name} is leaving but in use')
        dumped = self._catalog.runners.dump_state(self._now)['runners_by_name']
        assert isinstance(dumped, dict)
        for name, state in dumped.items():
            if state['draining']:
                history.seen_leaving.add((name, state['started_ms']))

    def _compare_with_writers(self) -> None:
        """Compare the catalog with what the writers want."""
        configuration = self._catalog.configuration
        assert configuration is not None
        if configuration.version != self._version:
            self._report(f'configuration {configuration.version} in the end')
        evacuated = set()
        expected = set()
        for (table, key), content in self._history.wanted.items():
            if content is not None and key.startswith('evacuate/'):
                evacuated.add(key.removeprefix('evacuate/'))
            if table == 'servers' and content and content['State'] == 'ready':
                expected.add((key, content['Zone']))
        wanted = {name for name, zone in expected if zone not in evacuated}
        usable = {
            runner.name for runner in self._catalog.runners.usable(_SERVICE)
        }
        if usable != wanted:
            self._report(f'in the end {usable} are in use, not {wanted}')

    def _report(self, text: str) -> None:
        self._history.violations.append(f'{self._now:.1f}: {text}')


def create_configuration(version: int) -> dict[str, Any]:
    """Return a small configuration without routes."""
    return {
        'Version': version,
        'Routes': [],
        'Services': [{'Name': _SERVICE, 'MaxConns': 1}],
        'Limits': {
            'MaxHeaderBytes': 1,
            'MaxBodyBytes': 1,
            'HeaderTimeoutMs': 1,
            'IdleTimeoutMs': 1,
        },
        'Tenants': [],
    }
