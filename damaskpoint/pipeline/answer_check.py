"""Validates upstream answers.

An answer counts only if it echoes the identifiers of its call, is complete,
and carries a result.
"""

from __future__ import annotations

import http
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

import pydantic

from damaskpoint import protocol
from damaskpoint.routing.base import CallEnd, CallReport

if TYPE_CHECKING:
    from damaskpoint.pipeline.call import UpstreamAnswer, UpstreamHead


@final
@dataclass(frozen=True, slots=True)
class CallIdentity:
    """The identifiers of a call, which its answer has to echo."""

    request_id: str
    # Empty for a plain service.
    stage: str
    attempt: str

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that identify the call."""
        named = [
            (protocol.HEADER_REQUEST_ID, self.request_id),
            (protocol.HEADER_ATTEMPT, self.attempt),
        ]
        if self.stage:
            named.append((protocol.HEADER_STAGE, self.stage))
        return tuple(named)

    def is_echoed(self, head: UpstreamHead) -> bool:
        """Return whether an answer echoes all identifiers of this call."""
        for name, value in self.headers():
            if head.find(name) != value:
                return False
        return True


class StageBody(pydantic.BaseModel):
    """The JSON body of a stage's answer."""

    request_id: str
    stage: str
    attempt: str
    output: object
    units: int = pydantic.Field(ge=0)


class _EndBody(pydantic.BaseModel):
    """The JSON data of the event that ends a stream."""

    request_id: str
    stage: str
    attempt: str
    tokens: int = pydantic.Field(ge=0)
    sha256: str


def parse_stage_body(
    identity: CallIdentity, body: bytes
) -> StageBody | CallEnd:
    """Return the parsed body of a stage's answer.

    Returns FAILED if the body is malformed, and MISMATCHED if it belongs to
    another call.
    """
    try:
        parsed = StageBody.model_validate_json(body)
    except pydantic.ValidationError:
        return CallEnd.FAILED
    found = CallIdentity(parsed.request_id, parsed.stage, parsed.attempt)
    return parsed if found == identity else CallEnd.MISMATCHED


def check_end_event(
    identity: CallIdentity, data: str, tokens: int, sha256: str
) -> CallEnd:
    """Return SUCCEEDED if the end event matches the received text.

    The event has to carry the identifiers of the call, the number of tokens
    received, and the SHA-256 of their text in hexadecimal.
    """
    try:
        parsed = _EndBody.model_validate_json(data)
    except pydantic.ValidationError:
        return CallEnd.FAILED
    found = CallIdentity(parsed.request_id, parsed.stage, parsed.attempt)
    if found != identity:
        return CallEnd.MISMATCHED
    if (parsed.tokens, parsed.sha256) != (tokens, sha256):
        return CallEnd.MISMATCHED
    return CallEnd.SUCCEEDED


def classify_status(identity: CallIdentity, answer: UpstreamAnswer) -> CallEnd:
    """Return how a call ended, from the status of its complete answer.

    An error that does not echo the call is a mismatch: otherwise the
    ``"ran": false`` of another call could mark a call that did run as not
    run.
    """
    if not identity.is_echoed(answer.head):
        return CallEnd.MISMATCHED
    status = answer.head.status
    if status < http.HTTPStatus.BAD_REQUEST:
        return CallEnd.SUCCEEDED
    if reports_not_run(answer):
        return CallEnd.OVERLOADED
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return CallEnd.REFUSED
    return CallEnd.FAILED


def reports_not_run(answer: UpstreamAnswer) -> bool:
    """Return whether an error answer states that the call did not start.

    Considers server errors and 409 Conflict. A conflict with the state of
    this upstream need not occur at another one.
    """
    status = answer.head.status
    is_conflict = status == http.HTTPStatus.CONFLICT
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR and not is_conflict:
        return False
    try:
        parsed = json.loads(answer.body)
    except ValueError:
        return False
    return isinstance(parsed, dict) and parsed.get('ran') is False


def make_report(
    end: CallEnd, duration_s: float, head: UpstreamHead | None
) -> CallReport:
    """Build the router's report on a call; ``head`` is None without answer."""
    if head is None:
        return CallReport(end, duration_s)
    incarnation = head.find(protocol.HEADER_INCARNATION) or ''
    warmth = head.find(protocol.HEADER_WARMTH)
    return CallReport(
        end,
        duration_s,
        int(incarnation) if incarnation.isdecimal() else None,
        None if warmth is None else warmth == 'warm',
    )
