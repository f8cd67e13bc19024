"""A minimal HTTP client: one request and its answer per connection.

The answer's head and body are read as they arrive. Connections are never
reused, so that excess bytes after an answer cannot be read as the next one.
"""

from __future__ import annotations

import asyncio
import enum
import http
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado import httputil, iostream

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding.connecting import open_stream
from damaskpoint.http_statuses import check_status

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.forwarding.answer_budget import AnswerHold
    from damaskpoint.forwarding.connecting import ClientStream

    SocketAddress = tuple[str, int]

_CHUNK_BYTES: Final = 65_536
# Bodies from this size on are written apart from their heads.
_MIN_UNCOPIED_BYTES: Final = 65_536
_MAX_CHUNK_LINE_BYTES: Final = 1_024
# Maximum number of 1xx answers before the final one.
_MAX_INTERIM_ANSWERS: Final = 10
# Bytes after which the event loop runs other tasks, and what a read adds to
# those that it returned: a read of bytes that have already arrived does not
# wait, so that a fast peer could occupy the loop.
_BYTES_PER_YIELD: Final = 65_536
_READ_COST_BYTES: Final = 4_096
_HEAD_END: Final = b'\r\n\r\n'
_LINE_END: Final = b'\r\n'
_HEX: Final = 16
_BODILESS: Final = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
_METHODS_WITH_BODY: Final = frozenset(('POST', 'PUT', 'PATCH'))
_READ_ERRORS: Final = (
    iostream.StreamClosedError,
    iostream.UnsatisfiableReadError,
    iostream.StreamBufferFullError,
    httputil.HTTPInputError,
    ValueError,
    OSError,
)


class BrokenAnswerError(Exception):
    """An answer ended early or is not valid HTTP; the message has details."""


@final
@enum.unique
class Framing(enum.Enum):
    """How an answer marks the end of its body."""

    UNKNOWN = 'unknown'
    NO_BODY = 'no_body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


@final
@enum.unique
class Ending(enum.Enum):
    """How the reading of an answer ended."""

    # The answer was not read to its end.
    UNREAD = 'unread'
    # The framing marked the end.
    COMPLETE = 'complete'
    # The peer closed the connection; the end of a body framed by ``CLOSE``.
    CLOSED = 'closed'
    SOCKET_ERROR = 'socket_error'
    MALFORMED = 'malformed'


@final
@dataclass(frozen=True, slots=True)
class RunnerRequest:
    """A request as it is sent to a runner."""

    method: str
    # Path and query, unchanged.
    target: str
    headers: Iterable[tuple[str, str]]
    body: bytes
    # Whether the peer is asked to close the connection after its answer.
    is_last: bool = True

    def encode_head(self) -> bytes:
        """Return the bytes of the request before its body."""
        lines = [f'{self.method} {self.target} HTTP/1.1']
        for name, value in self.headers:
            lines.append(f'{name}: {value}')
        if self.body or self.method in _METHODS_WITH_BODY:
            lines.append(f'Content-Length: {len(self.body)}')
        if self.is_last:
            lines.append('Connection: close')
        return '\r\n'.join(lines).encode('latin-1') + _HEAD_END


@final
@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders

    @property
    def is_success(self) -> bool:
        """Return whether the status is a 2xx."""
        return self.status // 100 == 2


async def open_exchange(
    address: SocketAddress,
    connect_s: float,
    ack_timeout_s: float,
    source_host: str | None = None,
) -> Exchange | Failure:
    """Connect to a runner; fails with ``UPSTREAM_UNREACHABLE``.

    Both times are in seconds, as in ``open_stream``.
    """
    stream = await open_stream(address, connect_s, ack_timeout_s, source_host)
    return stream if isinstance(stream, Failure) else Exchange(stream)


