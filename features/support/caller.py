"""An HTTP caller that records its requests and their answers in a history."""

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
# The client waits this much longer than the deadline of the request.
_TIMEOUT_MARGIN_S: Final = 10.0
# Status that the HTTP client reports where it got no response.
_NO_RESPONSE_STATUS: Final = 599


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller, sent to one entry."""

    request_id: str
    path: str
    body: dict[str, object]
    # Business key of a non-idempotent request, sent as its idempotency key;
    # empty for none.
    key: str = ''
    account: str = 'caller'
    deadline_ms: int = 5000


@dataclass(slots=True)
class CallerAnswer:
    """The final answer; its status is 0 if there was none."""

    status: int = 0
    code: str = ''
    ran: str = ''
    body: dict[str, object] = field(default_factory=dict)
    # Text of all tokens of a stream.
    text: str = ''
    # Whether a stream had its end event, or the status was 200.
    is_whole: bool = False
    # Why there is no answer, or the start of one that is not JSON.
    detail: str = ''


class Caller:
    """Sends requests to entries and records them in a history."""

    def __init__(self, history: History) -> None:
        """Create the HTTP client; all calls are recorded in the history."""
        self._history = history
        self._call_numbers = itertools.count(1)
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, defaults={}, max_clients=_MAX_CLIENTS
        )

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()

    async def call(
        self, entry: str, base_url: str, request: CallerRequest
    ) -> CallerAnswer:
        """Send one request to one entry and record how it ended."""
        number = next(self._call_numbers)
        request_fields = {
            'number': number,
            'entry': entry,
            'request_id': request.request_id,
            'key': request.key,
            'path': request.path,
        }
        self._history.record('sent', body=request.body, **request_fields)
        try:
            answer = await self._fetch(base_url, request)
        except asyncio.CancelledError:
            self._history.record('left', **request_fields)
            raise
        if answer.status == 0:
            self._history.record(
                'broken', detail=answer.detail, **request_fields
            )
            return answer
        self._history.record(
            'answered',
            status=answer.status,
            code=answer.code,
            ran=answer.ran,
            body=answer.body,
            text=answer.text,
            is_whole=answer.is_whole,
            **request_fields,
        )
        return answer

    async def _fetch(
        self, base_url: str, request: CallerRequest
    ) -> CallerAnswer:
        try:
            response = await self._client.fetch(
                f'{base_url}{request.path}',
                method='POST',
                headers=_make_headers(request),
                body=json.dumps(request.body),
                request_timeout=request.deadline_ms / 1000 + _TIMEOUT_MARGIN_S,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError) as error:
            return CallerAnswer(detail=repr(error))
        if response.code == _NO_RESPONSE_STATUS:
            return CallerAnswer(detail=repr(response.error))
        if request.body.get('stream') and response.code == 200:
            return read_events(response.body.decode(errors='replace'))
        return _read_json(response.code, response.body)


def read_events(text: str) -> CallerAnswer:
    """Return the answer that a stream of server-sent events carries."""
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
