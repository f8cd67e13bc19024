"""One HTTP call to the platform, with its failures as values."""

from __future__ import annotations

import http
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado.httpclient import HTTPClientError, HTTPRequest

from damaskpoint import protocol
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.platform import metrics

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient, HTTPResponse

_MAX_DETAIL_CHARACTERS: Final = 200


@final
@dataclass(frozen=True, slots=True)
class PlatformCall:
    """A request to one of the platform's services."""

    # Name of the service in counters.
    service: str
    method: str
    url: str
    body: bytes | None = None
    # Whether a lost answer may hide a change that took effect.
    is_write: bool = False
    # Statuses that the caller reads itself.
    expected: tuple[http.HTTPStatus, ...] = (http.HTTPStatus.OK,)


@final
class PlatformCaller:
    """Sends calls through a client that is passed in."""

    def __init__(self, client: AsyncHTTPClient, timeout_s: float) -> None:
        """Keep the client and the bound on each call, in seconds."""
        self._client = client
        self._timeout_s = timeout_s

    async def send(self, call: PlatformCall) -> HTTPResponse | Failure:
        """Return the answer if its status is expected, else a failure.

        ``PLATFORM_UNAVAILABLE`` when there was no answer, or one that asks
        to come back; ``PLATFORM_MISSING`` for a 404; ``INTERNAL`` when the
        platform refuses the request itself.
        """
        answer = await self._fetch(call)
        if isinstance(answer, Failure):
            metrics.CALLS.inc({'service': call.service, 'end': 'lost'})
            return answer
        metrics.CALLS.inc({'service': call.service, 'end': str(answer.code)})
        if answer.code in call.expected:
            return answer
        return _describe_refusal(call, answer)

    async def _fetch(self, call: PlatformCall) -> HTTPResponse | Failure:
        request = HTTPRequest(
            call.url,
            method=call.method,
            body=call.body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            # The call was never sent.
            return Failure(Code.PLATFORM_UNAVAILABLE, str(error))
        except (HTTPClientError, OSError) as error:
            return lost_answer(call, str(error))


def lost_answer(call: PlatformCall, detail: str) -> Failure:
    """Return the failure of a call that may have taken effect if a write."""
    ran = Ran.UNKNOWN if call.is_write else Ran.NO
    return Failure(Code.PLATFORM_UNAVAILABLE, detail, ran)


def _describe_refusal(call: PlatformCall, answer: HTTPResponse) -> Failure:
    text = answer.body[:_MAX_DETAIL_CHARACTERS].decode('utf-8', 'replace')
    detail = f'{call.service}: HTTP {answer.code} {text}'
    if answer.code == http.HTTPStatus.TOO_MANY_REQUESTS:
        retry_after_s = _read_retry_after(answer)
        return Failure(Code.PLATFORM_UNAVAILABLE, detail, Ran.NO, retry_after_s)
    if answer.code == http.HTTPStatus.NOT_FOUND:
        return Failure(Code.PLATFORM_MISSING, detail)
    if answer.code < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return Failure(Code.INTERNAL, detail)
    return lost_answer(call, detail)


def _read_retry_after(answer: HTTPResponse) -> float | None:
    text = answer.headers.get(protocol.HEADER_RETRY_AFTER, '')
    try:
        seconds = float(text)
    except ValueError:
        return None
    # The comparison also drops a value that is not a number.
    return seconds if 0 <= seconds < float('inf') else None
