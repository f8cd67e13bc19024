"""The platform's table over HTTP, as docs/PROTOCOLS.md states."""

from __future__ import annotations

import http
import json
from typing import TYPE_CHECKING, Any, final
from urllib.parse import quote, urlencode

import pydantic

from damaskpoint.errors import Code, Failure
from damaskpoint.platform.base import (
    Committed,
    Conflicted,
    Row,
    RowKey,
    Table,
    Write,
)
from damaskpoint.platform.http_call import (
    PlatformCall,
    PlatformCaller,
    lost_answer,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tornado.httpclient import AsyncHTTPClient

    from damaskpoint.settings import PlatformOptions


class _RowBody(pydantic.BaseModel):
    version: int
    data: dict[str, Any]


class _ListedRowBody(_RowBody):
    key: str


class _ReadBody(pydantic.BaseModel):
    rows: list[_RowBody | None]


class _ScanBody(pydantic.BaseModel):
    rows: list[_ListedRowBody]


class _CommittedBody(pydantic.BaseModel):
    versions: list[int]


class _ConflictedBody(pydantic.BaseModel):
    conflicts: list[int]


@final
class HttpTable(Table):
    """Speaks the table's protocol; answers are validated."""

    def __init__(self, caller: PlatformCaller, base_url: str) -> None:
        """Keep the caller and the table's base URL."""
        self._caller = caller
        self._base_url = base_url.rstrip('/')

    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        """Return the rows in order, None for each that is absent."""
        keys = [[row_key.table, row_key.key] for row_key in row_keys]
        call = PlatformCall(
            'table',
            'POST',
            f'{self._base_url}/table/read',
            json.dumps({'keys': keys}).encode(),
        )
        answer = await self._caller.send(call)
        if isinstance(answer, Failure):
            return answer
        try:
            body = _ReadBody.model_validate_json(answer.body)
        except pydantic.ValidationError as error:
            return lost_answer(call, _describe(error))
        if len(body.rows) != len(row_keys):
            return lost_answer(call, 'the table answered other rows')
        rows: list[Row | None] = []
        for row_key, row in zip(row_keys, body.rows, strict=True):
            if row is None:
                rows.append(None)
                continue
            rows.append(Row(row_key, row.version, row.data))
        return tuple(rows)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        """Return rows by key order, behind ``after``, with the prefix."""
        query = urlencode({'prefix': prefix, 'after': after, 'limit': limit})
        name = quote(table, safe='')
        url = f'{self._base_url}/table/{name}?{query}'
        call = PlatformCall('table', 'GET', url)
        answer = await self._caller.send(call)
        if isinstance(answer, Failure):
            return answer
        try:
            body = _ScanBody.model_validate_json(answer.body)
        except pydantic.ValidationError as error:
            return lost_answer(call, _describe(error))
        rows = []
        for row in body.rows:
            rows.append(Row(RowKey(table, row.key), row.version, row.data))
        return tuple(rows)

    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        """Apply all writes or none."""
        call = PlatformCall(
            'table',
            'POST',
            f'{self._base_url}/table/transact',
            json.dumps({'writes': _encode_writes(writes)}).encode(),
            is_write=True,
            expected=(http.HTTPStatus.OK, http.HTTPStatus.CONFLICT),
        )
        answer = await self._caller.send(call)
        if isinstance(answer, Failure):
            return answer
        try:
            return _decode_outcome(answer.code, answer.body, len(writes))
        except (pydantic.ValidationError, ValueError) as error:
            return lost_answer(call, str(error))


def create_http_table(
    options: PlatformOptions, client: AsyncHTTPClient
) -> HttpTable:
    """Return the table that the options name."""
    caller = PlatformCaller(client, options.timeout_s)
    return HttpTable(caller, options.table_url)


def _encode_writes(writes: Sequence[Write]) -> list[dict[str, object]]:
    encoded: list[dict[str, object]] = []
    for write in writes:
        encoded.append(
            {
                'table': write.row_key.table,
                'key': write.row_key.key,
                'expected_version': write.expected_version,
                'data': write.data,
            }
        )
    return encoded


def _decode_outcome(
    status: int, body: bytes, count: int
) -> Committed | Conflicted:
    if status == http.HTTPStatus.CONFLICT:
        refused = _ConflictedBody.model_validate_json(body)
        return Conflicted(tuple(refused.conflicts))
    accepted = _CommittedBody.model_validate_json(body)
    if len(accepted.versions) != count:
        raise ValueError('the table answered another number of writes')
    return Committed(tuple(accepted.versions))


def _describe(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    place = '.'.join(str(part) for part in first['loc'])
    return f'{Code.MESSAGE_MALFORMED.value}: {place}: {first["msg"]}'
