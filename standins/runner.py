"""A simulated runner of the platform: plain, streaming, or of a stage."""

from __future__ import annotations

import asyncio
import http
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import Any

from tornado import httpserver, iostream, web

from standins.versions import FaultKind, ServiceVersion

_ID = 'Damaskpoint-Request-Id'
_EXPECT = 'Damaskpoint-Expect-Instance'
_SEAL = 'Damaskpoint-Response-Seal'
_NOT_RUN = 'Damaskpoint-Not-Executed'
_MISDIRECTED = 421

ReceivedRequest = tuple[dict[str, str], bytes]
Entries = list[dict[str, Any]]


@dataclass(slots=True)
class RunnerState:
    """The configured behaviour of a runner, and a record of its calls."""

    name: str
    # Seconds per plain answer, per stream event, or per stage call.
    service_time_s: float = 0
    # Number of events in a stream; 0 for a plain answer.
    events: int = 0
    # Event number after which a stream's connection closes; 0 for never.
    cut_after_events: int = 0
    is_full: bool = False
    # Seconds of the Retry-After header of a full runner's refusals, if any.
    pause_s: float | None = None
    # Whether all answers announce the runner's exit.
    is_leaving: bool = False
    # Header of all answers with the runner's load; empty for none.
    load: str = ''
    # Number of next requests that are refused as an input of theirs is gone.
    inputs_to_lose: int = 0
    # Number of next pieces that fail.
    pieces_to_fail: int = 0
    status: int = http.HTTPStatus.OK
    # Number of all requests and calls, refused ones included.
    calls: int = 0
    # Headers and bodies of the requests that were run.
    requests: list[ReceivedRequest] = field(default_factory=list)
    # Ids of requests whose connection closed while they ran.
    disconnected_ids: list[str] = field(default_factory=list)
    # Entries of each stage call.
    batches: list[Entries] = field(default_factory=list)
    released: list[str] = field(default_factory=list)
    # Time of the last release (monotonic seconds).
    released_at: float = 0
    handles: itertools.count[int] = field(default_factory=itertools.count)
    version: ServiceVersion = field(default_factory=ServiceVersion)


def create_runner_server(state: RunnerState) -> httpserver.HTTPServer:
    """Return a server of a runner's API, not listening yet."""
    handler_arguments = {'state': state}
    return httpserver.HTTPServer(
        web.Application(
            [
                ('/v1/stage-run', _PiecesHandler, handler_arguments),
                ('/v1/stage-free', _ReleaseHandler, handler_arguments),
                ('/.*', _RunHandler, handler_arguments),
            ],
            log_function=_log_nothing,
        )
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Suppress tornado's access log."""


class _RunnerHandler(web.RequestHandler):
    """The base of the runner's handlers."""

    def initialize(self, state: RunnerState) -> None:
        """Keep the runner's state."""
        self.state = state

    def prepare(self) -> None:
        """Refuse a request for another runner, or any while full."""
        self.state.calls += 1
        if self.state.is_leaving:
            self.set_header('Server-Leaving', '1')
        if self.state.load:
            self.set_header('Damaskpoint-Server-Load', self.state.load)
        expected = self.request.headers.get(_EXPECT, self.state.name)
        if expected != self.state.name:
            self.set_status(_MISDIRECTED, 'Misdirected')
            self.finish()
            return
        if self.state.is_full:
            self.set_header(_NOT_RUN, '1')
            if self.state.pause_s is not None:
                self.set_header('Retry-After', str(self.state.pause_s))
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()

    def cut(self) -> None:
        """Close the connection without the rest of the response."""
        # tornado declares the interface, which has no stream.
        self.request.connection.stream.close()  # type: ignore[union-attr]


class _RunHandler(_RunnerHandler):
    """Runs requests that aren't split into stages."""

    async def get(self) -> None:
        """Run a request without a body."""
        await self._run()

    async def post(self) -> None:
        """Run a request with a body."""
        await self._run()

    def on_connection_close(self) -> None:
        """Record that the caller disconnected."""
        self.state.disconnected_ids.append(self.request.headers[_ID])

    async def _run(self) -> None:
        state = self.state
        if state.inputs_to_lose:
            self._refuse_without_inputs()
            return
        headers = dict(self.request.headers.get_all())
        state.requests.append((headers, self.request.body))
        fault = state.version.begin(state.name, [headers[_ID]])
        try:
            await self._answer(headers, fault)
        finally:
            state.version.end([headers[_ID]], fault)

    async def _answer(
        self, headers: dict[str, str], fault: FaultKind | None
    ) -> None:
        state = self.state
        self.set_status(state.status)
        self.set_header(_ID, headers[_ID])
        self.set_header(_SEAL, f'seal-of-{state.name}')
        if state.events and fault is not FaultKind.FAILS:
            first = int(headers.get('Last-Event-Id', '0')) + 1
            await self._stream(first, fault)
            return
        time_s = state.version.slow_down(state.service_time_s, fault)
        await asyncio.sleep(time_s)
        if fault is FaultKind.CUTS:
            self.cut()
            return
        if fault is FaultKind.FAILS:
            self.set_status(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        self.finish(f'{self.request.method} {self.request.uri}')

    def _refuse_without_inputs(self) -> None:
        self.state.inputs_to_lose -= 1
        self.set_header(_NOT_RUN, '1')
        self.set_status(http.HTTPStatus.CONFLICT)
        self.finish()

    async def _stream(self, first: int, fault: FaultKind | None) -> None:
        state = self.state
        self.set_header('Content-Type', 'text/event-stream')
        for number in range(first, state.events + 1):
            time_s = state.version.slow_down(state.service_time_s, fault)
            await asyncio.sleep(time_s)
            try:
                self.write(f'id: {number}\ndata: piece\n\n')
                await self.flush()
            except iostream.StreamClosedError:
                return
            if number == state.cut_after_events or fault is FaultKind.CUTS:
                self.cut()
                return
        self.finish()


class _PiecesHandler(_RunnerHandler):
    """Runs stage calls of several pieces."""

    async def post(self) -> None:
        """Run the pieces of a call."""
        state = self.state
        entries = json.loads(self.request.body)['Entries']
        state.batches.append(entries)
        ids = [entry['Id'] for entry in entries]
        fault = state.version.begin(state.name, ids)
        time_s = state.version.slow_down(state.service_time_s, fault)
        await asyncio.sleep(time_s)
        state.version.end(ids, fault)
        if fault is FaultKind.CUTS:
            self.cut()
            return
        if fault is FaultKind.FAILS:
            state.pieces_to_fail = len(entries)
        made = []
        for _ in entries:
            if state.pieces_to_fail:
                state.pieces_to_fail -= 1
                made.append({'Reason': 'error'})
            else:
                handle = f'{state.name}/{next(state.handles)}'
                made.append({'Handle': handle})
        self.finish({'Entries': made})


class _ReleaseHandler(_RunnerHandler):
    """Releases results that are no longer needed."""

    def post(self) -> None:
        """Record the handles of the released results."""
        self.state.released_at = time.monotonic()
        self.state.released.extend(json.loads(self.request.body)['Handles'])
        self.finish()
