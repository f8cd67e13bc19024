"""The base class of the HTTP handlers of all stand-ins."""

from __future__ import annotations

import http
import json

from tornado import iostream, web


class JsonHandler(web.RequestHandler):
    """A handler that sends JSON and can close its own connection."""

    def send_json(
        self, body: object, status: http.HTTPStatus = http.HTTPStatus.OK
    ) -> None:
        """Send a JSON body and finish the response."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body))

    def refuse(
        self, status: http.HTTPStatus, text: str, **more: object
    ) -> None:
        """Finish the response with an error status and the reason."""
        if status == http.HTTPStatus.TOO_MANY_REQUESTS:
            self.set_header('Retry-After', '1')
        self.send_json({'error': text, **more}, status)

    def drop(self) -> None:
        """Close the connection without a response."""
        connection = self.request.connection
        stream: iostream.IOStream | None
        stream = getattr(connection, 'stream', None)
        if stream is not None:
            stream.close()

    def send_error(self, status_code: int = 500, **kwargs: object) -> None:
        """Send an error, unless the connection was dropped."""
        if self.request.connection is None:
            return
        super().send_error(status_code, **kwargs)
