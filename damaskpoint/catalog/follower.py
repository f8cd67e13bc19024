"""Keeps the catalog up to date with the operator's and runners' tables.

The store may be restored from a copy that is some seconds old. The operator
and the runners then write their rows again. Until they have had the time,
what was known before stays good where the copy says otherwise.
"""

from __future__ import annotations

import abc
import asyncio
import json
import logging
import math
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.catalog import metrics
from damaskpoint.catalog.watch_schedule import WatchSchedule
from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource
from damaskpoint.platform import names, rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import Configuration, Runner
    from damaskpoint.platform.store import PlatformStore, Rows, StoredRow
    from damaskpoint.rollout.orders import OrderBook

    _ApplyConfiguration = Callable[[Configuration, int, float], bool]

_LOG: Final = logging.getLogger(__name__)
# Time after the first read of a restored table for which what was known before
# stays good (seconds). Then the table is read again, and holds alone.
REWRITE_GRACE_S: Final = 10.0
# Interval at which the end of a leader's outage is looked for (seconds).
_LEADER_CHECK_S: Final = 0.1


def _count_one() -> int:
    return 1


class TableSink(abc.ABC):
    """Consumer of the rows of one table."""

    @abc.abstractmethod
    def replace(self, read: Rows, now: float) -> None:
        """Replace all rows by those of the whole table."""

    @abc.abstractmethod
    def restore(self, read: Rows, now: float) -> None:
        """Apply the whole table, as restored from a copy some seconds old."""

    @abc.abstractmethod
    def update(self, read: Rows, now: float) -> None:
        """Apply the rows that changed."""

    @abc.abstractmethod
    def record_outage(self, sent_at: float, now: float) -> None:
        """Record a failed read of the table, which was sent before."""

    @abc.abstractmethod
    def record_read(self, now: float) -> None:
        """Record a successful read, before its rows are applied.

        Called for each successful read, not only after an outage.
        """


