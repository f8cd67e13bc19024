"""Callers that write down what they sent and what they were answered."""

from __future__ import annotations

import asyncio
import itertools
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tornado import httpclient

from damaskpoint import protocol

if TYPE_CHECKING:
    from standins.history import History

_MAX_CLIENTS: Final = 400
_EXTRA_S: Final = 10.0
_NO_ANSWER: Final = 599


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One try of a caller at one entry."""

    request_id: str
    path: str
    body: dict[str, object]
    # Business key of a non-idempotent request; empty for none.
    key: str = ''
    account: str = 'caller'
    deadline_ms: int = 5000


@dataclass(slots=True)
class CallerAnswer:
    """The final answer, or none."""

    status: int = 0
    code: str = ''
    ran: str = ''
    body: dict[str, object] = field(default_factory=dict)
    # Text of a stream, and whether its end mark came.
    text: str = ''
    is_whole: bool = False
    detail: str = ''


class Caller:
    """Sends requests to entries and keeps a history."""

    def __init__(self, history: History) -> None:
        """Keep the history that all calls go to."""
        self._history = history
        self._numbers = itertools.count(1)
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, defaults={}, max_clients=_MAX_CLIENTS
        )

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def call(
        self, entry: str, base_url: str, request: CallerRequest
    ) -> CallerAnswer:
        """Send one request to one entry and note its end."""
        number = next(self._numbers)
        about = {
            'number': number,
            'entry': entry,
            'request_id': request.request_id,
            'key': request.key,
            'path': request.path,
        }
        self._history.record('sent', body=request.body, **about)
        try:
            answer = await self._fetch(base_url, request)
        except asyncio.CancelledError:
            self._history.record('left', **about)
            raise
        if answer.status == 0:
            self._history.record('broken', detail=answer.detail, **about)
            return answer
        self._history.record(
            'answered',
            status=answer.status,
            code=answer.code,
            ran=answer.ran,
            body=answer.body,
            text=answer.text,
            is_whole=answer.is_whole,
            **about,
        )
        return answer

    async def _fetch(
        self, base_url: str, request: CallerRequest
    ) -> CallerAnswer:
        try:
            raw = await self._client.fetch(
                f'{base_url}{request.path}',
                method='POST',
                headers=_make_headers(request),
                body=json.dumps(request.body),
                request_timeout=request.deadline_ms / 1000 + _EXTRA_S,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError) as error:
            return CallerAnswer(detail=repr(error))
        if raw.code == _NO_ANSWER:
            return CallerAnswer(detail=repr(raw.error))
        if request.body.get('stream') and raw.code == 200:
            return read_events(raw.body.decode(errors='replace'))
        return _read_json(raw.code, raw.body)


def read_events(text: str) -> CallerAnswer:
    """Return what a stream of server-sent events says."""
    answer = CallerAnswer(200)
    for block in text.split('\n\n'):
        fields = dict(
            line.split(': ', 1) for line in block.split('\n') if ': ' in line
        )
        if 'data' not in fields:
            continue
        data = json.loads(fields['data'])
        if fields.get('event') == protocol.EVENT_TOKEN:
            answer.text += data['text']
        if fields.get('event') == protocol.EVENT_END:
            answer.is_whole = True
            answer.body = data
        if fields.get('event') == protocol.EVENT_ERROR:
            answer.code = data['code']
            answer.ran = data['ran']
    return answer


def _read_json(status: int, raw: bytes) -> CallerAnswer:
    try:
        body = json.loads(raw)
    except ValueError:
        return CallerAnswer(status, detail=raw[:200].decode(errors='replace'))
    if not isinstance(body, dict):
        body = {'value': body}
    is_whole = status == 200
    code = '' if is_whole else str(body.get('code', ''))
    ran = '' if is_whole else str(body.get('ran', ''))
    return CallerAnswer(status, code, ran, body, is_whole=is_whole)


def _make_headers(request: CallerRequest) -> dict[str, str]:
    headers = {
        protocol.HEADER_ACCOUNT: request.account,
        protocol.HEADER_AUTHORIZATION: f'Bearer {request.account}-secret',
        protocol.HEADER_REQUEST_ID: request.request_id,
        protocol.HEADER_DEADLINE_MS: str(request.deadline_ms),
        'Content-Type': protocol.MEDIA_JSON,
    }
    if request.key:
        headers[protocol.HEADER_IDEMPOTENCY_KEY] = request.key
    return headers
