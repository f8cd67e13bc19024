"""HTTP server for callers that ends its connections in a shutdown.

A caller may send its next request at any time on a connection that is open, so
a connection is closed only while nothing of a request has arrived on it.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
import sys
import time
from typing import TYPE_CHECKING, Any, Final, final

from tornado import httpserver, httputil, iostream

from damaskpoint import defaults, protocol
from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding.caller_answer import encode_failure
from damaskpoint.gateway import intake_metrics
from damaskpoint.gateway.intake import Intake, create_limits

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.http1connection import HTTP1Connection

    from damaskpoint.gateway.intake import Upload

_LOG: Final = logging.getLogger(__name__)
_DIGITS: Final = re.compile('[0-9]{1,18}')
# How long a refusal may take, and the caller may then read it (seconds).
_REFUSAL_S: Final = 1.0
# Limits of a server that is given none.
_ANY_MEMORY_MB: Final = 1_024
_ANY_FDS: Final = 8_192


@final
class CallerServer(httpserver.HTTPServer):
    """Tracks which connections have no request in progress."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start without connections; see ``HTTPServer`` for the arguments."""
        self.intake: Intake = kwargs.pop('intake', None) or Intake(
            create_limits(_ANY_MEMORY_MB, _ANY_FDS)
        )
        self._find_max_body_bytes: Callable[[], int] = kwargs.pop(
            'find_max_body_bytes', lambda: defaults.MAX_BODY_BYTES
        )
        # The limit is checked here; tornado would answer with a 400.
        kwargs['max_body_size'] = sys.maxsize
        super().initialize(*args, **kwargs)
        self._receivers_by_upload: dict[Upload, _RequestReceiver] = {}
        self._streams_by_upload: dict[Upload, iostream.IOStream] = {}
        self._uploads_by_stream: dict[iostream.IOStream, Upload] = {}
        # The present or the next request of each connection.
        self._current_by_connection: dict[object, HTTP1Connection] = {}
        # Connections without the head of a request.
        self._idle: set[object] = set()
        # Connections with the head of a request, but not yet its whole body.
        self._receiving: set[object] = set()
        self._is_shutting_down = False

    @property
    def arriving_count(self) -> int:
        """Return how many requests have arrived at least in part.

        Requests that are being served are not included, and neither are those
        of which only a part of the head has been read.
        """
        count = len(self._receiving)
        for server_conn in self._idle:
            stream = self._current_by_connection[server_conn].stream
            if not _is_silent(stream):
                count += 1
        return count

    @property
    def max_body_bytes(self) -> int:
        """Return the limit on the body of a request."""
        return self._find_max_body_bytes()

    def begin_shutdown(self) -> None:
        """Close each connection at the end of the answer in progress."""
        self._is_shutting_down = True

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Wait for the next request of a connection, which is idle so far."""
        # tornado declares the interface, but always passes this class.
        connection: HTTP1Connection = request_conn  # type: ignore[assignment]
        previous = self._current_by_connection.get(server_conn)
        self._current_by_connection[server_conn] = connection
        self._idle.add(server_conn)
        if previous is not None and previous.no_keep_alive:
            # The caller was told that nothing further is served here.
            connection.stream.close()
        elif previous is not None and self._is_shutting_down:
            # The next request is only read after this call.
            asyncio.get_running_loop().call_soon(
                self._close_if_silent, server_conn
            )
        upload = self._uploads_by_stream[connection.stream]
        self.intake.end_request(upload, time.monotonic())
        receiver = _RequestReceiver(self, server_conn, connection, upload)
        self._receivers_by_upload[upload] = receiver
        return receiver

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serve a new connection; close another one if there are too many."""
        upload = self.intake.open(time.monotonic())
        self._uploads_by_stream[stream] = upload
        self._streams_by_upload[upload] = stream
        super().handle_stream(stream, address)
        surplus = self.intake.choose_surplus()
        if surplus is not None:
            self._evict(surplus)

    def begin_receiving(
        self, server_conn: object, upload: Upload, length: int | None
    ) -> None:
        """Record that the head of a request has arrived."""
        self._idle.discard(server_conn)
        self._receiving.add(server_conn)
        self.intake.begin_body(upload, length, time.monotonic())

    def finish_receiving(self, server_conn: object, upload: Upload) -> None:
        """Record that the body of a request has arrived or will not."""
        self._receiving.discard(server_conn)
        self.intake.finish_body(upload)

    def handle_request(self, request: httputil.HTTPServerRequest) -> None:
        """Serve a request that is complete."""
        # tornado declares also a delegate, which is not used here.
        self.request_callback(request)  # type: ignore[operator]

    def record_refusal(self, upload: Upload, failure: Failure) -> None:
        """Release the bytes of a request that is refused."""
        _LOG.info(
            'refused, body not complete',
            extra={
                'code': failure.code.value,
                'received_bytes': upload.held_bytes,
                'length': upload.length,
                'all_held_bytes': self.intake.held_bytes,
                'connections': self.intake.connections,
            },
        )
        intake_metrics.REFUSED.inc({'code': failure.code.value})
        self.intake.refuse(upload)

    def advance_intake(self, now: float) -> None:
        """Refuse stalled uploads; let others continue if there is room."""
        actions = self.intake.advance(now)
        for upload, failure in actions.refused:
            self._receivers_by_upload[upload].refuse(failure)
        for resumed in actions.resumed:
            self._receivers_by_upload[resumed].resume()

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self._current_by_connection.pop(server_conn, None)
        self._idle.discard(server_conn)
        self._receiving.discard(server_conn)
        # tornado declares the interface, but always passes this class.
        stream = server_conn.stream  # type: ignore[attr-defined]
        upload = self._uploads_by_stream.pop(stream)
        self._streams_by_upload.pop(upload)
        self._receivers_by_upload.pop(upload, None)
        self.intake.close(upload)
        super().on_close(server_conn)

    def close_idle_connections(self) -> None:
        """Close all connections on which nothing has arrived."""
        for server_conn in tuple(self._idle):
            self._close_if_silent(server_conn)

    def _evict(self, upload: Upload) -> None:
        """Close a connection whose request, if any, has not run."""
        intake_metrics.EVICTED.inc({})
        _LOG.info(
            'connection closed, there are too many',
            extra={
                'phase': upload.phase.value,
                'received_bytes': upload.held_bytes,
                'connections': self.intake.connections,
            },
        )
        self.intake.close(upload)
        self._streams_by_upload[upload].close()
        receiver = self._receivers_by_upload.get(upload)
        if receiver is not None:
            receiver.resume()

    def _close_if_silent(self, server_conn: object) -> None:
        if server_conn not in self._idle:
            return
        stream = self._current_by_connection[server_conn].stream
        if _is_silent(stream):
            stream.close()