@final
class TableFollower(StateSource):
    """Keeps one sink up to date with one table."""

    def __init__(
        self,
        store: PlatformStore,
        table: str,
        sink: TableSink,
        leader: TableFollower | None = None,
        count_instances: Callable[[], int] = _count_one,
    ) -> None:
        """Follow a table, starting with a read of its current state.

        While the ``leader`` cannot read its own table, it alone calls the
        store, to notice its return. ``count_instances`` returns how many
        instances follow the table.
        """
        self._count_instances = count_instances
        self._leader = leader
        self._store = store
        self._table = table
        self._sink = sink
        # Table version that the sink has; None if the whole table must be
        # read.
        self._version: int | None = None
        # Era of that version; None before the first read.
        self._era: int | None = None
        # When a restored table is due to be read again; None otherwise.
        self._read_again_at: float | None = None
        self._schedule = WatchSchedule()
        # When the first of the failed calls was sent; None while calls succeed.
        self._unreachable_since: float | None = None
        self._sent_at = float('-inf')
        self._read_at = float('-inf')

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def is_reachable(self) -> bool:
        """Return whether the last call has not failed."""
        return self._unreachable_since is None

    async def run(self) -> None:
        """Apply changes of the table until the task is cancelled."""
        while True:
            await self.advance()
            await asyncio.sleep(self._schedule.pause_s)
            while self._leader is not None and not self._leader.is_reachable:
                await asyncio.sleep(_LEADER_CHECK_S)

    async def advance(self) -> Failure | None:
        """Read the table or its changes once and apply them."""
        self._sent_at = time.monotonic()
        version = self._choose_version(self._sent_at)
        if version is None:
            read = await self._store.read_table(self._table)
        else:
            read = await self._store.watch(
                self._table, version, self._schedule.wait_s
            )
        now = time.monotonic()
        if isinstance(read, Failure):
            self._handle_failure(read, now)
            return read
        self._record_success(now)
        self._sink.record_read(now)
        self._schedule.record_answer(bool(read.rows), self._count_instances())
        if version is None:
            self._apply_table(read, now)
        elif read.era == self._era:
            self._sink.update(read, now)
            self._version = max(version, read.version)
        else:
            # The changes are those after a version of another era.
            self._version = None
        return None

    def age_s(self, now: float) -> float:
        """Return how long ago the table was read; infinite before that."""
        return now - self._read_at

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the position in the table and the age of the last read."""
        return {
            'version': self._version,
            'era': self._era,
            'age_s': _round_age(self.age_s(now)),
            'call_age_s': _round_age(now - self._sent_at),
            'reachable': self.is_reachable,
        }

    def _choose_version(self, now: float) -> int | None:
        """Return the version to watch from; None to read the whole table."""
        if self._read_again_at is not None and now >= self._read_again_at:
            return None
        if self._era is None or self._store.era > self._era:
            return None
        return self._version

    def _apply_table(self, read: Rows, now: float) -> None:
        if self._era is not None and read.era > self._era:
            self._read_again_at = now + REWRITE_GRACE_S
            _LOG.warning(
                'store restored from a copy',
                extra={
                    'table': self._table,
                    'era': read.era,
                    'version': read.version,
                    'version_before': self._version,
                },
            )
        if self._read_again_at is not None and now < self._read_again_at:
            self._sink.restore(read, now)
        else:
            self._read_again_at = None
            self._sink.replace(read, now)
        self._era = read.era
        self._version = read.version

    def _handle_failure(self, failure: Failure, now: float) -> None:
        metrics.TABLE_FAILURES.inc(
            {'table': self._table, 'code': failure.code.value}
        )
        if failure.code is Code.PLATFORM_MISSING:
            _LOG.info(
                'table history not available, reading the whole table',
                extra={'table': self._table, 'version': self._version},
            )
            self._version = None
            self._schedule.record_lost_history()
            return
        self._schedule.record_failure(now - self._sent_at)
        if self._unreachable_since is None:
            self._unreachable_since = self._sent_at
            _LOG.warning(
                'store unreachable',
                extra={
                    'table': self._table,
                    'code': failure.code.value,
                    'reason': failure.detail,
                    'version': self._version,
                    'call_age_s': round(now - self._sent_at, 3),
                    'age_s': _round_age(self.age_s(now)),
                },
            )
        self._sink.record_outage(self._sent_at, now)

    def _record_success(self, now: float) -> None:
        self._read_at = now
        if self._unreachable_since is None:
            return
        _LOG.info(
            'store reachable again',
            extra={
                'table': self._table,
                'after_s': round(now - self._unreachable_since, 3),
            },
        )
        self._unreachable_since = None


@final
class OperatorSink(TableSink):
    """Applies the configuration and the evacuated zones to the catalog."""

    def __init__(
        self, catalog: Catalog, orders: OrderBook | None = None
    ) -> None:
        """Apply rows to this catalog, and orders of rollouts to ``orders``."""
        self._catalog = catalog
        self._orders = orders
        self._zones: frozenset[str] = frozenset()

    def replace(self, read: Rows, now: float) -> None:
        """Replace all rows by those of the whole table."""
        if self._orders is not None:
            self._orders.replace(read, now)
        self._set_zones(_collect_zones(read.rows), now)
        self._apply_configurations(read, self._catalog.apply, now)

    def restore(self, read: Rows, now: float) -> None:
        """Keep evacuations and a newer configuration that the copy lacks."""
        if self._orders is not None:
            self._orders.restore(read, now)
        self._set_zones(self._zones | _collect_zones(read.rows), now)
        self._apply_configurations(read, self._catalog.apply_restored, now)

    def update(self, read: Rows, now: float) -> None:
        """Apply the rows that changed."""
        if self._orders is not None:
            self._orders.update(read, now)
        zones = set(self._zones)
        for row in read.rows:
            zone = _find_zone(row)
            if not zone:
                continue
            if row.content is None:
                zones.discard(zone)
            else:
                zones.add(zone)
        self._set_zones(frozenset(zones), now)
        self._apply_configurations(read, self._catalog.apply, now)

    def record_outage(self, sent_at: float, now: float) -> None:
        """Do nothing: the last known rows stay in force."""

    def record_read(self, now: float) -> None:
        """Do nothing: the rows follow."""

    def _set_zones(self, zones: frozenset[str], now: float) -> None:
        if zones == self._zones:
            return
        _LOG.info(
            'evacuated zones changed',
            extra={'before': sorted(self._zones), 'after': sorted(zones)},
        )
        self._zones = zones
        self._catalog.runners.evacuate(zones, now, self._catalog.max_cold_s())

    def _apply_configurations(
        self, read: Rows, apply: _ApplyConfiguration, now: float
    ) -> None:
        for configuration in self._read_configurations(read.rows):
            if apply(configuration, read.era, now):
                _log_configuration(configuration, read.era)

    def _read_configurations(
        self, stored: Iterable[StoredRow]
    ) -> list[Configuration]:
        """Return the valid configurations among the rows."""
        configurations = []
        for row in stored:
            if row.key != names.KEY_CONFIGURATION or row.content is None:
                continue
            read = _read_json(row.content)
            if not isinstance(read, Failure):
                read = rows.read_configuration(read)
            if not isinstance(read, Failure):
                configurations.append(read)
                continue
            metrics.BAD_ROWS.inc({'table': names.TABLE_OPERATOR})
            _LOG.error(
                'invalid configuration, keeping the version in force',
                extra={'reason': read.detail},
            )
        return configurations


@final
class RunnerSink(TableSink):
    """Applies the runners' entries to the catalog."""

    def __init__(self, catalog: Catalog) -> None:
        """Apply rows to this catalog."""
        self._runners = catalog.runners

    def replace(self, read: Rows, now: float) -> None:
        """Replace all rows by those of the whole table."""
        present = {row.key for row in read.rows}
        for runner in self._runners.known():
            if runner.name not in present:
                self._remove(runner.name, now)
        self.update(read, now)

    def restore(self, read: Rows, now: float) -> None:
        """Keep what is known of runners where the copy is older."""
        runners = []
        for row in read.rows:
            runner = _read_runner(row)
            if runner is not None:
                runners.append(runner)
        self._runners.restore(runners, now, REWRITE_GRACE_S)

    def update(self, read: Rows, now: float) -> None:
        """Apply the rows that changed."""
        for row in read.rows:
            runner = _read_runner(row)
            if runner is None:
                self._remove(row.key, now)
                continue
            self._runners.put(runner, now)
            _LOG.info(
                'runner entry updated',
                extra={
                    'runner': runner.name,
                    'service': runner.service,
                    'zone': runner.zone,
                    'draining': runner.is_draining,
                    'cold_s': runner.cold_left_s,
                },
            )

    def record_outage(self, sent_at: float, now: float) -> None:
        """Keep the known runners in use."""
        self._runners.record_outage(sent_at, now)

    def record_read(self, now: float) -> None:
        """Start the grace period for lapsed entries after an outage."""
        self._runners.record_read(now)

    def _remove(self, name: str, now: float) -> None:
        self._runners.remove(name, now)
        _LOG.info('runner entry removed', extra={'runner': name})


