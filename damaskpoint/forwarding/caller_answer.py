"""Writes the answer of a request to its caller."""

from __future__ import annotations

import asyncio
import http
import json
import socket
import struct
from typing import TYPE_CHECKING, Final, final

from tornado import httputil, iostream

from damaskpoint import defaults, protocol
from damaskpoint.forwarding.answer_budget import AnswerHold

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tornado.http1connection import HTTP1Connection

    from damaskpoint.errors import Failure
    from damaskpoint.forwarding.answer_budget import AnswerBudget

_MAX_DETAIL_CHARS: Final = 200
_PIECE_BYTES: Final = 65_536
# Value of SO_LINGER with which a close resets the connection.
_LINGER_RESETS: Final = struct.pack('ii', 1, 0)


@final
class CallerAnswer:
    """The answer on a caller's connection, complete or visibly truncated."""

    def __init__(
        self,
        connection: HTTP1Connection,
        is_leaving: Callable[[], bool],
        budget: AnswerBudget,
        *,
        accepts_chunks: bool = True,
    ) -> None:
        """Answer on a connection; request its closure if ``is_leaving()``.

        Bytes that are held for the caller are counted in ``budget``.
        ``accepts_chunks`` is false for a caller that speaks HTTP/1.0.
        """
        self.hold = AnswerHold(budget, self.abort)
        self._connection = connection
        self._is_leaving = is_leaving
        # Whether the end of the answer is marked by its length or chunks, not
        # by the end of the connection.
        self._is_delimited = accepts_chunks
        self.is_started = False
        self.is_ended = False

    async def send_failure(
        self, failure: Failure, extra: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send an error answer of the gateway itself."""
        headers = [('Content-Type', protocol.MEDIA_JSON), *extra]
        if failure.retry_after_s is not None:
            headers.append(
                (protocol.HEADER_RETRY_AFTER, f'{failure.retry_after_s:.3f}')
            )
        body = encode_failure(failure)
        try:
            async with asyncio.timeout(defaults.ANSWER_WRITE_TIMEOUT_S):
                await self.send_whole(failure.kind.status, headers, body)
        except TimeoutError:
            # The caller sends requests and does not read the answers.
            self.abort()

    async def send_whole(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send an answer with its complete body."""
        answer_headers = [*headers, ('Content-Length', str(len(body)))]
        await self.start(status, answer_headers, body[:_PIECE_BYTES])
        # The pieces are written without a copy, and each that is taken shows
        # that the caller reads.
        view = memoryview(body)
        for start in range(_PIECE_BYTES, len(body), _PIECE_BYTES):
            await self._write(view[start : start + _PIECE_BYTES])
        await self.finish()

    async def start(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        chunk: bytes = b'',
    ) -> None:
        """Send the status, the headers and the first bytes of the body."""
        self.is_started = True
        answer_headers = httputil.HTTPHeaders()
        for name, value in headers:
            answer_headers.add(name, value)
        if 'Content-Length' in answer_headers:
            self._is_delimited = True
        if self._is_leaving():
            answer_headers['Connection'] = 'close'
            # The server closes the connection after the answer.
            self._connection.no_keep_alive = True
        line = httputil.ResponseStartLine(
            'HTTP/1.1', status, _find_reason(status)
        )
        self.hold.record_write()
        try:
            await self._connection.write_headers(line, answer_headers, chunk)
        except iostream.StreamClosedError:
            self.abort()

    async def write(self, chunk: bytes) -> None:
        """Send more of a stream; returns when the caller has taken it."""
        await self.hold.grow(len(chunk))
        await self._write(chunk)
        self.hold.release()

    async def finish(self) -> None:
        """End the answer as complete; does nothing if it has ended."""
        if self.is_ended:
            return
        self.is_ended = True
        try:
            self._connection.finish()
        except iostream.StreamClosedError:
            self.abort()
            return
        if not self._is_delimited:
            self._connection.stream.close()

    def abort(self) -> None:
        """Close the connection, so that the answer is visibly incomplete.

        It is reset if a plain close would end the answer as complete.
        """
        self.is_ended = True
        stream = self._connection.stream
        if not self._is_delimited and not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESETS
            )
        stream.close()

    async def _write(self, chunk: bytes | memoryview) -> None:
        if self.is_ended:
            return
        self.hold.record_write()
        try:
            # tornado declares bytes, and takes a view where it adds no framing.
            await self._connection.write(chunk)  # type: ignore[arg-type]
        except iostream.StreamClosedError:
            self.abort()


def encode_failure(failure: Failure) -> bytes:
    """Return the body of an error answer."""
    return json.dumps(
        {
            'code': failure.code.value,
            'detail': failure.detail[:_MAX_DETAIL_CHARS],
        }
    ).encode()


def _find_reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
