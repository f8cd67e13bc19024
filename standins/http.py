"""What the handlers of all stand-ins share."""

from __future__ import annotations

import http
import json

from tornado import iostream, web


class JsonHandler(web.RequestHandler):
    """Answers JSON and can break its own connection."""

    def answer(
        self, body: object, status: http.HTTPStatus = http.HTTPStatus.OK
    ) -> None:
        """Send a JSON body and end the answer."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body))

    def refuse(
        self, status: http.HTTPStatus, text: str, **more: object
    ) -> None:
        """End the answer with a status and the reason."""
        if status == http.HTTPStatus.TOO_MANY_REQUESTS:
            self.set_header('Retry-After', '1')
        self.answer({'error': text, **more}, status)

    def drop(self) -> None:
        """Close the connection without an answer."""
        connection = self.request.connection
        stream: iostream.IOStream | None
        stream = getattr(connection, 'stream', None)
        if stream is not None:
            stream.close()

    def send_error(self, status_code: int = 500, **kwargs: object) -> None:
        """Stay silent on a connection that was dropped."""
        if self.request.connection is None:
            return
        super().send_error(status_code, **kwargs)
