"""What all handlers of the callers' border share."""

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
    from damaskpoint.config.model import Account, Configuration
    from damaskpoint.entry.parts import EntryParts

# A body up to this many times the bound is read to its end, unkept, so that
# the caller gets the refusal; above it the connection closes.
_DRAINED_BODIES: Final = 8


@web.stream_request_body
class CallerHandler(AnsweringHandler):
    """Reads, checks and admits a request, and gives one final answer."""

    def initialize(self, parts: EntryParts) -> None:
        """Start without a body."""
        self.begin(parts)
        self.deadline: float = 0
        self.body = bytearray()
        self._input_headers: CallerHeaders | None = None
        self._read_bytes = 0
        self._work: asyncio.Future[None] | None = None

    def prepare(self) -> None:
        """Read the headers before the body."""
        length = self.request.headers.get('Content-Length', '')
        drained = _DRAINED_BODIES * self.parts.border.max_body_bytes
        if length.isdecimal() and int(length) > drained:
            self.fail(self._too_large())
            return
        headers = read_headers(self.request.headers)
        if isinstance(headers, Failure):
            self.fail(headers)
            return
        self._input_headers = headers
        self.request_id = headers.request_id or uuid.uuid4().hex

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body, up to the bound."""
        self._read_bytes += len(chunk)
        bound = self.parts.border.max_body_bytes
        if self._read_bytes <= bound:
            self.body.extend(chunk)
            return
        self.body.clear()
        if self._read_bytes > _DRAINED_BODIES * bound and not self._finished:
            self.fail(self._too_large())

    def on_connection_close(self) -> None:
        """End the work of a caller that has left."""
        if self._work is not None:
            self._work.cancel()

    async def run_request(self, *target: str) -> None:
        """Serve the request and give its one final answer."""
        self._work = asyncio.ensure_future(self._serve_counted(target))
        try:
            await self._work
        except asyncio.CancelledError:
            self.count(Code.CALLER_LEFT.value)
        except StreamClosedError:
            self.count(Code.CALLER_LEFT.value)

    async def serve(
        self,
        configuration: Configuration,
        account: Account,
        target: tuple[str, ...],
    ) -> None:
        """Serve a request of a known client account."""
        raise NotImplementedError

    async def admit(
        self, account: Account, target: str, longest_ms: int
    ) -> AdmissionPass:
        """Return a pass; sets the deadline. Raises the refusal."""
        headers = self.input_headers
        deadline_s = choose_deadline_s(headers.deadline_ms, longest_ms)
        self.deadline = self.arrived_at + deadline_s
        admitted = await self.parts.admission.admit(
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
        """Return the headers; they were read before the body."""
        assert self._input_headers is not None
        return self._input_headers

    def place(self) -> str:
        """Return where the request is now, for the dump."""
        return ''

    async def _serve_counted(self, target: tuple[str, ...]) -> None:
        record = RequestRecord(
            self.request_id,
            self.input_headers.account,
            '/'.join(target),
            self.arrived_at,
            self.deadline,
            self.place,
        )
        number = self.parts.in_flight.add(record)
        try:
            await self._serve_and_write(target)
        except BaseException:
            self.parts.in_flight.remove(number)
            raise
        self.parts.in_flight.remove(number)

    async def _serve_and_write(self, target: tuple[str, ...]) -> None:
        """Serve, and wait until the caller has the answer.

        A shutdown would cut an answer that still waits for a slow caller.
        """
        try:
            await self._serve_checked(target)
        except FailureError as error:
            self.fail(error.failure)
        if self.written is not None:
            await asyncio.wait(
                (self.written,), timeout=defaults.ANSWER_WRITE_TIMEOUT_S
            )

    async def _serve_checked(self, target: tuple[str, ...]) -> None:
        if self._read_bytes > self.parts.border.max_body_bytes:
            raise FailureError(self._too_large())
        configuration = self._find_configuration()
        account = authenticate(configuration, self.input_headers)
        if isinstance(account, Failure):
            raise FailureError(account)
        await self.serve(configuration, account, target)

    def _find_configuration(self) -> Configuration:
        """Return the configuration in force; raise why there is none."""
        not_ready = self.parts.follower.check_ready(time.monotonic())
        if not_ready is not None:
            raise FailureError(not_ready)
        configuration = self.parts.follower.current
        if configuration is None:
            raise FailureError(Failure(Code.NOT_READY))
        return configuration

    def _too_large(self) -> Failure:
        bound = self.parts.border.max_body_bytes
        return Failure(Code.BODY_TOO_LARGE, f'above {bound} bytes')
