"""HTTP calls to the platform; their failures are returned as values."""

from __future__ import annotations

import http
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado.httpclient import HTTPRequest

from damaskpoint import protocol
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.http_errors import HTTP_CALL_ERRORS
from damaskpoint.platform import metrics

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient, HTTPResponse

    from damaskpoint.platform.era import StoreEra

_MAX_DETAIL_CHARACTERS: Final = 200


@final
@dataclass(frozen=True, slots=True)
class PlatformCall:
    """A request to one of the platform's services."""

    # Name of the service in metrics.
    service: str
    method: str
    url: str
    body: bytes | None = None
    # Whether the call may have taken effect although its answer was lost.
    is_write: bool = False
    # Statuses whose answers are returned; all others are failures.
    expected: tuple[http.HTTPStatus, ...] = (http.HTTPStatus.OK,)


@final
class PlatformCaller:
    """Sends calls through a given HTTP client."""

    def __init__(
        self, client: AsyncHTTPClient, timeout_s: float, era: StoreEra
    ) -> None:
        """Send through this client; ``timeout_s`` bounds each call.

        An answer of an older era than ``era`` is treated as lost.
        """
        self._client = client
        self._timeout_s = timeout_s
        self._era = era

    async def send(
        self, call: PlatformCall, wait_s: float = 0
    ) -> HTTPResponse | Failure:
        """Return the answer if its status is expected, else a failure.

        ``wait_s`` is added to the timeout, but not to that of the connection:
        it is the time for which the platform may hold the answer back.

        Failures: ``PLATFORM_UNAVAILABLE`` if there was no answer, a 429 or a
        server error; ``PLATFORM_MISSING`` for a 404; ``INTERNAL`` for any
        other status, as the platform refused the request itself.
        """
        answer = await self._fetch(call, wait_s)
        if isinstance(answer, Failure):
            metrics.CALLS.inc({'service': call.service, 'end': 'lost'})
            return answer
        if not self._era.accept(answer.headers):
            metrics.CALLS.inc({'service': call.service, 'end': 'outdated'})
            return lost_answer_failure(call, 'the answer is of an older era')
        metrics.CALLS.inc({'service': call.service, 'end': str(answer.code)})
        if answer.code in call.expected:
            return answer
        return _to_failure(call, answer)

    async def _fetch(
        self, call: PlatformCall, wait_s: float
    ) -> HTTPResponse | Failure:
        request = HTTPRequest(
            call.url,
            method=call.method,
            body=call.body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s + wait_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            # The call was never sent.
            return Failure(Code.PLATFORM_UNAVAILABLE, str(error))
        except HTTP_CALL_ERRORS as error:
            return lost_answer_failure(call, str(error))


def lost_answer_failure(call: PlatformCall, detail: str) -> Failure:
    """Return the failure of a call whose answer was lost.

    A write may have taken effect.
    """
    ran = Ran.UNKNOWN if call.is_write else Ran.NO
    return Failure(Code.PLATFORM_UNAVAILABLE, detail, ran)


def _to_failure(call: PlatformCall, answer: HTTPResponse) -> Failure:
    text = answer.body[:_MAX_DETAIL_CHARACTERS].decode('utf-8', 'replace')
    detail = f'{call.service}: HTTP {answer.code} {text}'
    if answer.code == http.HTTPStatus.TOO_MANY_REQUESTS:
        retry_after_s = _read_retry_after(answer)
        return Failure(Code.PLATFORM_UNAVAILABLE, detail, Ran.NO, retry_after_s)
    if answer.code == http.HTTPStatus.NOT_FOUND:
        return Failure(Code.PLATFORM_MISSING, detail)
    if answer.code < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return Failure(Code.INTERNAL, detail)
    return lost_answer_failure(call, detail)


def _read_retry_after(answer: HTTPResponse) -> float | None:
    text = answer.headers.get(protocol.HEADER_RETRY_AFTER, '')
    try:
        seconds = float(text)
    except ValueError:
        return None
    # The comparison also rejects NaN.
    return seconds if 0 <= seconds < float('inf') else None
