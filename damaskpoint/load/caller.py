"""Sends planned requests and classifies their responses.

The verdict rests on the received bytes alone: a response is whole only if it
carries the request's own identifier and, for a stream, if the digest in its
end event matches the text received.
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
from damaskpoint.load.model import (
    PlannedRequest,
    RequestKind,
    Sample,
    StageUse,
    Verdict,
)

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

# Connect timeout, and the time past its deadline at which a request times out.
_TIMEOUT_MARGIN_S = 2.0
_MS_PER_S = 1000


@final
@dataclass(frozen=True, slots=True)
class Target:
    """The entry that receives requests, and what each request contains."""

    client: AsyncHTTPClient
    # Base URL of one entry.
    url: str
    deadline_ms: int
    input_text: str


async def send(planned: PlannedRequest, target: Target, due: float) -> Sample:
    """Send one request and return its sample.

    ``due`` is the planned send time on the monotonic clock.
    """
    request_id = uuid.uuid4().hex
    recorder = _StreamRecorder(request_id)
    request = _build_request(planned, target, request_id)
    if planned.traffic_class.kind is RequestKind.STREAM:
        request.streaming_callback = recorder.feed
    response = await fetch(target.client, request)
    if response is None:
        return _create_sample(
            planned, Verdict.LOST, 'connection', due, recorder
        )
    if response.code != http.HTTPStatus.OK:
        body = response.body or recorder.raw
        return _classify_error(planned, body, due, recorder)
    if planned.traffic_class.kind is RequestKind.STREAM:
        return _classify_stream(planned, target, due, recorder)
    return _classify_response(planned, target, response, request_id, due)


def _build_request(
    planned: PlannedRequest, target: Target, request_id: str
) -> HTTPRequest:
    is_pipeline = planned.traffic_class.kind in {
        RequestKind.PIPELINE,
        RequestKind.STREAM,
    }
    collection = 'pipelines' if is_pipeline else 'services'
    headers = {
        protocol.HEADER_ACCOUNT: planned.account.name,
        protocol.HEADER_AUTHORIZATION: f'Bearer {planned.account.credential}',
        protocol.HEADER_REQUEST_ID: request_id,
        protocol.HEADER_DEADLINE_MS: str(target.deadline_ms),
        'Content-Type': protocol.MEDIA_JSON,
    }
    if planned.traffic_class.kind is RequestKind.ORDER:
        headers[protocol.HEADER_IDEMPOTENCY_KEY] = request_id
    body = {
        'input': f'{planned.number} {target.input_text}',
        'stream': planned.traffic_class.kind is RequestKind.STREAM,
    }
    return HTTPRequest(
        f'{target.url}/v1/{collection}/{planned.traffic_class.target}',
        method='POST',
        headers=headers,
        body=json.dumps(body),
        request_timeout=target.deadline_ms / _MS_PER_S + _TIMEOUT_MARGIN_S,
        connect_timeout=_TIMEOUT_MARGIN_S,
    )


def _classify_error(
    planned: PlannedRequest, body: bytes, due: float, recorder: _StreamRecorder
) -> Sample:
    try:
        problem = json.loads(body)
    except ValueError:
        return _create_sample(
            planned, Verdict.FAILED, 'no_problem', due, recorder
        )
    if not isinstance(problem, dict):
        return _create_sample(
            planned, Verdict.FAILED, 'no_problem', due, recorder
        )
    code = str(problem.get('code', ''))
    is_refusal = problem.get('ran') == 'no'
    verdict = Verdict.REFUSED if is_refusal else Verdict.FAILED
    return _create_sample(planned, verdict, code, due, recorder)


def _classify_stream(
    planned: PlannedRequest,
    target: Target,
    due: float,
    recorder: _StreamRecorder,
) -> Sample:
    if recorder.error is not None:
        return _classify_error(planned, recorder.error, due, recorder)
    if not recorder.is_whole():
        return _create_sample(
            planned, Verdict.WRONG, 'truncated', due, recorder
        )
    verdict = _classify_by_deadline(target, due)
    return _create_sample(planned, verdict, '', due, recorder)


def _classify_response(
    planned: PlannedRequest,
    target: Target,
    response: HTTPResponse,
    request_id: str,
    due: float,
) -> Sample:
    recorder = _StreamRecorder(request_id)
    response_id = response.headers.get(protocol.HEADER_REQUEST_ID)
    if response_id != request_id:
        return _create_sample(
            planned, Verdict.WRONG, 'not_echoed', due, recorder
        )
    stages: tuple[StageUse, ...] = ()
    if planned.traffic_class.kind is RequestKind.PIPELINE:
        answer = json.loads(response.body)
        if answer.get('request_id') != request_id or 'output' not in answer:
            return _create_sample(
                planned, Verdict.WRONG, 'not_own', due, recorder
            )
        stages = _parse_stages(answer)
    verdict = _classify_by_deadline(target, due)
    return _create_sample(planned, verdict, '', due, recorder, stages)


def _parse_stages(answer: dict[str, object]) -> tuple[StageUse, ...]:
    listed = answer.get('stages')
    stages: list[StageUse] = []
    if not isinstance(listed, list):
        return ()
    for stage in listed:
        stages.append(StageUse(str(stage['name']), int(stage['units'])))
    return tuple(stages)


def _classify_by_deadline(target: Target, due: float) -> Verdict:
    elapsed_s = time.monotonic() - due
    if elapsed_s * _MS_PER_S <= target.deadline_ms:
        return Verdict.WHOLE
    return Verdict.LATE


def _create_sample(
    planned: PlannedRequest,
    verdict: Verdict,
    code: str,
    due: float,
    recorder: _StreamRecorder,
    stages: tuple[StageUse, ...] = (),
) -> Sample:
    first_token_s = None
    if recorder.first_token_at is not None:
        first_token_s = recorder.first_token_at - due
    return Sample(
        planned=planned,
        request_id=recorder.request_id,
        verdict=verdict,
        code=code,
        duration_s=time.monotonic() - due,
        first_token_s=first_token_s,
        token_gap_s=recorder.longest_gap_s,
        stages=stages or recorder.stages,
    )


class _StreamRecorder:
    """Records the events of a stream, their timing and a digest of its text."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.raw = b''
        self.error: bytes | None = None
        self.first_token_at: float | None = None
        self.longest_gap_s: float | None = None
        self.stages: tuple[StageUse, ...] = ()
        self._last_token_at = float(0)
        self._digest = hashlib.sha256()
        self._end_event: dict[str, object] | None = None
        self._parser = EventParser()

    def feed(self, chunk: bytes) -> None:
        """Process the next bytes of the response."""
        if self.first_token_at is None:
            # An error response has no events: its body is parsed whole.
            self.raw += chunk
        for name, text in self._parser.feed(chunk):
            self._handle_event(name, text)

    def is_whole(self) -> bool:
        """Return whether the end event has arrived and matches the text."""
        if self._end_event is None:
            return False
        if self._end_event.get('request_id') != self.request_id:
            return False
        return self._end_event.get('sha256') == self._digest.hexdigest()

    def _handle_event(self, name: str, text: str) -> None:
        if name == protocol.EVENT_ERROR:
            self.error = text.encode()
            return
        event = json.loads(text)
        if name == protocol.EVENT_TOKEN:
            self._record_token(str(event['text']))
        if name == protocol.EVENT_END:
            self._end_event = event
            self.stages = _parse_stages(event)

    def _record_token(self, text: str) -> None:
        now = time.monotonic()
        if self.first_token_at is None:
            self.first_token_at = now
        else:
            gap_s = now - self._last_token_at
            self.longest_gap_s = max(self.longest_gap_s or 0, gap_s)
        self._last_token_at = now
        self._digest.update(text.encode())