@final
class Exchange:
    """One request and its answer on a connection."""

    def __init__(self, stream: ClientStream) -> None:
        """Take ownership of a connection without a call in progress."""
        self._stream = stream
        self.framing = Framing.UNKNOWN
        self.ending = Ending.UNREAD
        # Bytes of the body read so far.
        self.body_bytes = 0
        self._unyielded_bytes = 0
        self._method = ''
        # Done once the connection has taken the whole request.
        self._written: asyncio.Future[None] | None = None
        # Whether the head of the answer has been read.
        self.has_head = False
        # Whether either side closes the connection after the answer.
        self._closes = False
        # Bytes left of a body with a length, or of the current chunk.
        self._body_remaining = 0
        self._is_ended = False

    def send(self, request: RunnerRequest) -> None:
        """Send a request; errors are raised when the answer is read."""
        self._method = request.method
        self._closes = request.is_last
        try:
            written = self._write(request)
        except iostream.StreamClosedError:
            return
        # A runner may answer before it has read the whole body.
        _ignore_write_error_of(written)
        self._written = written

    async def read_head(self) -> AnswerHead:
        """Return the head of the final answer, skipping 1xx answers.

        Raises ``BrokenAnswerError`` if it is missing or malformed.
        """
        try:
            head = await self._read_final_head()
            self.has_head = True
            self._start_body(head)
        except _READ_ERRORS as error:
            raise self._break_off('head', error) from error
        return head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises ``BrokenAnswerError`` if the body ends early or is malformed.
        """
        if self._is_ended:
            return b''
        if self._unyielded_bytes >= _BYTES_PER_YIELD:
            self._unyielded_bytes = 0
            await asyncio.sleep(0)
        try:
            chunk = await self._read_part()
        except _READ_ERRORS as error:
            raise self._break_off('body', error) from error
        self.body_bytes += len(chunk)
        self._unyielded_bytes += len(chunk) + _READ_COST_BYTES
        return chunk

    async def read_body(self, hold: AnswerHold | None = None) -> bytes:
        """Return the complete body; raises ``BrokenAnswerError``.

        Its bytes are counted in ``hold``, which may delay the reading. A body
        of known length is counted at once, so that answers that are read in
        part do not wait for each other.
        """
        chunks: list[bytes] = []
        size = 0
        counted = await self._count_length(hold)
        while True:
            chunk = await self.read_chunk()
            if not chunk:
                return b''.join(chunks)
            size += len(chunk)
            if size > defaults.MAX_ANSWER_BYTES:
                raise BrokenAnswerError('body: too large')
            if hold is not None and size > counted:
                await hold.grow(size - counted)
                counted = size
            chunks.append(chunk)

    @property
    def is_lost_unanswered(self) -> bool:
        """Return whether the peer closed it before the head of an answer."""
        is_closed = self.ending in {Ending.CLOSED, Ending.SOCKET_ERROR}
        return is_closed and not self.has_head

    def close(self) -> None:
        """Close the connection; the runner then stops its work."""
        self._stream.close()

    def release_stream(self) -> ClientStream | None:
        """Return the connection for another exchange, or None.

        None unless the answer was read to an end that its framing marks and
        both sides keep the connection open.
        """
        is_complete = self.ending is Ending.COMPLETE
        if self._closes or not is_complete or not self._stream.is_silent:
            return None
        return self._stream

    def _write(self, request: RunnerRequest) -> asyncio.Future[None]:
        head = request.encode_head()
        if len(request.body) < _MIN_UNCOPIED_BYTES:
            return self._stream.write(head + request.body)
        # The stream takes a large body as it is, without a copy.
        _ignore_write_error_of(self._stream.write(head))
        return self._stream.write(request.body)

    async def _count_length(self, hold: AnswerHold | None) -> int:
        """Count a body of known length; return the bytes counted."""
        if hold is None or self.framing is not Framing.LENGTH:
            return 0
        length = self._body_remaining
        if length > defaults.MAX_ANSWER_BYTES:
            raise BrokenAnswerError('body: too large')
        await hold.grow(length)
        return length

    def _break_off(self, part: str, error: Exception) -> BrokenAnswerError:
        """Record why the answer ended early; return the error to raise."""
        self.ending = _classify(error)
        detail = str(error)
        if isinstance(error, iostream.StreamClosedError) and error.real_error:
            detail = f'{detail}: {error.real_error}'
        return BrokenAnswerError(f'{part}: {detail}')

    async def _read_final_head(self) -> AnswerHead:
        for _ in range(_MAX_INTERIM_ANSWERS + 1):
            head = await self._read_head()
            if head.status >= http.HTTPStatus.OK:
                return head
        raise ValueError('too many interim answers')

    async def _read_head(self) -> AnswerHead:
        raw = await self._stream.read_until(
            _HEAD_END, max_bytes=defaults.MAX_HEADER_BYTES
        )
        first, _, rest = raw.decode('latin-1').partition('\r\n')
        start = httputil.parse_response_start_line(first)
        check_status(start.code)
        headers = httputil.HTTPHeaders.parse(rest)
        return AnswerHead(start.code, start.reason, headers)

    def _start_body(self, head: AnswerHead) -> None:
        connection = head.headers.get('Connection', '').lower()
        self._closes = self._closes or connection == 'close'
        if self._method == 'HEAD' or head.status in _BODILESS:
            self.framing = Framing.NO_BODY
            self._end(Ending.COMPLETE)
            return
        coding = head.headers.get('Transfer-Encoding', '').lower()
        if coding:
            if coding != 'chunked':
                raise ValueError(f'transfer coding {coding!r}')
            self.framing = Framing.CHUNKS
            return
        length = head.headers.get('Content-Length')
        if length is None:
            self.framing = Framing.CLOSE
            return
        if not length.isdecimal():
            raise ValueError(f'length {length!r}')
        self.framing = Framing.LENGTH
        self._body_remaining = int(length)
        if not self._body_remaining:
            self._end(Ending.COMPLETE)

    def _end(self, ending: Ending) -> None:
        """Mark the body as read to its end."""
        self.ending = ending
        self._is_ended = True

    async def _read_part(self) -> bytes:
        if self.framing is Framing.CHUNKS:
            return await self._read_chunked()
        if self.framing is Framing.CLOSE:
            return await self._read_until_close()
        return await self._read_counted()

    async def _read_counted(self) -> bytes:
        chunk = await self._stream.read_bytes(
            min(self._body_remaining, _CHUNK_BYTES), partial=True
        )
        self._body_remaining -= len(chunk)
        if not self._body_remaining:
            self._end(Ending.COMPLETE)
        return chunk

    async def _read_until_close(self) -> bytes:
        try:
            return await self._stream.read_bytes(_CHUNK_BYTES, partial=True)
        except iostream.StreamClosedError as error:
            # After a connection reset, bytes may be missing. Only the write
            # may tell of it, or find the connection closed before it could.
            if error.real_error is not None or not _is_taken(self._written):
                raise
        self._end(Ending.CLOSED)
        return b''

    async def _read_chunked(self) -> bytes:
        if not self._body_remaining:
            line = await self._stream.read_until(
                _LINE_END, _MAX_CHUNK_LINE_BYTES
            )
            size_text = line.partition(b';')[0].strip()
            if not size_text.isalnum():
                raise ValueError('chunk size')
            self._body_remaining = int(size_text, _HEX)
        if not self._body_remaining:
            await self._skip_trailers()
            self._end(Ending.COMPLETE)
            return b''
        chunk = await self._stream.read_bytes(
            min(self._body_remaining, _CHUNK_BYTES), partial=True
        )
        self._body_remaining -= len(chunk)
        if not self._body_remaining:
            if await self._stream.read_bytes(len(_LINE_END)) != _LINE_END:
                raise ValueError('chunk end')
        return chunk

    async def _skip_trailers(self) -> None:
        left_bytes = defaults.MAX_HEADER_BYTES
        while left_bytes > 0:
            line = await self._stream.read_until(
                _LINE_END, _MAX_CHUNK_LINE_BYTES
            )
            if line == _LINE_END:
                return
            left_bytes -= len(line)
        raise ValueError('trailers too long')


def _is_taken(written: asyncio.Future[None] | None) -> bool:
    """Return whether the connection has taken all that was written."""
    if written is None or not written.done():
        return False
    return written.exception() is None


def _classify(error: Exception) -> Ending:
    """Return the ending that an error of a read means."""
    if not isinstance(error, iostream.StreamClosedError):
        return Ending.MALFORMED
    if error.real_error is None:
        return Ending.CLOSED
    if isinstance(error.real_error, OSError):
        return Ending.SOCKET_ERROR
    return Ending.MALFORMED


def broken_answer_failure(error: BrokenAnswerError) -> Failure:
    """Return the failure of a request whose answer is broken."""
    return Failure(Code.UPSTREAM_BROKEN, str(error), Ran.UNKNOWN)


def _ignore_write_error_of(written: asyncio.Future[None]) -> None:
    written.add_done_callback(_ignore_write_error)


def _ignore_write_error(written: object) -> None:
    """Retrieve the exception of a write; reading reports the failure."""
    # A future; the callback's parameter has no common type in typeshed.
    written.exception()  # type: ignore[attr-defined]
