"""The users' platform: its store of rows, with long polls and faults."""

from __future__ import annotations

import asyncio
import base64
import http
import json
import time
from dataclasses import dataclass, field
from typing import Any

from tornado import httpserver, web

_MS = 1000


@dataclass(slots=True)
class RowStore:
    """Tables of rows with one counter of versions."""

    version: int = 0
    rows: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    # Every change, oldest first.
    changes: list[dict[str, Any]] = field(default_factory=list)
    # Changes up to this version are forgotten.
    forgotten: int = 0
    # Status of all answers while the store is in trouble; 0 for none.
    error_status: int = 0
    # Seconds that a write takes.
    write_delay_s: float = 0
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row; bytes are stored as they are."""
        raw = content
        if not isinstance(raw, bytes):
            raw = json.dumps(content).encode()
        value = base64.b64encode(raw).decode()
        self._change({'Table': table, 'part': '', 'Key': key, 'Value': value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) in self.rows:
            self._change(
                {'Table': table, 'part': '', 'Key': key, 'Removed': True}
            )

    def discard_changes(self) -> None:
        """Forget all changes, so that watchers must read again."""
        self.forgotten = self.version
        self.changes.clear()
        self._wake()

    def read(
        self, table: str, first: str = '', last: str = ''
    ) -> list[dict[str, Any]]:
        """Return the rows of a range of keys, in their order."""
        found = {
            key: row
            for (held_in, key), row in self.rows.items()
            if held_in == table and first <= key and (key < last or not last)
        }
        return [found[key] for key in sorted(found)]

    def transact(self, change: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply a transaction, or return the rows under its conditions."""
        for expected in change['ExpectedRev']:
            held = self._find(expected) or {'Ver': 0}
            if held['Ver'] != expected['Ver']:
                found = map(self._find, change['ExpectedRev'])
                return [row for row in found if row is not None]
        self.version += 1
        for row in change['Writes']:
            self._apply({**row, 'Ver': self.version})
        for row in change['Remove']:
            if self._find(row) is not None:
                self._apply({**row, 'Removed': True, 'Ver': self.version})
        self._wake()
        return None

    def changes_after(self, table: str, version: int) -> list[dict[str, Any]]:
        """Return what changed in a table after a version."""
        return [
            row
            for row in self.changes
            if row['Table'] == table and row['Ver'] > version
        ]

    def _change(self, row: dict[str, Any]) -> None:
        self.version += 1
        self._apply({**row, 'Ver': self.version})
        self._wake()

    def _apply(self, row: dict[str, Any]) -> None:
        key = (row['Table'], row['Key'])
        self.rows.pop(key, None)
        if 'Value' in row:
            self.rows[key] = row
        self.changes.append(row)

    def _find(self, place: dict[str, Any]) -> dict[str, Any] | None:
        return self.rows.get((place['Table'], place['Key']))

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def create_row_store_server(store: RowStore) -> httpserver.HTTPServer:
    """Return a server of the store's calls, not listening yet."""
    parts = {'store': store}
    return httpserver.HTTPServer(
        web.Application(
            [
                ('/v1/rows-get', _GetHandler, parts),
                ('/v1/rows-feed', FeedHandler, parts),
                ('/v1/rows-tx', _ChangeHandler, parts),
            ],
            log_function=_log_nothing,
        )
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Keep the calls out of the log."""


class _StoreHandler(web.RequestHandler):
    """What all calls share."""

    def initialize(self, store: RowStore) -> None:
        """Serve this store."""
        self.store = store

    def prepare(self) -> None:
        """Fail while the store is in trouble."""
        self.store.calls += 1
        if self.store.error_status:
            self.set_status(self.store.error_status)
            self.finish()

    def write_rows(self, rows: list[dict[str, Any]]) -> None:
        """Answer rows as of now."""
        now_ms = round(time.monotonic() * _MS)
        self.finish({'Rows': rows, 'Ver': self.store.version, 'NowMs': now_ms})


class _GetHandler(_StoreHandler):
    """Answers the rows of a range."""

    def get(self) -> None:
        """Answer the rows."""
        table = self.get_query_argument('Table')
        first = self.get_query_argument('From', '', strip=False)
        last = self.get_query_argument('To', '', strip=False)
        self.write_rows(self.store.read(table, first, last))


class FeedHandler(_StoreHandler):
    """Answers what changed, as soon as something did."""

    async def get(self) -> None:
        """Answer the changes."""
        table = self.get_query_argument('Table')
        after = int(self.get_query_argument('After'))
        ends_at = (
            time.monotonic() + int(self.get_query_argument('WaitMs')) / _MS
        )
        while True:
            if self.store.error_status:
                self.set_status(self.store.error_status)
                self.finish()
                return
            if after < self.store.forgotten:
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


class _ChangeHandler(_StoreHandler):
    """Applies writes and removals."""

    async def post(self) -> None:
        """Apply the entries."""
        await asyncio.sleep(self.store.write_delay_s)
        refused = self.store.transact(json.loads(self.request.body))
        if refused is not None:
            self.set_status(http.HTTPStatus.PRECONDITION_FAILED)
        self.write_rows(refused or [])