def _read_runner(row: StoredRow) -> Runner | None:
    """Return the runner of a row; None if the row is removed or invalid."""
    if row.content is None:
        return None
    read = _read_json(row.content)
    if not isinstance(read, Failure):
        read = rows.read_runner(row.key, read)
    if not isinstance(read, Failure):
        return read
    metrics.BAD_ROWS.inc({'table': names.TABLE_RUNNERS})
    _LOG.warning(
        'invalid runner entry, not using the runner',
        extra={'runner': row.key, 'reason': read.detail},
    )
    return None


def _log_configuration(configuration: Configuration, era: int) -> None:
    _LOG.info(
        'configuration in force',
        extra={
            'version': configuration.version,
            'era': era,
            'hosts': len(configuration.routes_by_host),
            'services': len(configuration.services_by_name),
            'keys': len(configuration.accounts_by_key),
        },
    )


def _collect_zones(stored: Iterable[StoredRow]) -> frozenset[str]:
    zones = {_find_zone(row) for row in stored if row.content is not None}
    return frozenset(zones - {''})


def _find_zone(row: StoredRow) -> str:
    """Return the zone that a row evacuates, or an empty string."""
    if not row.key.startswith(names.KEY_PREFIX_EVACUATED):
        return ''
    return row.key.removeprefix(names.KEY_PREFIX_EVACUATED)


def _round_age(age_s: float) -> float | None:
    """Return an age for a log line; None for the age of what never was."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _read_json(content: bytes) -> object:
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
