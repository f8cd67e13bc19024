"""Keeps the catalog up to date with the operator's and runners' tables."""

from __future__ import annotations

import abc
import asyncio
import json
import logging
import random
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.catalog import metrics
from damaskpoint.errors import Code, Failure
from damaskpoint.platform import names, rows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.platform.store import PlatformStore, StoredRow

_LOG: Final = logging.getLogger(__name__)
# Duration of one watch call (seconds). A connection may stop responding
# without being closed, which must be detected within the time for which the
# platform counts an instance as in contact.
WATCH_TIMEOUT_S: Final = 2.0
# Backoff after a failed call: first value, growth factor and limit (seconds).
# The store can handle only a few calls of each instance, and its recovery must
# be detected quickly.
_INITIAL_BACKOFF_S: Final = 0.1
_BACKOFF_GROWTH: Final = 2.0
_MAX_BACKOFF_S: Final = 0.8


class TableSink(abc.ABC):
    """Consumer of the rows of one table."""

    @abc.abstractmethod
    def replace(self, stored: Iterable[StoredRow], now: float) -> None:
        """Replace all rows by those of the whole table."""

    @abc.abstractmethod
    def update(self, stored: Iterable[StoredRow], now: float) -> None:
        """Apply the rows that changed."""

    @abc.abstractmethod
    def record_outage(self, failure: Failure, now: float) -> None:
        """Record a failed read of the table."""

    @abc.abstractmethod
    def record_read(self, now: float) -> None:
        """Record a successful read, before its rows are applied.

        Called for each successful read, not only after an outage.
        """


@final
class TableFollower:
    """Keeps one sink up to date with one table."""

    def __init__(
        self, store: PlatformStore, table: str, sink: TableSink
    ) -> None:
        """Follow a table, starting with a read of its current state."""
        self._store = store
        self._table = table
        self._sink = sink
        # Table version that the sink has; None if the whole table must be
        # read.
        self._version: int | None = None
        self._backoff_s = _INITIAL_BACKOFF_S
        self._is_unreachable = False

    async def run(self) -> None:
        """Apply changes of the table until the task is cancelled."""
        while True:
            failure = await self._advance()
            if failure is None:
                self._backoff_s = _INITIAL_BACKOFF_S
                continue
            await asyncio.sleep(self._backoff_s * random.uniform(0.5, 1))
            self._backoff_s = min(
                _MAX_BACKOFF_S, self._backoff_s * _BACKOFF_GROWTH
            )

    async def _advance(self) -> Failure | None:
        version = self._version
        if version is None:
            read = await self._store.read_table(self._table)
        else:
            read = await self._store.watch(
                self._table, version, WATCH_TIMEOUT_S
            )
        now = time.monotonic()
        if isinstance(read, Failure):
            self._handle_failure(read, now)
            return read
        if self._is_unreachable:
            self._is_unreachable = False
            _LOG.info('store reachable again', extra={'table': self._table})
        self._sink.record_read(now)
        if version is None:
            self._sink.replace(read.rows, now)
        else:
            self._sink.update(read.rows, now)
        self._version = max(version or 0, read.version)
        return None

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
            return
        if not self._is_unreachable:
            self._is_unreachable = True
            _LOG.warning(
                'store unreachable',
                extra={
                    'table': self._table,
                    'code': failure.code.value,
                    'reason': failure.detail,
                },
            )
        self._sink.record_outage(failure, now)


@final
class OperatorSink(TableSink):
    """Applies the configuration and the evacuated zones to the catalog."""

    def __init__(self, catalog: Catalog) -> None:
        """Apply rows to this catalog."""
        self._catalog = catalog
        self._zones: frozenset[str] = frozenset()

    def replace(self, stored: Iterable[StoredRow], now: float) -> None:
        """Replace all rows by those of the whole table."""
        stored = tuple(stored)
        zones = frozenset(
            _find_zone(row) for row in stored if row.content is not None
        )
        self._set_zones(zones - {''}, now)
        self._apply_configuration(stored, now)

    def update(self, stored: Iterable[StoredRow], now: float) -> None:
        """Apply the rows that changed."""
        stored = tuple(stored)
        zones = set(self._zones)
        for row in stored:
            zone = _find_zone(row)
            if not zone:
                continue
            if row.content is None:
                zones.discard(zone)
            else:
                zones.add(zone)
        self._set_zones(frozenset(zones), now)
        self._apply_configuration(stored, now)

    def record_outage(self, failure: Failure, now: float) -> None:
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

    def _apply_configuration(
        self, stored: Iterable[StoredRow], now: float
    ) -> None:
        for row in stored:
            if row.key == names.KEY_CONFIGURATION and row.content is not None:
                self._apply_row(row.content, now)

    def _apply_row(self, content: bytes, now: float) -> None:
        read = _read_json(content)
        if not isinstance(read, Failure):
            read = rows.read_configuration(read)
        if isinstance(read, Failure):
            metrics.BAD_ROWS.inc({'table': names.TABLE_OPERATOR})
            _LOG.error(
                'invalid configuration, keeping the version in force',
                extra={'reason': read.detail},
            )
            return
        if self._catalog.apply(read, now):
            _LOG.info(
                'configuration in force',
                extra={
                    'version': read.version,
                    'hosts': len(read.routes_by_host),
                    'services': len(read.services_by_name),
                    'keys': len(read.accounts_by_key),
                },
            )


@final
class RunnerSink(TableSink):
    """Applies the runners' entries to the catalog."""

    def __init__(self, catalog: Catalog) -> None:
        """Apply rows to this catalog."""
        self._runners = catalog.runners

    def replace(self, stored: Iterable[StoredRow], now: float) -> None:
        """Replace all rows by those of the whole table."""
        stored = tuple(stored)
        present = {row.key for row in stored}
        for name in self._runners.names():
            if name not in present:
                self._remove(name, now)
        self.update(stored, now)

    def update(self, stored: Iterable[StoredRow], now: float) -> None:
        """Apply the rows that changed."""
        for row in stored:
            if row.content is None:
                self._remove(row.key, now)
                continue
            read = _read_json(row.content)
            if not isinstance(read, Failure):
                read = rows.read_runner(row.key, read)
            if isinstance(read, Failure):
                metrics.BAD_ROWS.inc({'table': names.TABLE_RUNNERS})
                _LOG.warning(
                    'invalid runner entry, not using the runner',
                    extra={'runner': row.key, 'reason': read.detail},
                )
                self._remove(row.key, now)
                continue
            self._runners.put(read, now)
            _LOG.info(
                'runner entry updated',
                extra={
                    'runner': read.name,
                    'service': read.service,
                    'zone': read.zone,
                    'draining': read.is_draining,
                    'cold_s': read.cold_left_s,
                },
            )

    def record_outage(self, failure: Failure, now: float) -> None:
        """Keep the known runners in use."""
        self._runners.record_outage()

    def record_read(self, now: float) -> None:
        """Start the grace period for lapsed entries after an outage."""
        self._runners.record_read(now)

    def _remove(self, name: str, now: float) -> None:
        self._runners.remove(name, now)
        _LOG.info('runner entry removed', extra={'runner': name})


def _find_zone(row: StoredRow) -> str:
    """Return the zone that a row evacuates, or an empty string."""
    if not row.key.startswith(names.KEY_PREFIX_EVACUATED):
        return ''
    return row.key.removeprefix(names.KEY_PREFIX_EVACUATED)


def _read_json(content: bytes) -> object:
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
