"""Sends planned requests and judges what comes back.

The caller trusts nothing but the bytes: an answer counts as whole only if it
is the answer to the caller's own request and, for a stream, if its end mark
matches the text that came before it.
"""

from __future__ import annotations

import hashlib
import http
import json
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from tornado.httpclient import HTTPRequest, HTTPResponse

from damaskpoint import protocol
from damaskpoint.load.events import EventParser
from damaskpoint.load.fetching import fetch
from damaskpoint.load.model import Planned, Sample, Shape, StageUse, Verdict

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

# A caller waits this long past its deadline before it gives up (seconds).
_PATIENCE_S = 2.0
_MS_PER_S = 1000


@final
@dataclass(frozen=True, slots=True)
class Target:
    """Where a caller sends its requests."""

    client: AsyncHTTPClient
    # Base URL of one entry.
    url: str
    deadline_ms: int
    input_text: str


async def send(planned: Planned, target: Target, due: float) -> Sample:
    """Send one request and return what was seen; ``due`` is monotonic."""
    request_id = uuid.uuid4().hex
    watch = _StreamWatch(request_id)
    request = _build(planned, target, request_id)
    if planned.source.shape is Shape.STREAM:
        request.streaming_callback = watch.feed
    response = await fetch(target.client, request)
    if response is None:
        return _sample(planned, Verdict.LOST, 'connection', due, watch)
    if response.code != http.HTTPStatus.OK:
        body = response.body or watch.raw
        return _judge_refusal(planned, body, due, watch)
    if planned.source.shape is Shape.STREAM:
        return _judge_stream(planned, target, due, watch)
    return _judge_body(planned, target, response, request_id, due)


def _build(planned: Planned, target: Target, request_id: str) -> HTTPRequest:
    is_pipeline = planned.source.shape in {Shape.PIPELINE, Shape.STREAM}
    side = 'pipelines' if is_pipeline else 'services'
    headers = {
        protocol.HEADER_ACCOUNT: planned.account.name,
        protocol.HEADER_AUTHORIZATION: f'Bearer {planned.account.credential}',
        protocol.HEADER_REQUEST_ID: request_id,
        protocol.HEADER_DEADLINE_MS: str(target.deadline_ms),
        'Content-Type': protocol.MEDIA_JSON,
    }
    if planned.source.shape is Shape.ORDER:
        headers[protocol.HEADER_IDEMPOTENCY_KEY] = request_id
    body = {
        'input': f'{planned.number} {target.input_text}',
        'stream': planned.source.shape is Shape.STREAM,
    }
    return HTTPRequest(
        f'{target.url}/v1/{side}/{planned.source.target}',
        method='POST',
        headers=headers,
        body=json.dumps(body),
        request_timeout=target.deadline_ms / _MS_PER_S + _PATIENCE_S,
        connect_timeout=_PATIENCE_S,
    )


def _judge_refusal(
    planned: Planned, body: bytes, due: float, watch: _StreamWatch
) -> Sample:
    try:
        problem = json.loads(body)
    except ValueError:
        return _sample(planned, Verdict.FAILED, 'no_problem', due, watch)
    if not isinstance(problem, dict):
        return _sample(planned, Verdict.FAILED, 'no_problem', due, watch)
    code = str(problem.get('code', ''))
    is_refusal = problem.get('ran') == 'no'
    verdict = Verdict.REFUSED if is_refusal else Verdict.FAILED
    return _sample(planned, verdict, code, due, watch)


def _judge_stream(
    planned: Planned, target: Target, due: float, watch: _StreamWatch
) -> Sample:
    if watch.error is not None:
        return _judge_refusal(planned, watch.error, due, watch)
    if not watch.is_whole():
        return _sample(planned, Verdict.WRONG, 'truncated', due, watch)
    verdict = _in_time(target, due)
    return _sample(planned, verdict, '', due, watch)


def _judge_body(
    planned: Planned,
    target: Target,
    response: HTTPResponse,
    request_id: str,
    due: float,
) -> Sample:
    watch = _StreamWatch(request_id)
    echoed = response.headers.get(protocol.HEADER_REQUEST_ID)
    if echoed != request_id:
        return _sample(planned, Verdict.WRONG, 'not_echoed', due, watch)
    stages: tuple[StageUse, ...] = ()
    if planned.source.shape is Shape.PIPELINE:
        answer = json.loads(response.body)
        if answer.get('request_id') != request_id or 'output' not in answer:
            return _sample(planned, Verdict.WRONG, 'not_own', due, watch)
        stages = _read_stages(answer)
    verdict = _in_time(target, due)
    return _sample(planned, verdict, '', due, watch, stages)


def _read_stages(answer: dict[str, object]) -> tuple[StageUse, ...]:
    listed = answer.get('stages')
    stages: list[StageUse] = []
    if not isinstance(listed, list):
        return ()
    for stage in listed:
        stages.append(StageUse(str(stage['name']), int(stage['units'])))
    return tuple(stages)


def _in_time(target: Target, due: float) -> Verdict:
    taken_s = time.monotonic() - due
    if taken_s * _MS_PER_S <= target.deadline_ms:
        return Verdict.WHOLE
    return Verdict.LATE


def _sample(
    planned: Planned,
    verdict: Verdict,
    code: str,
    due: float,
    watch: _StreamWatch,
    stages: tuple[StageUse, ...] = (),
) -> Sample:
    first_token_s = None
    if watch.first_token_at is not None:
        first_token_s = watch.first_token_at - due
    return Sample(
        planned=planned,
        request_id=watch.request_id,
        verdict=verdict,
        code=code,
        duration_s=time.monotonic() - due,
        first_token_s=first_token_s,
        token_gap_s=watch.longest_gap_s,
        stages=stages or watch.stages,
    )


class _StreamWatch:
    """Follows a stream: its text, its times and its end mark."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.raw = b''
        self.error: bytes | None = None
        self.first_token_at: float | None = None
        self.longest_gap_s: float | None = None
        self.stages: tuple[StageUse, ...] = ()
        self._last_token_at = float(0)
        self._digest = hashlib.sha256()
        self._end: dict[str, object] | None = None
        self._parser = EventParser()

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the answer."""
        if self.first_token_at is None:
            # A refusal has no events; its body is judged as a whole.
            self.raw += chunk
        for name, text in self._parser.feed(chunk):
            self._take(name, text)

    def is_whole(self) -> bool:
        """Return whether the end mark stands and matches the text."""
        if self._end is None:
            return False
        if self._end.get('request_id') != self.request_id:
            return False
        return self._end.get('sha256') == self._digest.hexdigest()

    def _take(self, name: str, text: str) -> None:
        if name == protocol.EVENT_ERROR:
            self.error = text.encode()
            return
        event = json.loads(text)
        if name == protocol.EVENT_TOKEN:
            self._take_token(str(event['text']))
        if name == protocol.EVENT_END:
            self._end = event
            self.stages = _read_stages(event)

    def _take_token(self, text: str) -> None:
        now = time.monotonic()
        if self.first_token_at is None:
            self.first_token_at = now
        else:
            gap_s = now - self._last_token_at
            self.longest_gap_s = max(self.longest_gap_s or 0, gap_s)
        self._last_token_at = now
        self._digest.update(text.encode())
