"""HTTP server for callers that ends its connections in a shutdown.

A caller may send its next request at any time on a connection that is open, so
a connection is closed only while nothing of a request has arrived on it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, Any, Final, final

from tornado import httpserver, httputil

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.http1connection import HTTP1Connection
    from tornado.iostream import IOStream

_LOG: Final = logging.getLogger(__name__)


@final
class CallerServer(httpserver.HTTPServer):
    """Tracks which connections have no request in progress."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start without connections; see ``HTTPServer`` for the arguments."""
        super().initialize(*args, **kwargs)
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
        return _RequestReceiver(
            super().start_request(server_conn, request_conn),
            connection.stream,
            server_conn,
            self._idle,
            self._receiving,
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self._current_by_connection.pop(server_conn, None)
        self._idle.discard(server_conn)
        self._receiving.discard(server_conn)
        super().on_close(server_conn)

    def close_idle_connections(self) -> None:
        """Close all connections on which nothing has arrived."""
        for server_conn in tuple(self._idle):
            self._close_if_silent(server_conn)

    def _close_if_silent(self, server_conn: object) -> None:
        if server_conn not in self._idle:
            return
        stream = self._current_by_connection[server_conn].stream
        if _is_silent(stream):
            stream.close()


@final
class _RequestReceiver(httputil.HTTPMessageDelegate):
    """Tracks how far the request of a connection has arrived."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        stream: IOStream,
        server_conn: object,
        idle: set[object],
        receiving: set[object],
    ) -> None:
        """Pass everything on to ``inner``."""
        self._inner = inner
        self._stream = stream
        self._server_conn = server_conn
        self._idle = idle
        self._receiving = receiving

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Handle the head of a request."""
        self._idle.discard(self._server_conn)
        self._receiving.add(self._server_conn)
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a part of the body."""
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Handle the end of the request."""
        self._receiving.discard(self._server_conn)
        if self._stream.closed():
            # tornado still parses what it had read before the close.
            _LOG.info('request dropped, its connection is closed')
            self._inner.on_connection_close()
            return
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Handle a connection that closed before the end of the request."""
        self._receiving.discard(self._server_conn)
        self._inner.on_connection_close()


def _is_silent(stream: IOStream) -> bool:
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
