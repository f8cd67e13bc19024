"""HTTP server for callers that can close its idle connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from tornado import httpserver, httputil

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.http1connection import HTTP1Connection


@final
class CallerServer(httpserver.HTTPServer):
    """Tracks which connections have no request in progress."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start without connections; see ``HTTPServer`` for the arguments."""
        super().initialize(*args, **kwargs)
        self._idle_connections: dict[object, HTTP1Connection] = {}

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Wait for the next request of a connection, which is idle so far."""
        # tornado declares the interface, but always passes this class.
        self._idle_connections[server_conn] = request_conn  # type: ignore[assignment]
        return _RequestStart(
            super().start_request(server_conn, request_conn),
            self._idle_connections,
            server_conn,
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self._idle_connections.pop(server_conn, None)
        super().on_close(server_conn)

    def close_idle_connections(self) -> None:
        """Close all connections on which no request has arrived."""
        for connection in tuple(self._idle_connections.values()):
            connection.stream.close()


@final
class _RequestStart(httputil.HTTPMessageDelegate):
    """Marks a connection as busy once the head of a request has arrived."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        idle_connections: dict[object, HTTP1Connection],
        server_conn: object,
    ) -> None:
        """Pass everything on to ``inner``."""
        self._inner = inner
        self._idle_connections = idle_connections
        self._server_conn = server_conn

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Handle the head of a request."""
        self._idle_connections.pop(self._server_conn, None)
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a part of the body."""
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Handle the end of the request."""
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Handle a connection that closed before the end of the request."""
        self._inner.on_connection_close()
