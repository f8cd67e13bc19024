"""Gives each request of the callers' border its one final answer."""

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
    from damaskpoint.entry.parts import EntryParts
    from damaskpoint.journal.base import StoredAnswer

_DROPPED_HEADERS: Final = frozenset(
    ('connection', 'content-length', 'date', 'server', 'transfer-encoding')
)
_LABEL_OK: Final = 'ok'
_METHOD_NOT_ALLOWED: Final = http.HTTPStatus.METHOD_NOT_ALLOWED
_BODILESS: Final = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)


class AnsweringHandler(web.RequestHandler):
    """Writes answers, failures and events, and counts them once."""

    # Name of the kind of target in counters.
    kind = ''

    def begin(self, parts: EntryParts) -> None:
        """Start to measure a request."""
        self.parts = parts
        self.request_id = ''
        # Monotonic time in seconds.
        self.arrived_at = time.monotonic()
        # Done once the final answer has left this process.
        self.written: asyncio.Future[None] | None = None
        self._is_counted = False

    def fail(self, failure: Failure) -> None:
        """Give a failure as the final answer."""
        self.count(failure.code.value)
        self._set_common_headers()
        self.set_status(failure.kind.status)
        for name, value in problem.render_headers(failure).items():
            self.set_header(name, value)
        body = problem.encode_problem(failure, self.request_id)
        self.written = self.finish(body)

    def give(self, answer: StoredAnswer) -> None:
        """Give an upstream's whole answer as the final one."""
        self.count(_LABEL_OK)
        self._set_common_headers()
        self.set_status(answer.status)
        self.clear_header('Content-Type')
        for name, value in answer.headers:
            if name.lower() not in _DROPPED_HEADERS:
                self.add_header(name, value)
        self.set_header(protocol.HEADER_REQUEST_ID, self.request_id)
        has_body = answer.status not in _BODILESS
        self.written = self.finish(answer.body if has_body else None)

    def begin_events(self) -> None:
        """Begin an answer of server-sent events."""
        self._set_common_headers()
        self.set_header('Content-Type', protocol.MEDIA_EVENTS)
        self.set_header('Cache-Control', 'no-store')

    def end_events(self, last: bytes, label: str) -> None:
        """End an answer of server-sent events."""
        self.count(label)
        self.written = self.finish(last)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Give what tornado itself refuses the same form as the rest."""
        code = Code.INTERNAL
        if status_code == _METHOD_NOT_ALLOWED:
            code = Code.UNKNOWN_PATH
        failure = Failure(code, ran=Ran.UNKNOWN)
        if code is Code.UNKNOWN_PATH:
            failure = Failure(code, 'no such method')
        self.fail(failure)

    def count(self, code: str) -> None:
        if self._is_counted:
            return
        self._is_counted = True
        metrics.REQUESTS.inc({'kind': self.kind, 'code': code})
        seconds = time.monotonic() - self.arrived_at
        metrics.REQUEST_SECONDS.observe({'kind': self.kind}, seconds)

    def _set_common_headers(self) -> None:
        self.clear_header('Server')
        if self.request_id:
            self.set_header(protocol.HEADER_REQUEST_ID, self.request_id)
        if self.parts.shutdown.is_shutting_down:
            self.set_header('Connection', 'close')