@final
class _RequestReceiver(httputil.HTTPMessageDelegate):
    """Receives the request of a connection within the limits."""

    def __init__(
        self,
        server: CallerServer,
        server_conn: object,
        connection: HTTP1Connection,
        upload: Upload,
    ) -> None:
        """Receive a request; ``upload`` counts its bytes."""
        self._server = server
        self._server_conn = server_conn
        self._connection = connection
        self.upload = upload
        self._request: httputil.HTTPServerRequest | None = None
        # One buffer: separate objects for small chunks need many times their
        # size.
        self._body = bytearray()
        self._resumed: asyncio.Future[None] | None = None
        self._refusal: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Handle the head of a request; refuse a body over the limit."""
        # tornado declares both classes, but always passes this one.
        line: httputil.RequestStartLine = start_line  # type: ignore[assignment]
        length_text = headers.get('Content-Length', '')
        length = int(length_text) if _DIGITS.fullmatch(length_text) else None
        if length is None and 'Transfer-Encoding' not in headers:
            length = 0
        self._server.begin_receiving(self._server_conn, self.upload, length)
        self._request = httputil.HTTPServerRequest(
            connection=self._connection, start_line=line, headers=headers
        )
        if length is not None and length > self._server.max_body_bytes:
            return self.refuse(Failure(Code.BODY_TOO_LARGE))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a part of the body; reading waits for the result."""
        if self._refusal is not None:
            return self._refusal
        if len(self._body) + len(chunk) > self._server.max_body_bytes:
            return self.refuse(Failure(Code.BODY_TOO_LARGE))
        self._body += chunk
        self._server.intake.receive(self.upload, len(chunk), time.monotonic())
        if not self.upload.is_paused:
            return None
        self._resumed = asyncio.get_running_loop().create_future()
        return self._resumed

    def finish(self) -> None:
        """Handle the end of the request."""
        self._server.finish_receiving(self._server_conn, self.upload)
        if self._refusal is not None:
            return
        if self._connection.stream.closed():
            # tornado still parses what it had read before the close.
            _LOG.info('request dropped, its connection is closed')
            self._drop()
            return
        request = self._request
        assert request is not None
        request.body = bytes(self._body)
        self._drop()
        self._server.handle_request(request)

    def on_connection_close(self) -> None:
        """Handle a connection that closed before the end of the request."""
        self._server.finish_receiving(self._server_conn, self.upload)
        self._drop()

    def resume(self) -> None:
        """Continue to read."""
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)
        self._resumed = None

    def refuse(self, failure: Failure) -> asyncio.Task[None]:
        """Answer with a failure and close; nothing of the request has run."""
        if self._refusal is None:
            self._server.record_refusal(self.upload, failure)
            self._refusal = asyncio.ensure_future(self._send_refusal(failure))
        self._drop()
        return self._refusal

    def _drop(self) -> None:
        self._request = None
        self._body = bytearray()

    async def _send_refusal(self, failure: Failure) -> None:
        stream = self._connection.stream
        try:
            async with asyncio.timeout(_REFUSAL_S):
                await stream.write(_encode_refusal(failure))
                # A close with unread bytes resets the connection, and the
                # caller may then lose the answer: it gets time to read it.
                stream.socket.shutdown(socket.SHUT_WR)
                await asyncio.sleep(_REFUSAL_S)
        except (iostream.StreamClosedError, OSError) as error:
            # Includes TimeoutError, the usual end.
            _LOG.debug('refusal ended', extra={'error': repr(error)})
        finally:
            stream.close()
            self.resume()


def _encode_refusal(failure: Failure) -> bytes:
    body = encode_failure(failure)
    status = failure.kind.status
    lines = [
        f'HTTP/1.1 {status.value} {status.phrase}',
        f'Content-Type: {protocol.MEDIA_JSON}',
        f'Content-Length: {len(body)}',
        'Connection: close',
    ]
    if failure.retry_after_s is not None:
        lines.append(
            f'{protocol.HEADER_RETRY_AFTER}: {failure.retry_after_s:.3f}'
        )
    return '\r\n'.join((*lines, '', '')).encode() + body


def _is_silent(stream: iostream.IOStream) -> bool:
    """Return whether no bytes of a request are known to have arrived."""
    if stream.closed():
        return True
    if not stream.reading():
        # A head was read and will be handled in the next step of the loop.
        return False
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError as error:
        _LOG.debug('connection failed', extra={'error': repr(error)})
        return True
