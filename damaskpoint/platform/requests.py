"""Converts headers of requests and answers to and from metadata."""

from __future__ import annotations

import http
import math
from typing import TYPE_CHECKING, Final

from damaskpoint import protocol
from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding.metadata import (
    AnswerMetadata,
    LoadReport,
    PromptPart,
    RequestMetadata,
)
from damaskpoint.platform import names

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tornado.httputil import HTTPHeaders

    from damaskpoint.catalog.model import Runner

_MS_PER_S: Final = 1000
_MAX_ID_CHARACTERS: Final = 200
_BEARER: Final = 'bearer '
_LEAVING_VALUE: Final = '1'
# Fields of a runner's load that are always present, and a bound on each.
_LOAD_FIELDS: Final = 3
_MAX_LOAD_DIGITS: Final = 6


def read_request_metadata(headers: HTTPHeaders) -> RequestMetadata | Failure:
    """Parse the headers of a caller's request.

    Fails with ``HEADER_MALFORMED`` if a header cannot be parsed.
    """
    request_id = headers.get(names.REQUEST_ID, '')
    if not 0 < len(request_id) <= _MAX_ID_CHARACTERS:
        return _malformed_header(names.REQUEST_ID)
    try:
        return RequestMetadata(
            request_id=request_id,
            deadline_s=_read_deadline_s(headers.get(names.DEADLINE_MS)),
            key=_read_key(headers.get('Authorization', '')),
            prompt=_read_prompt(headers.get(names.PROMPT_PREFIX, '')),
            token_counts=_read_numbers(headers.get(names.TOKEN_COUNTS, '')),
            piece_counts=_read_numbers(headers.get(names.PIECE_COUNTS, '')),
            piece_key=headers.get(names.PIECE_KEY, ''),
            last_event_id=headers.get(names.LAST_EVENT_ID),
        )
    except ValueError as error:
        return Failure(Code.HEADER_MALFORMED, str(error))


def find_request_id(headers: HTTPHeaders) -> str:
    """Return the request's id, truncated for logs, or an empty string."""
    return headers.get(names.REQUEST_ID, '')[:_MAX_ID_CHARACTERS]


def create_runner_headers(
    received: Iterable[tuple[str, str]],
    runner: Runner,
    account: str | None,
    left_s: float,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a runner.

    ``left_s`` is the time left until the request's deadline, in seconds.
    """
    headers = [
        pair
        for pair in received
        if pair[0].lower() not in names.DROPPED_REQUEST_HEADERS
    ]
    headers.append((names.EXPECT_RUNNER, runner.name))
    if account is not None:
        headers.append((names.ACCOUNT, account))
    left_ms = max(1, math.floor(left_s * _MS_PER_S))
    headers.append((names.DEADLINE_MS, str(left_ms)))
    return headers


def add_stage_results(
    headers: list[tuple[str, str]], handles: Sequence[str]
) -> None:
    """Add the handles of the last stages' results, if there are any."""
    if handles:
        headers.append((names.STAGE_RESULTS, ','.join(handles)))


def add_priority(headers: list[tuple[str, str]], priority: int) -> None:
    """Add the request's priority, clamped to 0 to 9."""
    headers.append((names.PRIORITY, str(min(9, max(0, priority)))))


def add_resume(headers: list[tuple[str, str]], last_event_id: str) -> None:
    """Ask the runner to resume the stream after an event."""
    headers.append((names.LAST_EVENT_ID, last_event_id))


def read_answer_metadata(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    """Parse the status and the headers of a runner's answer."""
    cold_ms = headers.get(names.COLD_LEFT_MS, '')
    return AnswerMetadata(
        is_not_run=names.NOT_RUN in headers,
        is_sealed=names.SEAL in headers,
        request_id=headers.get(names.REQUEST_ID),
        cold_left_s=int(cold_ms) / _MS_PER_S if cold_ms.isdecimal() else None,
        is_leaving=headers.get(names.LEAVING) == _LEAVING_VALUE,
        pause_s=_read_pause_s(status, headers),
        load=_read_load(headers.get(names.SERVER_LOAD, '')),
    )


def select_answer_headers(headers: HTTPHeaders) -> list[tuple[str, str]]:
    """Return the headers of a runner's answer to forward to the caller."""
    return [
        pair
        for pair in headers.get_all()
        if pair[0].lower() not in names.DROPPED_ANSWER_HEADERS
    ]


def echo_request_id(request_id: str) -> tuple[str, str]:
    """Return the header that echoes a request's id in an own answer."""
    return (names.REQUEST_ID, request_id)


def _read_pause_s(status: int, headers: HTTPHeaders) -> float | None:
    if status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    try:
        pause_s = float(headers.get(protocol.HEADER_RETRY_AFTER, ''))
    except ValueError:
        return None
    # The comparison also rejects NaN.
    return pause_s if 0 < pause_s < float('inf') else None


def _read_load(text: str) -> LoadReport | None:
    """Return the load in a header; None if it is absent or malformed."""
    if not text:
        return None
    fields = [field.strip() for field in text.split(',')]
    if len(fields) < _LOAD_FIELDS:
        return None
    for field in fields:
        if not field.isdecimal() or len(field) > _MAX_LOAD_DIGITS:
            return None
    running, waiting, slots = map(int, fields[:_LOAD_FIELDS])
    percent = int(fields[_LOAD_FIELDS]) if fields[_LOAD_FIELDS:] else None
    return LoadReport(running, waiting, slots, percent)


def _malformed_header(name: str) -> Failure:
    return Failure(Code.HEADER_MALFORMED, name)


def _read_deadline_s(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.isdecimal():
        raise ValueError(names.DEADLINE_MS)
    return int(text) / _MS_PER_S


def _read_key(text: str) -> str | None:
    if text[: len(_BEARER)].lower() != _BEARER:
        return None
    return text[len(_BEARER) :].strip()


def _read_numbers(text: str) -> tuple[int, ...]:
    if not text:
        return ()
    return tuple(int(number) for number in text.split(','))


def _read_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        if not entry.strip():
            continue
        part_id, _, tokens = entry.strip().partition(':')
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
