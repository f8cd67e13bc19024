"""The client of the platform's store: rows of tables, and objects."""

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
from damaskpoint.platform.http_call import (
    PlatformCall,
    PlatformCaller,
    lost_answer,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tornado.httpclient import HTTPResponse

_MAX_BODY_BYTES: Final = 8_388_608
_MS: Final = 1000
_SERVICE: Final = 'store'
_OBJECT_CALLS: Final = 'objects'
_READ_ERRORS: Final = (ValueError, TypeError, KeyError, binascii.Error)
# The store's word for a row that does not exist.
ABSENT: Final = 0


@final
@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table, or word that it was removed."""

    key: str
    # None for a row that was removed.
    content: bytes | None
    # Goes up with each transaction of the whole store, not by one.
    version: int = ABSENT


@final
@dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of a version of the store."""

    rows: tuple[StoredRow, ...]
    version: int
    # Whether the range holds more rows.
    is_truncated: bool = False


@final
@dataclass(frozen=True, slots=True)
class RowRange:
    """Keys of one table, from the first up to but without the last.

    An empty text leaves an end open; a limit of None is the store's own.
    """

    table: str
    first: str = ''
    last: str = ''
    limit: int | None = None


@final
@dataclass(frozen=True, slots=True)
class RowChange:
    """One row of a transaction.

    ``expected_version`` None means no condition, ``content`` None removes
    the row.
    """

    table: str
    key: str
    expected_version: int | None
    content: bytes | None


@final
@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """No row was changed; what the rows under conditions are now."""

    versions_by_place: Mapping[tuple[str, str], int]


def create_store(base_url: str, timeout_s: float) -> PlatformStore:
    """Return a client of the store at a base URL.

    ``timeout_s`` bounds each call beyond the time that it asks to wait.
    """
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=defaults.PLATFORM_CLIENTS,
        max_body_size=_MAX_BODY_BYTES,
        max_buffer_size=_MAX_BODY_BYTES,
    )
    return PlatformStore(base_url.rstrip('/'), client, timeout_s)


@final
class PlatformStore:
    """Reads, watches and writes tables, and keeps objects.

    Failures: those of ``PlatformCaller``; an answer that cannot be read
    counts as lost. ``PLATFORM_MISSING`` also stands for a history that the
    store no longer has.
    """

    def __init__(
        self, base_url: str, client: SimpleAsyncHTTPClient, timeout_s: float
    ) -> None:
        """Call through this client."""
        self._base_url = base_url
        self._client = client
        self._timeout_s = timeout_s

    # Queries.

    async def read_range(self, wanted: RowRange) -> Rows | Failure:
        """Return rows by key, as many as fit into one answer."""
        query = {'Table': wanted.table, 'part': ''}
        if wanted.first:
            query['From'] = wanted.first
        if wanted.last:
            query['To'] = wanted.last
        if wanted.limit is not None:
            query['Limit'] = str(wanted.limit)
        return await self._get('/v1/rows-get', query, 0)

    async def read_table(self, table: str) -> Rows | Failure:
        """Return all rows of a table."""
        found: list[StoredRow] = []
        first = ''
        while True:
            page = await self.read_range(RowRange(table, first))
            if isinstance(page, Failure):
                return page
            found.extend(page.rows)
            if not page.is_truncated or not page.rows:
                return Rows(tuple(found), page.version)
            first = next_key(page.rows[-1].key)

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Rows | Failure:
        """Return what changed in a table after a version.

        Waits up to ``wait_s`` for a change; no rows when there was none.
        """
        query = {
            'Table': table,
            'After': str(after),
            'WaitMs': str(math.ceil(wait_s * _MS)),
        }
        return await self._get('/v1/rows-feed', query, wait_s)

    async def get_object(self, name: str) -> bytes | Failure:
        """Return an object; ``PLATFORM_MISSING`` if there is none."""
        answer = await self._send(
            PlatformCall(_OBJECT_CALLS, 'GET', self._locate('blob-get', name))
        )
        return answer if isinstance(answer, Failure) else answer.body

    # Commands.

    async def change(
        self, changes: Sequence[RowChange]
    ) -> int | ChangeRefused | Failure:
        """Change all rows or none; return the version of the change."""
        call = PlatformCall(
            _SERVICE,
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
        except _READ_ERRORS as error:
            return lost_answer(call, f'{Code.MESSAGE_MALFORMED.value}: {error}')

    async def put_object(self, name: str, body: bytes) -> Failure | None:
        """Store an object, whole or not at all."""
        call = PlatformCall(
            _OBJECT_CALLS,
            'PUT',
            self._locate('blob-put', name),
            body,
            is_write=True,
        )
        answer = await self._send(call)
        return answer if isinstance(answer, Failure) else None

    # Steps.

    def _locate(self, call: str, name: str) -> str:
        return f'{self._base_url}/v1/{call}/{quote(name, safe="")}'

    async def _send(
        self, call: PlatformCall, wait_s: float = 0
    ) -> HTTPResponse | Failure:
        caller = PlatformCaller(self._client, self._timeout_s + wait_s)
        return await caller.send(call)

    async def _get(
        self, path: str, query: Mapping[str, str], wait_s: float
    ) -> Rows | Failure:
        call = PlatformCall(
            _SERVICE,
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
            return _read_rows(json.loads(answer.body))
        except _READ_ERRORS as error:
            return lost_answer(call, f'{Code.MESSAGE_MALFORMED.value}: {error}')


def next_key(key: str) -> str:
    """Return the least key behind another."""
    return f'{key}\x00'


def _encode_changes(changes: Sequence[RowChange]) -> dict[str, object]:
    expected = []
    writes = []
    removed = []
    for change in changes:
        place = {'Table': change.table, 'part': '', 'Key': change.key}
        if change.expected_version is not None:
            expected.append({**place, 'Ver': change.expected_version})
        if change.content is None:
            removed.append(place)
        else:
            value = base64.b64encode(change.content).decode()
            writes.append({**place, 'Value': value})
    return {'ExpectedRev': expected, 'Writes': writes, 'Remove': removed}


def _read_outcome(status: int, body: Mapping[str, Any]) -> int | ChangeRefused:
    if status == http.HTTPStatus.OK:
        return int(body['Ver'])
    return ChangeRefused(
        {(row['Table'], row['Key']): int(row['Ver']) for row in body['Rows']}
    )


def _read_rows(body: Mapping[str, Any]) -> Rows:
    rows = tuple(_read_row(row) for row in body['Rows'])
    return Rows(rows, int(body['Ver']), bool(body.get('Truncated')))


def _read_row(row: Mapping[str, Any]) -> StoredRow:
    content = None
    if not row.get('Removed'):
        content = base64.b64decode(row['Value'])
    return StoredRow(str(row['Key']), content, int(row.get('Ver', ABSENT)))
