"""Base handler that validates, authenticates and admits requests."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING, Final

from tornado import web
from tornado.iostream import StreamClosedError

from damaskpoint import defaults
from damaskpoint.admission.base import AdmissionPass, AdmissionRequest
from damaskpoint.entry.answering_handler import AnsweringHandler
from damaskpoint.entry.caller_input import (
    CallerHeaders,
    authenticate,
    choose_deadline_s,
    read_headers,
)
from damaskpoint.entry.in_flight import RequestRecord
from damaskpoint.errors import Code, Failure, FailureError

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.http1connection import HTTP1Connection

    from damaskpoint.config.model import Account, Configuration
    from damaskpoint.entry.handler_dependencies import HandlerDependencies

# A body of up to this many times the limit is read in full and discarded, so
# that the caller receives the failure; beyond that, the connection is closed.
_MAX_DRAIN_FACTOR: Final = 8
_MAX_LENGTH_DIGITS: Final = 18


@web.stream_request_body
class CallerHandler(AnsweringHandler):
    """Reads, validates and admits a request, and sends one final answer."""

    def initialize(self, dependencies: HandlerDependencies) -> None:
        """Initialize the request with an empty body."""
        self.start_request(dependencies)
        # tornado declares the interface, but always passes this class.
        connection: HTTP1Connection = self.request.connection  # type: ignore[assignment]
        self._stream = connection.stream
        self.deadline: float = 0
        self.body = bytearray()
        self._input_headers: CallerHeaders | None = None
        self._read_bytes = 0
        self._serve_task: asyncio.Future[None] | None = None

    def prepare(self) -> None:
        """Validate the headers before the body arrives."""
        length = self.request.headers.get('Content-Length', '')
        max_drained_bytes = (
            _MAX_DRAIN_FACTOR * self.dependencies.border.max_body_bytes
        )
        # Longer numbers than these cannot be parsed, nor are they in the limit.
        is_huge = len(length) > _MAX_LENGTH_DIGITS
        if length.isdecimal() and (is_huge or int(length) > max_drained_bytes):
            self.send_failure(self._make_too_large_failure())
            return
        headers = read_headers(self.request.headers)
        if isinstance(headers, Failure):
            self.send_failure(headers)
            return
        self._input_headers = headers
        self.request_id = headers.request_id or uuid.uuid4().hex
        has_body = length or 'Transfer-Encoding' in self.request.headers
        self.dependencies.callers.begin_body(
            self._stream,
            self,
            _read_length(length, has_body=bool(has_body)),
        )

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer a chunk of the body, up to the limit.

        Reading waits for the result.
        """
        self._read_bytes += len(chunk)
        max_bytes = self.dependencies.border.max_body_bytes
        if self._read_bytes <= max_bytes:
            self.body.extend(chunk)
            return self.dependencies.callers.receive(self._stream, len(chunk))
        if self.body:
            self.dependencies.callers.discard_body(self._stream)
        self.body.clear()
        if (
            self._read_bytes > _MAX_DRAIN_FACTOR * max_bytes
            and not self._finished
        ):
            self.send_failure(self._make_too_large_failure())
        return None

    def refuse_body(self, failure: Failure) -> None:
        """Answer with a failure; the body is not complete."""
        self.body.clear()
        if not self._finished:
            self.send_failure(failure)

    def on_finish(self) -> None:
        """Release the body of an answered request."""
        self.dependencies.callers.end_request(self._stream)

    def on_connection_close(self) -> None:
        """Cancel the work for a caller that has disconnected."""
        if self._serve_task is not None:
            self._serve_task.cancel()

    async def run_request(self, *target: str) -> None:
        """Serve the request and send its one final answer."""
        self.dependencies.callers.finish_body(self._stream)
        self._serve_task = asyncio.ensure_future(self._serve_tracked(target))
        try:
            await self._serve_task
        except asyncio.CancelledError:
            self.count_request(Code.CALLER_LEFT.value)
        except StreamClosedError:
            self.count_request(Code.CALLER_LEFT.value)

    async def serve(
        self,
        configuration: Configuration,
        account: Account,
        target: tuple[str, ...],
    ) -> None:
        """Serve a request of an authenticated client account."""
        raise NotImplementedError

    async def admit(
        self, account: Account, target: str, max_ms: int
    ) -> AdmissionPass:
        """Set the deadline and return an admission pass.

        Raises ``FailureError`` if the request is refused.
        """
        headers = self.input_headers
        deadline_s = choose_deadline_s(headers.deadline_ms, max_ms)
        self.deadline = self.arrived_at + deadline_s
        admitted = await self.dependencies.admission.admit(
            AdmissionRequest(
                self.request_id,
                account.name,
                target,
                self.arrived_at,
                self.deadline,
            )
        )
        if isinstance(admitted, Failure):
            raise FailureError(admitted)
        return admitted

    @property
    def input_headers(self) -> CallerHeaders:
        """Return the headers, which are validated before the body arrives."""
        assert self._input_headers is not None
        return self._input_headers

    def current_step(self) -> str:
        """Return the step that the request has reached, for the state dump."""
        return ''

    async def _serve_tracked(self, target: tuple[str, ...]) -> None:
        record = RequestRecord(
            self.request_id,
            self.input_headers.account,
            '/'.join(target),
            self.arrived_at,
            self.deadline,
            self.current_step,
        )
        number = self.dependencies.in_flight.add(record)
        try:
            await self._serve_and_flush(target)
        except BaseException:
            self.dependencies.in_flight.remove(number)
            raise
        self.dependencies.in_flight.remove(number)

    async def _serve_and_flush(self, target: tuple[str, ...]) -> None:
        """Serve the request, and wait until its answer is written.

        Otherwise a shutdown would truncate an answer to a slow caller.
        """
        try:
            await self._check_and_serve(target)
        except FailureError as error:
            self.send_failure(error.failure)
        if self.write_future is not None:
            await asyncio.wait(
                (self.write_future,), timeout=defaults.ANSWER_WRITE_TIMEOUT_S
            )

    async def _check_and_serve(self, target: tuple[str, ...]) -> None:
        if self._read_bytes > self.dependencies.border.max_body_bytes:
            raise FailureError(self._make_too_large_failure())
        configuration = self._require_configuration()
        account = authenticate(configuration, self.input_headers)
        if isinstance(account, Failure):
            raise FailureError(account)
        await self.serve(configuration, account, target)

    def _require_configuration(self) -> Configuration:
        """Return the configuration in force, or raise why there is none."""
        not_ready = self.dependencies.follower.check_ready(time.monotonic())
        if not_ready is not None:
            raise FailureError(not_ready)
        configuration = self.dependencies.follower.current
        if configuration is None:
            raise FailureError(Failure(Code.NOT_READY))
        return configuration

    def _make_too_large_failure(self) -> Failure:
        max_bytes = self.dependencies.border.max_body_bytes
        return Failure(Code.BODY_TOO_LARGE, f'above {max_bytes} bytes')


def _read_length(length: str, *, has_body: bool) -> int | None:
    """Return the length of a body, or None if it is not known."""
    if length.isdecimal():
        return int(length)
    return None if has_body else 0
