"""Base handler that sends the one final answer of each caller's request."""

from __future__ import annotations

import asyncio
import http
import time
from typing import TYPE_CHECKING, Final

from tornado import web

from damaskpoint import problem, protocol
from damaskpoint.entry import metrics
from damaskpoint.errors import Code, Failure, Ran

if TYPE_CHECKING:
    from damaskpoint.entry.handler_dependencies import HandlerDependencies
    from damaskpoint.journal.base import StoredAnswer

_DROPPED_HEADERS: Final = frozenset(
    ('connection', 'content-length', 'date', 'server', 'transfer-encoding')
)
_CODE_OK: Final = 'ok'
_METHOD_NOT_ALLOWED: Final = http.HTTPStatus.METHOD_NOT_ALLOWED
_STATUSES_WITHOUT_BODY: Final = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)


class AnsweringHandler(web.RequestHandler):
    """Sends answers, failures and events, and counts each request once."""

    # Kind of the target, as a label of metrics.
    kind = ''

    def start_request(self, dependencies: HandlerDependencies) -> None:
        """Initialize a request and start its timer."""
        self.dependencies = dependencies
        self.request_id = ''
        # Monotonic time in seconds.
        self.arrived_at = time.monotonic()
        # Done once the final answer is written to the connection.
        self.write_future: asyncio.Future[None] | None = None
        self._is_request_counted = False

    def send_failure(self, failure: Failure) -> None:
        """Send a failure as the final answer."""
        self.count_request(failure.code.value)
        self._set_common_headers()
        self.set_status(failure.kind.status)
        for name, value in problem.render_headers(failure).items():
            self.set_header(name, value)
        body = problem.encode_problem(failure, self.request_id)
        self.write_future = self.finish(body)

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send an upstream's complete answer as the final one."""
        self.count_request(_CODE_OK)
        self._set_common_headers()
        self.set_status(answer.status)
        self.clear_header('Content-Type')
        for name, value in answer.headers:
            if name.lower() not in _DROPPED_HEADERS:
                self.add_header(name, value)
        self.set_header(protocol.HEADER_REQUEST_ID, self.request_id)
        has_body = answer.status not in _STATUSES_WITHOUT_BODY
        self.write_future = self.finish(answer.body if has_body else None)

    def start_events(self) -> None:
        """Start an answer of server-sent events."""
        self._set_common_headers()
        self.set_header('Content-Type', protocol.MEDIA_EVENTS)
        self.set_header('Cache-Control', 'no-store')

    def finish_events(self, last: bytes, label: str) -> None:
        """Finish an answer of server-sent events."""
        self.count_request(label)
        self.write_future = self.finish(last)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send errors raised by tornado in the format of all other failures."""
        code = Code.INTERNAL
        if status_code == _METHOD_NOT_ALLOWED:
            code = Code.UNKNOWN_PATH
        failure = Failure(code, ran=Ran.UNKNOWN)
        if code is Code.UNKNOWN_PATH:
            failure = Failure(code, 'no such method')
        self.send_failure(failure)

    def count_request(self, code: str) -> None:
        """Count the request in the metrics; only the first call counts."""
        if self._is_request_counted:
            return
        self._is_request_counted = True
        metrics.REQUESTS.inc({'kind': self.kind, 'code': code})
        seconds = time.monotonic() - self.arrived_at
        metrics.REQUEST_SECONDS.observe({'kind': self.kind}, seconds)

    def _set_common_headers(self) -> None:
        self.clear_header('Server')
        if self.request_id:
            self.set_header(protocol.HEADER_REQUEST_ID, self.request_id)
        if self.dependencies.shutdown.is_shutting_down:
            self.set_header('Connection', 'close')
