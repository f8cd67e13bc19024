"""Client of the platform's store of table rows and objects."""

from __future__ import annotations

import base64
import binascii
import http
import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, final
from urllib.parse import quote, urlencode

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.era import StoreEra
from damaskpoint.platform.http_call import (
    PlatformCall,
    PlatformCaller,
    lost_answer_failure,
)
from damaskpoint.platform.live_connections import LiveConnections

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tornado.httpclient import HTTPResponse

_MAX_BODY_BYTES: Final = 8_388_608
_MS_PER_S: Final = 1000
_ROW_SERVICE: Final = 'store'
_OBJECT_SERVICE: Final = 'objects'
_DECODE_ERRORS: Final = (ValueError, TypeError, KeyError, binascii.Error)
# Version by which the store denotes a row that does not exist.
ABSENT_VERSION: Final = 0


@final
@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table, or a record of its removal."""

    key: str
    # None if the row was removed.
    content: bytes | None
    # Version of the store at the row's last write. It increases with each
    # transaction on any row, so the versions of one row have gaps.
    version: int = ABSENT_VERSION


@final
@dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of one version of the store."""

    rows: tuple[StoredRow, ...]
    version: int
    # Era of the store. Versions of different eras cannot be compared.
    era: int = 0
    # Whether the range has more rows than were returned.
    is_truncated: bool = False
    # The store's clock when it answered (seconds); None if it has none.
    now_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class RowRange:
    """Keys of one table from ``start_key`` up to ``end_key``, exclusive.

    An empty key leaves that end open; a limit of None uses the store's own.
    """

    table: str
    start_key: str = ''
    end_key: str = ''
    limit: int | None = None


@final
@dataclass(frozen=True, slots=True)
class RowChange:
    """The change of one row in a transaction.

    An ``expected_version`` of None sets no condition; ``content`` of None
    removes the row.
    """

    table: str
    key: str
    expected_version: int | None
    content: bytes | None


@final
@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """No row was changed, as a condition failed.

    Holds the current versions of the rows with conditions, by table and key.
    """

    versions_by_row: Mapping[tuple[str, str], int]


def create_store(base_url: str, timeout_s: float) -> PlatformStore:
    """Return a client of the store at a base URL.

    ``timeout_s`` bounds each call; the wait of a watch is added to it.
    """
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=defaults.MAX_PLATFORM_CALLS,
        max_body_size=_MAX_BODY_BYTES,
        max_buffer_size=_MAX_BODY_BYTES,
    )
    client.tcp_client.close()
    client.tcp_client = LiveConnections()
    return PlatformStore(base_url.rstrip('/'), client, timeout_s)


