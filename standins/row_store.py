"""A stand-in for the platform's row store, with long polls and faults."""

from __future__ import annotations

import asyncio
import base64
import http
import json
import time
from dataclasses import dataclass, field
from typing import Any

from tornado import httpserver, web

_MS_PER_S = 1000
# Tables that only the operator and the runners may write.
_READ_ONLY_TABLES = frozenset(('op', 'servers'))


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of a store at one moment."""

    version: int
    rows: dict[tuple[str, str], dict[str, Any]]


@dataclass(slots=True)
class RowStore:
    """Tables of rows that share one version counter."""

    version: int = 0
    rows: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    # Retained changes, oldest first.
    changes: list[dict[str, Any]] = field(default_factory=list)
    # Changes up to this version are discarded.
    discarded_version: int = 0
    # Number of restores from a copy.
    era: int = 0
    # HTTP status of all responses while the store fails; 0 when healthy.
    error_status: int = 0
    # Seconds to wait before a transaction is applied.
    write_delay_s: float = 0
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row; bytes are stored as is, other content as JSON."""
        raw = content
        if not isinstance(raw, bytes):
            raw = json.dumps(content).encode()
        value = base64.b64encode(raw).decode()
        self._commit({'Table': table, 'part': '', 'Key': key, 'Value': value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) in self.rows:
            self._commit(
                {'Table': table, 'part': '', 'Key': key, 'Removed': True}
            )

    def discard_changes(self) -> None:
        """Discard all changes, so that watchers must read the table again."""
        self.discarded_version = self.version
        self.changes.clear()
        self._notify_watchers()

    def copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(self.version, dict(self.rows))

    def restore(self, copy: StoreCopy) -> None:
        """Lose all changes since a copy; versions are assigned again."""
        self.version = copy.version
        self.rows = dict(copy.rows)
        self.era += 1
        self.discard_changes()

    def read(
        self, table: str, first: str = '', last: str = ''
    ) -> list[dict[str, Any]]:
        """Return the rows of a range of keys, in key order."""
        found = {
            key: row
            for (row_table, key), row in self.rows.items()
            if row_table == table and first <= key and (key < last or not last)
        }
        return [found[key] for key in sorted(found)]

    def transact(
        self, transaction: dict[str, Any]
    ) -> list[dict[str, Any]] | None:
        """Apply a transaction and return None.

        If a version differs from the expected one, nothing is applied and
        the existing rows that the transaction expects are returned.
        """
        for expected in transaction['ExpectedRev']:
            current = self._find(expected) or {'Ver': 0}
            if current['Ver'] != expected['Ver']:
                found = map(self._find, transaction['ExpectedRev'])
                return [row for row in found if row is not None]
        self.version += 1
        for row in transaction['Writes']:
            self._apply({**row, 'Ver': self.version})
        for row in transaction['Remove']:
            if self._find(row) is not None:
                self._apply({**row, 'Removed': True, 'Ver': self.version})
        self._notify_watchers()
        return None

    def changes_after(self, table: str, version: int) -> list[dict[str, Any]]:
        """Return the changes to a table after a version."""
        return [
            row
            for row in self.changes
            if row['Table'] == table and row['Ver'] > version
        ]

    def decode(self, row: dict[str, Any]) -> bytes:
        """Return the content of a row."""
        return base64.b64decode(row['Value'])

    def _commit(self, row: dict[str, Any]) -> None:
        self.version += 1
        self._apply({**row, 'Ver': self.version})
        self._notify_watchers()

    def _apply(self, row: dict[str, Any]) -> None:
        key = (row['Table'], row['Key'])
        self.rows.pop(key, None)
        if 'Value' in row:
            self.rows[key] = row
        self.changes.append(row)

    def _find(self, key_fields: dict[str, Any]) -> dict[str, Any] | None:
        return self.rows.get((key_fields['Table'], key_fields['Key']))

    def _notify_watchers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def create_row_store_server(store: RowStore) -> httpserver.HTTPServer:
    """Return a server of the store's API, not listening yet."""
    handler_arguments = {'store': store}
    return httpserver.HTTPServer(
        web.Application(
            [
                ('/v1/rows-get', _GetHandler, handler_arguments),
                ('/v1/rows-feed', FeedHandler, handler_arguments),
                ('/v1/rows-tx', _TransactionHandler, handler_arguments),
            ],
            log_function=_log_nothing,
        )
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Suppress tornado's access log."""


class _StoreHandler(web.RequestHandler):
    """The base of the store's handlers."""

    def initialize(self, store: RowStore) -> None:
        """Keep the store to serve."""
        self.store = store

    def flush(self, include_footers: bool = False) -> Any:
        """Add the era at the time of the answer."""
        self.set_header('Store-Era', str(self.store.era))
        return super().flush(include_footers)

    def prepare(self) -> None:
        """Count the call; fail it while the store fails."""
        self.store.calls += 1
        if self.store.error_status:
            self.set_status(self.store.error_status)
            self.finish()

    def write_rows(self, rows: list[dict[str, Any]]) -> None:
        """Send rows with the current version and time."""
        now_ms = round(time.monotonic() * _MS_PER_S)
        self.finish({'Rows': rows, 'Ver': self.store.version, 'NowMs': now_ms})


class _GetHandler(_StoreHandler):
    """Serves the rows of a range of keys."""

    def get(self) -> None:
        """Send the rows."""
        table = self.get_query_argument('Table')
        first = self.get_query_argument('From', '', strip=False)
        last = self.get_query_argument('To', '', strip=False)
        self.write_rows(self.store.read(table, first, last))


class FeedHandler(_StoreHandler):
    """A long poll for the changes to a table."""

    async def get(self) -> None:
        """Send the changes once there are any, or none after ``WaitMs``."""
        table = self.get_query_argument('Table')
        after = int(self.get_query_argument('After'))
        ends_at = (
            time.monotonic()
            + int(self.get_query_argument('WaitMs')) / _MS_PER_S
        )
        while True:
            if self.store.error_status:
                self.set_status(self.store.error_status)
                self.finish()
                return
            if not self.store.discarded_version <= after <= self.store.version:
                self.set_status(http.HTTPStatus.GONE)
                self.finish()
                return
            rows = self.store.changes_after(table, after)
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                self.write_rows(rows)
                return
            waiting = asyncio.ensure_future(self.store.changed.wait())
            await asyncio.wait((waiting,), timeout=left_s)
            waiting.cancel()


class _TransactionHandler(_StoreHandler):
    """Applies transactions of writes and removals."""

    async def post(self) -> None:
        """Apply the transaction, or send the conflicting rows with a 412."""
        await asyncio.sleep(self.store.write_delay_s)
        transaction = json.loads(self.request.body)
        changed = transaction['Writes'] + transaction['Remove']
        if any(row['Table'] in _READ_ONLY_TABLES for row in changed):
            self.set_status(http.HTTPStatus.FORBIDDEN)
            self.finish()
            return
        conflicting = self.store.transact(transaction)
        if conflicting is not None:
            self.set_status(http.HTTPStatus.PRECONDITION_FAILED)
        self.write_rows(conflicting or [])
