"""Follows the operator's and the runners' tables into the catalog."""

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
# How long one call waits for news (seconds): an open connection may fall
# silent, and that must show within the platform's time of being in touch.
WAIT_S: Final = 2.0
# Pause after a failed call, its growth and its bound (seconds): the store
# bears few calls of each instance, and its return must be seen at once.
_PAUSE_S: Final = 0.1
_PAUSE_GROWTH: Final = 2.0
_MAX_PAUSE_S: Final = 0.8


class TableSink(abc.ABC):
    """Takes the rows of one table."""

    @abc.abstractmethod
    def replace(self, stored: Iterable[StoredRow], now: float) -> None:
        """Take the whole table."""

    @abc.abstractmethod
    def update(self, stored: Iterable[StoredRow], now: float) -> None:
        """Take the rows that changed."""

    @abc.abstractmethod
    def note_outage(self, failure: Failure, now: float) -> None:
        """Note that the table cannot be read."""

    @abc.abstractmethod
    def note_return(self, now: float) -> None:
        """Note that the table can be read, before its rows are taken."""


@final
class TableFollower:
    """Keeps one sink up to date with one table."""

    def __init__(
        self, store: PlatformStore, table: str, sink: TableSink
    ) -> None:
        """Follow a table from its present state on."""
        self._store = store
        self._table = table
        self._sink = sink
        # Version up to which the sink is up to date; None before a read.
        self._version: int | None = None
        self._pause_s = _PAUSE_S
        self._is_lost = False

    async def run(self) -> None:
        """Follow until the task is cancelled."""
        while True:
            failure = await self._advance()
            if failure is None:
                self._pause_s = _PAUSE_S
                continue
            await asyncio.sleep(self._pause_s * random.uniform(0.5, 1))
            self._pause_s = min(_MAX_PAUSE_S, self._pause_s * _PAUSE_GROWTH)

    async def _advance(self) -> Failure | None:
        version = self._version
        if version is None:
            read = await self._store.read_table(self._table)
        else:
            read = await self._store.watch(self._table, version, WAIT_S)
        now = time.monotonic()
        if isinstance(read, Failure):
            self._note_failure(read, now)
            return read
        if self._is_lost:
            self._is_lost = False
            _LOG.info('store regained', extra={'table': self._table})
        self._sink.note_return(now)
        if version is None:
            self._sink.replace(read.rows, now)
        else:
            self._sink.update(read.rows, now)
        self._version = max(version or 0, read.version)
        return None

    def _note_failure(self, failure: Failure, now: float) -> None:
        metrics.TABLE_FAILURES.inc(
            {'table': self._table, 'code': failure.code.value}
        )
        if failure.code is Code.PLATFORM_MISSING:
            _LOG.info(
                'history of the table is gone, reading it whole',
                extra={'table': self._table, 'version': self._version},
            )
            self._version = None
            return
        if not self._is_lost:
            self._is_lost = True
            _LOG.warning(
                'store lost',
                extra={
                    'table': self._table,
                    'code': failure.code.value,
                    'reason': failure.detail,
                },
            )
        self._sink.note_outage(failure, now)


@final
class OperatorSink(TableSink):
    """Takes the configuration, and the zones that are evacuated."""

    def __init__(self, catalog: Catalog) -> None:
        """Put what is read into this catalog."""
        self._catalog = catalog
        self._zones: frozenset[str] = frozenset()

    def replace(self, stored: Iterable[StoredRow], now: float) -> None:
        """Take the whole table."""
        stored = tuple(stored)
        zones = frozenset(
            _find_zone(row) for row in stored if row.content is not None
        )
        self._set_zones(zones - {''}, now)
        self._take_configuration(stored, now)

    def update(self, stored: Iterable[StoredRow], now: float) -> None:
        """Take the rows that changed."""
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
        self._take_configuration(stored, now)

    def note_outage(self, failure: Failure, now: float) -> None:
        """Go on with what is held."""

    def note_return(self, now: float) -> None:
        """Wait for the rows."""

    def _set_zones(self, zones: frozenset[str], now: float) -> None:
        if zones == self._zones:
            return
        _LOG.info(
            'evacuated zones changed',
            extra={'before': sorted(self._zones), 'after': sorted(zones)},
        )
        self._zones = zones
        self._catalog.runners.evacuate(
            zones, now, self._catalog.longest_cold_s()
        )

    def _take_configuration(
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
                'configuration cannot be read, keeping the one in force',
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
    """Takes the runners' entries."""

    def __init__(self, catalog: Catalog) -> None:
        """Put what is read into this catalog."""
        self._runners = catalog.runners

    def replace(self, stored: Iterable[StoredRow], now: float) -> None:
        """Take the whole table."""
        stored = tuple(stored)
        present = {row.key for row in stored}
        for name in self._runners.names():
            if name not in present:
                self._remove(name, now)
        self.update(stored, now)

    def update(self, stored: Iterable[StoredRow], now: float) -> None:
        """Take the rows that changed."""
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
                    'entry of a runner cannot be read, not using it',
                    extra={'runner': row.key, 'reason': read.detail},
                )
                self._remove(row.key, now)
                continue
            self._runners.put(read, now)
            _LOG.info(
                'runner entry',
                extra={
                    'runner': read.name,
                    'service': read.service,
                    'zone': read.zone,
                    'draining': read.is_draining,
                    'cold_s': read.cold_left_s,
                },
            )

    def note_outage(self, failure: Failure, now: float) -> None:
        """Keep the runners that are known."""
        self._runners.note_outage()

    def note_return(self, now: float) -> None:
        """Give entries that lapsed time to come back."""
        self._runners.note_return(now)

    def _remove(self, name: str, now: float) -> None:
        self._runners.remove(name, now)
        _LOG.info('runner entry removed', extra={'runner': name})


def _find_zone(row: StoredRow) -> str:
    """Return the zone that a row evacuates, or an empty text."""
    if not row.key.startswith(names.KEY_PREFIX_EVACUATED):
        return ''
    return row.key.removeprefix(names.KEY_PREFIX_EVACUATED)


def _read_json(content: bytes) -> object:
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