@final
class PlatformStore:
    """Reads, watches and writes tables and objects.

    Failures are those of ``PlatformCaller``; an answer that cannot be decoded
    is treated as lost. ``PLATFORM_MISSING`` also means that the store does not
    have the history that a watch asked for, or never had it in its era.
    """

    def __init__(
        self, base_url: str, client: SimpleAsyncHTTPClient, timeout_s: float
    ) -> None:
        """Send calls through this client."""
        self._base_url = base_url
        self._client = client
        self._timeout_s = timeout_s
        self._era = StoreEra()

    # Queries.

    @property
    def era(self) -> int:
        """Return the highest era of any answer so far."""
        return self._era.number

    async def read_range(self, row_range: RowRange) -> Rows | Failure:
        """Return rows in key order, as many as fit into one answer."""
        query = {'Table': row_range.table, 'part': ''}
        if row_range.start_key:
            query['From'] = row_range.start_key
        if row_range.end_key:
            query['To'] = row_range.end_key
        if row_range.limit is not None:
            query['Limit'] = str(row_range.limit)
        return await self._get('/v1/rows-get', query, 0)

    async def read_table(self, table: str) -> Rows | Failure:
        """Return all rows of a table.

        The version is that of the first page: rows of it may have changed while
        the others were read.
        """
        pages: list[Rows] = []
        start_key = ''
        era = self._era.number
        while True:
            page = await self.read_range(RowRange(table, start_key))
            if isinstance(page, Failure):
                return page
            if page.era != era and pages:
                # The pages before this one are of a table that is gone.
                era = page.era
                pages.clear()
                start_key = ''
                continue
            era = page.era
            pages.append(page)
            if not page.is_truncated or not page.rows:
                return _join_pages(pages)
            start_key = next_key(page.rows[-1].key)

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Rows | Failure:
        """Return the rows of a table that changed after a version.

        Waits up to ``wait_s`` seconds for a change; returns no rows if there
        was none.
        """
        query = {
            'Table': table,
            'After': str(after),
            'WaitMs': str(math.ceil(wait_s * _MS_PER_S)),
        }
        return await self._get('/v1/rows-feed', query, wait_s)

    async def get_object(self, name: str) -> bytes | Failure:
        """Return an object; ``PLATFORM_MISSING`` if there is none."""
        answer = await self._send(
            PlatformCall(
                _OBJECT_SERVICE, 'GET', self._object_url('blob-get', name)
            )
        )
        return answer if isinstance(answer, Failure) else answer.body

    # Commands.

    async def change(
        self, changes: Sequence[RowChange]
    ) -> int | ChangeConflict | Failure:
        """Change all rows or none and return the version of the change."""
        call = PlatformCall(
            _ROW_SERVICE,
            'POST',
            f'{self._base_url}/v1/rows-tx',
            json.dumps(_encode_changes(changes)).encode(),
            is_write=True,
            expected=(http.HTTPStatus.OK, http.HTTPStatus.PRECONDITION_FAILED),
        )
        answer = await self._send(call)
        if isinstance(answer, Failure):
            return answer
        try:
            return _read_outcome(answer.code, json.loads(answer.body))
        except _DECODE_ERRORS as error:
            return lost_answer_failure(
                call, f'{Code.MESSAGE_MALFORMED.value}: {error}'
            )

    async def put_object(self, name: str, body: bytes) -> Failure | None:
        """Store an object atomically."""
        call = PlatformCall(
            _OBJECT_SERVICE,
            'PUT',
            self._object_url('blob-put', name),
            body,
            is_write=True,
        )
        answer = await self._send(call)
        return answer if isinstance(answer, Failure) else None

    # Helpers.

    def _object_url(self, call: str, name: str) -> str:
        return f'{self._base_url}/v1/{call}/{quote(name, safe="")}'

    async def _send(
        self, call: PlatformCall, wait_s: float = 0
    ) -> HTTPResponse | Failure:
        caller = PlatformCaller(self._client, self._timeout_s, self._era)
        return await caller.send(call, wait_s)

    async def _get(
        self, path: str, query: Mapping[str, str], wait_s: float
    ) -> Rows | Failure:
        call = PlatformCall(
            _ROW_SERVICE,
            'GET',
            f'{self._base_url}{path}?{urlencode(query)}',
            expected=(http.HTTPStatus.OK, http.HTTPStatus.GONE),
        )
        answer = await self._send(call, wait_s)
        if isinstance(answer, Failure):
            return answer
        if answer.code == http.HTTPStatus.GONE:
            return Failure(Code.PLATFORM_MISSING, 'the history is gone')
        try:
            return _read_rows(json.loads(answer.body), self._era.number)
        except _DECODE_ERRORS as error:
            return lost_answer_failure(
                call, f'{Code.MESSAGE_MALFORMED.value}: {error}'
            )


def _join_pages(pages: Sequence[Rows]) -> Rows:
    found = tuple(row for page in pages for row in page.rows)
    last = pages[-1]
    return Rows(found, pages[0].version, last.era, now_s=last.now_s)


def next_key(key: str) -> str:
    """Return the smallest key greater than ``key``."""
    return f'{key}\x00'


def _encode_changes(changes: Sequence[RowChange]) -> dict[str, object]:
    expected = []
    writes = []
    removed = []
    for change in changes:
        row_id = {'Table': change.table, 'part': '', 'Key': change.key}
        if change.expected_version is not None:
            expected.append({**row_id, 'Ver': change.expected_version})
        if change.content is None:
            removed.append(row_id)
        else:
            value = base64.b64encode(change.content).decode()
            writes.append({**row_id, 'Value': value})
    return {'ExpectedRev': expected, 'Writes': writes, 'Remove': removed}


def _read_outcome(status: int, body: Mapping[str, Any]) -> int | ChangeConflict:
    if status == http.HTTPStatus.OK:
        return int(body['Ver'])
    return ChangeConflict(
        {(row['Table'], row['Key']): int(row['Ver']) for row in body['Rows']}
    )


def _read_rows(body: Mapping[str, Any], era: int) -> Rows:
    rows = tuple(_read_row(row) for row in body['Rows'])
    now_ms = body.get('NowMs')
    return Rows(
        rows,
        int(body['Ver']),
        era,
        bool(body.get('Truncated')),
        None if now_ms is None else float(now_ms) / _MS_PER_S,
    )


def _read_row(row: Mapping[str, Any]) -> StoredRow:
    content = None
    if not row.get('Removed'):
        content = base64.b64decode(row['Value'])
    return StoredRow(
        str(row['Key']), content, int(row.get('Ver', ABSENT_VERSION))
    )
