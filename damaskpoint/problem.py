"""Renders failures for callers as problem details (RFC 9457)."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Final

from damaskpoint import protocol

if TYPE_CHECKING:
    from damaskpoint.errors import Failure

_TYPE_PREFIX: Final = 'urn:damaskpoint:problem:'
# Statuses whose answers always have a Retry-After header.
_RETRY_AFTER_STATUSES: Final = frozenset((429, 503))
_MIN_RETRY_AFTER_S: Final = 1


def render_problem(failure: Failure, request_id: str) -> dict[str, object]:
    """Return the problem details of a failure as a mapping."""
    kind = failure.kind
    return {
        'type': f'{_TYPE_PREFIX}{failure.code.value}',
        'title': kind.title,
        'status': int(kind.status),
        'detail': failure.detail,
        'code': failure.code.value,
        'ran': failure.ran.value,
        'retryable': kind.retryable,
        'request_id': request_id,
    }


def encode_problem(failure: Failure, request_id: str) -> str:
    """Return the problem details of a failure as JSON."""
    return json.dumps(render_problem(failure, request_id))


def render_headers(failure: Failure) -> dict[str, str]:
    """Return the headers of the answer that reports a failure.

    Retry-After is in whole seconds, rounded up.
    """
    headers = {'Content-Type': protocol.MEDIA_PROBLEM}
    after_s = failure.retry_after_s
    if after_s is None and failure.kind.status in _RETRY_AFTER_STATUSES:
        after_s = _MIN_RETRY_AFTER_S
    if after_s is not None:
        seconds = max(_MIN_RETRY_AFTER_S, math.ceil(after_s))
        headers[protocol.HEADER_RETRY_AFTER] = str(seconds)
    return headers
