"""An HTTP/1.1 client for upstreams, on top of tornado's connections.

Connections are reused for idempotent calls only, and only while they are
known to be open. A non-idempotent call always opens a connection of its own:
if a reused connection closed during the call, it would be unknown whether
the call ran. Cancelling the task that awaits ``send`` closes the connection,
which signals the upstream that the answer is no longer needed.
docs/design/pipelines.md explains why neither of tornado's two clients is
used.
"""

from __future__ import annotations

import asyncio
import collections
import http
from typing import TYPE_CHECKING, final

from tornado import http1connection, httputil, iostream

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.forwarding.connecting import open_stream
from damaskpoint.http_statuses import check_status
from damaskpoint.observe.state import StateSource
from damaskpoint.pipeline import metrics
from damaskpoint.pipeline.call import CallFailure, UpstreamAnswer, UpstreamHead
from damaskpoint.routing.base import CallEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from damaskpoint.pipeline.call import UpstreamCall

    Receiver = Callable[[UpstreamHead, bytes], Awaitable[bool]]
    Address = tuple[str, int]

_OK = http.HTTPStatus.OK
_BODILESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)


@final
class UpstreamClient(StateSource):
    """Sends calls to upstreams, and pools idle connections by address."""

    def __init__(self, connect_timeout_s: float, max_answer_bytes: int) -> None:
        """Start without connections; the timeout is in seconds."""
        self._connect_timeout_s = connect_timeout_s
        self._params = http1connection.HTTP1ConnectionParameters(
            max_header_size=defaults.MAX_HEADER_BYTES,
            max_body_size=max_answer_bytes,
        )
        self._idle_by_address: dict[
            Address, collections.deque[_IdleConnection]
        ] = {}

    async def send(
        self,
        address: Address,
        call: UpstreamCall,
        receiver: Receiver | None = None,
    ) -> UpstreamAnswer | CallFailure:
        """Send a call and return its complete answer, or how it failed.

        With a receiver, the body of a 200 is passed to it in chunks instead;
        it returns False to stop reading. The call has not reached the
        upstream if its end is UNREACHABLE or UNUSED.
        """
        stream = await self._connect(address, call)
        if isinstance(stream, CallFailure):
            return stream
        # No await between this check and the write.
        now = _now()
        if now > call.send_deadline:
            self._store_idle(address, stream)
            return CallFailure(CallEnd.UNUSED, 'the time to send has passed')
        exchange = _Exchange(stream, self._params, receiver)
        answer = await exchange.run(call, now)
        if call.is_idempotent and exchange.is_reusable:
            self._store_idle(address, stream)
        else:
            stream.close()
        return answer

    def close_idle(self, now: float) -> None:
        """Close the connections whose idle time has expired."""
        for address in list(self._idle_by_address):
            idle_connections = self._idle_by_address[address]
            while idle_connections and idle_connections[0].is_expired(now):
                idle_connections.popleft().stream.close()
            if not idle_connections:
                self._idle_by_address.pop(address)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the number of idle connections and of their upstreams."""
        idle_count = sum(map(len, self._idle_by_address.values()))
        return {'upstreams': len(self._idle_by_address), 'kept': idle_count}

    async def _connect(
        self, address: Address, call: UpstreamCall
    ) -> iostream.IOStream | CallFailure:
        now = _now()
        if call.is_idempotent:
            idle_stream = self._take_idle(address, now)
            if idle_stream is not None:
                metrics.UPSTREAM_CONNECTIONS.inc({'use': 'reused'})
                return idle_stream
        timeout_s = min(self._connect_timeout_s, call.deadline - now)
        if timeout_s <= 0:
            return CallFailure(CallEnd.UNUSED, 'the deadline has passed')
        metrics.UPSTREAM_CONNECTIONS.inc({'use': 'opened'})
        return await _open_stream(address, timeout_s)

    def _take_idle(
        self, address: Address, now: float
    ) -> iostream.IOStream | None:
        idle_connections = self._idle_by_address.get(address)
        while idle_connections:
            idle = idle_connections.pop()
            if idle.is_expired(now):
                idle.stream.close()
                continue
            return idle.stream
        return None

    def _store_idle(self, address: Address, stream: iostream.IOStream) -> None:
        if stream.closed():
            return
        idle_connections = self._idle_by_address.setdefault(
            address, collections.deque()
        )
        if len(idle_connections) >= defaults.MAX_IDLE_CONNECTIONS:
            idle_connections.popleft().stream.close()
        idle_connections.append(
            _IdleConnection(stream, _now() + defaults.IDLE_CONNECTION_S)
        )


@final
class _IdleConnection:
    """An idle connection that may be reused."""

    def __init__(self, stream: iostream.IOStream, expires_at: float) -> None:
        """Watch for a close, which tornado only notices on a read."""
        self.stream = stream
        self._expires_at = expires_at
        # With this callback set, tornado waits for a read and so notices the
        # close. No data is expected on an idle connection.
        stream.set_close_callback(stream.close)

    def is_expired(self, now: float) -> bool:
        """Return whether the connection must not be reused."""
        return self.stream.closed() or now >= self._expires_at


@final
class _Exchange(httputil.HTTPMessageDelegate):
    """One request and its answer on a connection."""

    def __init__(
        self,
        stream: iostream.IOStream,
        params: http1connection.HTTP1ConnectionParameters,
        receiver: Receiver | None,
    ) -> None:
        self.is_reusable = False
        self._stream = stream
        self._params = params
        self._receiver = receiver
        self._head: UpstreamHead | None = None
        self._chunks: list[bytes] = []
        self._is_finished = False
        self._is_timed_out = False
        self._status_error = ''

    async def run(
        self, call: UpstreamCall, now: float
    ) -> UpstreamAnswer | CallFailure:
        """Send the call and read its answer, within the call's deadline."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(call.deadline - now, self._on_timeout)
        try:
            is_open = await self._send_and_read(call)
        except iostream.StreamClosedError as error:
            return self._fail(str(error))
        except asyncio.CancelledError:
            # The close signals the upstream to stop working on the call.
            self._stream.close()
            raise
        finally:
            timer.cancel()
        if self._status_error:
            return self._fail(self._status_error)
        if self._head is None or not self._is_finished:
            return self._fail('the answer was cut')
        if not _has_delimited_body(call.method, self._head):
            return self._fail('the answer has no clear end')
        closes = (self._head.find('Connection') or '').lower() == 'close'
        self.is_reusable = is_open and not closes
        return UpstreamAnswer(self._head, b''.join(self._chunks))

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the head of the answer; an invalid status breaks it."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        try:
            check_status(start_line.code)
        except httputil.HTTPInputError as error:
            self._status_error = str(error)
            # What has arrived after it is still read, and not used.
            self._stream.close()
        self._head = UpstreamHead(start_line.code, tuple(headers.get_all()))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a chunk of the body, or pass it to the receiver."""
        if self._status_error:
            return None
        head = self._head
        if self._receiver is None or head is None or head.status != _OK:
            self._chunks.append(chunk)
            return None
        return self._forward_chunk(self._receiver, head, chunk)

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._is_finished = True

    def on_connection_close(self) -> None:
        """Do nothing: the answer stays incomplete."""

    async def _forward_chunk(
        self, receiver: Receiver, head: UpstreamHead, chunk: bytes
    ) -> None:
        if not await receiver(head, chunk):
            self._stream.close()

    async def _send_and_read(self, call: UpstreamCall) -> bool:
        connection = http1connection.HTTP1Connection(
            self._stream, is_client=True, params=self._params
        )
        headers = httputil.HTTPHeaders()
        for name, value in call.headers:
            headers.add(name, value)
        if call.body or call.method in {'POST', 'PUT', 'PATCH'}:
            headers['Content-Length'] = str(len(call.body))
        start_line = httputil.RequestStartLine(
            call.method, call.path, 'HTTP/1.1'
        )
        # Read the answer even if the write fails: an upstream may reject a
        # request before it has read the whole body.
        connection.write_headers(start_line, headers, call.body)
        connection.finish()
        return await connection.read_response(self)

    def _on_timeout(self) -> None:
        self._is_timed_out = True
        self._stream.close()

    def _fail(self, detail: str) -> CallFailure:
        self._stream.close()
        if self._is_timed_out:
            return CallFailure(CallEnd.TIMED_OUT, 'the answer is late')
        return CallFailure(CallEnd.BROKEN, detail)


def _has_delimited_body(method: str, head: UpstreamHead) -> bool:
    """Return whether a truncated body would have been detected.

    A body that is delimited only by the close of the connection may have
    been truncated.
    """
    if method == 'HEAD' or head.status in _BODILESS_STATUSES:
        return True
    if head.find('Content-Length') is not None:
        return True
    return head.find('Transfer-Encoding') is not None


async def _open_stream(
    address: Address, timeout_s: float
) -> iostream.IOStream | CallFailure:
    opened = await open_stream(address, timeout_s)
    if isinstance(opened, Failure):
        return CallFailure(CallEnd.UNREACHABLE, opened.detail)
    return opened


def _now() -> float:
    return asyncio.get_running_loop().time()
