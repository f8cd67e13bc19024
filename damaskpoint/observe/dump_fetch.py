"""Client of a process's operators' port: fetches its state or metrics."""

from __future__ import annotations

import http
import json
from typing import TYPE_CHECKING, Final
from urllib.parse import quote

from tornado import httpclient

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.http_errors import HTTP_CALL_ERRORS
from damaskpoint.observe.operator_app import PATH_METRICS, PATH_STATE

if TYPE_CHECKING:
    from damaskpoint.membership.facts import Address

_FETCH_ERRORS: Final = (*HTTP_CALL_ERRORS, ValueError)


async def fetch_state(
    address: Address, part: str, timeout_s: float
) -> dict[str, object] | Failure:
    """Return the state of all components, or of the one named ``part``.

    Failures: ``PEER_UNREACHABLE``, ``UNKNOWN_PATH`` for an unknown component,
    ``MESSAGE_MALFORMED`` for an answer that cannot be parsed.
    """
    query = f'?part={quote(part)}' if part else ''
    body = await _fetch(address, f'{PATH_STATE}{query}', timeout_s)
    if isinstance(body, Failure):
        return body
    try:
        state = json.loads(body)
    except ValueError as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    if not isinstance(state, dict):
        return Failure(Code.MESSAGE_MALFORMED, 'the state is not an object')
    return state


async def fetch_metrics(address: Address, timeout_s: float) -> str | Failure:
    """Return the metrics as Prometheus text."""
    body = await _fetch(address, PATH_METRICS, timeout_s)
    if isinstance(body, Failure):
        return body
    return body.decode('utf-8', 'replace')


async def _fetch(
    address: Address, path: str, timeout_s: float
) -> bytes | Failure:
    client = httpclient.AsyncHTTPClient(
        force_instance=True, max_body_size=defaults.MAX_DUMP_BYTES
    )
    try:
        answer = await client.fetch(
            f'http://{address.host}:{address.port}{path}',
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            raise_error=False,
        )
    except _FETCH_ERRORS as error:
        return Failure(Code.PEER_UNREACHABLE, str(error))
    finally:
        client.close()
    if answer.code == http.HTTPStatus.NOT_FOUND:
        return Failure(Code.UNKNOWN_PATH, _describe_missing(answer.body))
    if answer.code != http.HTTPStatus.OK:
        return Failure(Code.PEER_UNREACHABLE, f'HTTP {answer.code}')
    return answer.body


def _describe_missing(body: bytes) -> str:
    """List the components that the process has, from a 404 answer's body."""
    try:
        parts = json.loads(body)['parts']
    except (ValueError, LookupError, TypeError):
        return 'no such page'
    return f'available parts: {", ".join(map(str, parts))}'
