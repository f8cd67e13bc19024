"""Checks the statuses of answers.

An upstream in trouble may send a status that no answer has. Its answer must
not reach a caller, nor may one that follows it on the connection.
"""

from __future__ import annotations

import http
from typing import Final

from tornado import httputil

_MAX_STATUS: Final = 599
_INTERIM_STATUSES: Final = frozenset(
    (
        http.HTTPStatus.CONTINUE,
        http.HTTPStatus.PROCESSING,
        http.HTTPStatus.EARLY_HINTS,
    )
)


def check_status(status: int) -> None:
    """Raise ``HTTPInputError`` unless it is that of an answer.

    Interim answers are 100, 102 and 103; no call asks for another protocol.
    """
    is_final = http.HTTPStatus.OK <= status <= _MAX_STATUS
    if not is_final and status not in _INTERIM_STATUSES:
        raise httputil.HTTPInputError(f'status {status}')


def check_status_line(line: str) -> None:
    """Check the first line of an answer; header lines pass.

    For the callback of tornado's client that gets all lines of its head.
    """
    if line.startswith('HTTP/'):
        check_status(httputil.parse_response_start_line(line.strip()).code)
