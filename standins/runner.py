"""A runner of the users' platform: plain, streaming, or of a stage."""

from __future__ import annotations

import asyncio
import http
import itertools
import json
from dataclasses import dataclass, field
from typing import Any

from tornado import httpserver, iostream, web

_ID = 'Damaskpoint-Request-Id'
_EXPECT = 'Damaskpoint-Expect-Instance'
_SEAL = 'Damaskpoint-Response-Seal'
_NOT_RUN = 'Damaskpoint-Not-Executed'
_MISDIRECTED = 421

ReceivedRequest = tuple[dict[str, str], bytes]
Entries = list[dict[str, Any]]


@dataclass(slots=True)
class RunnerState:
    """What a runner does, and what it has seen."""

    name: str
    # Seconds for an answer, an event, or a call of a stage.
    service_time_s: float = 0
    # Events of a stream; 0 for a plain answer.
    events: int = 0
    # Events after which a stream is cut; 0 for never.
    cut_after_events: int = 0
    is_full: bool = False
    # Pieces that fail before others are made.
    pieces_to_fail: int = 0
    status: int = http.HTTPStatus.OK
    # Headers and bodies of the requests that ran.
    requests: list[ReceivedRequest] = field(default_factory=list)
    # Requests whose connection closed while they ran.
    disconnected_ids: list[str] = field(default_factory=list)
    # Calls of a stage, each with its entries.
    batches: list[Entries] = field(default_factory=list)
    released: list[str] = field(default_factory=list)
    handles: itertools.count[int] = field(default_factory=itertools.count)


def create_runner_server(state: RunnerState) -> httpserver.HTTPServer:
    """Return a server of a runner's calls, not listening yet."""
    parts = {'state': state}
    return httpserver.HTTPServer(
        web.Application(
            [
                ('/v1/stage-run', _PiecesHandler, parts),
                ('/v1/stage-free', _ReleaseHandler, parts),
                ('/.*', _RunHandler, parts),
            ],
            log_function=_log_nothing,
        )
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Keep the calls out of the log."""


class _RunnerHandler(web.RequestHandler):
    """What all calls share."""

    def initialize(self, state: RunnerState) -> None:
        """Serve as this runner."""
        self.state = state

    def prepare(self) -> None:
        """Refuse what is meant for another runner, or is too much."""
        expected = self.request.headers.get(_EXPECT, self.state.name)
        if expected != self.state.name:
            self.set_status(_MISDIRECTED, 'Misdirected')
            self.finish()
            return
        if self.state.is_full:
            self.set_header(_NOT_RUN, '1')
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()


class _RunHandler(_RunnerHandler):
    """Runs a request."""

    async def get(self) -> None:
        """Run a request without a body."""
        await self._run()

    async def post(self) -> None:
        """Run a request with a body."""
        await self._run()

    def on_connection_close(self) -> None:
        """Note that nobody waits any more."""
        self.state.disconnected_ids.append(self.request.headers[_ID])

    async def _run(self) -> None:
        state = self.state
        headers = dict(self.request.headers.get_all())
        state.requests.append((headers, self.request.body))
        self.set_status(state.status)
        self.set_header(_ID, headers[_ID])
        self.set_header(_SEAL, f'seal-of-{state.name}')
        if not state.events:
            await asyncio.sleep(state.service_time_s)
            self.finish(f'{self.request.method} {self.request.uri}')
            return
        await self._stream(int(headers.get('Last-Event-Id', '0')) + 1)

    async def _stream(self, first: int) -> None:
        state = self.state
        self.set_header('Content-Type', 'text/event-stream')
        for number in range(first, state.events + 1):
            await asyncio.sleep(state.service_time_s)
            try:
                self.write(f'id: {number}\ndata: piece\n\n')
                await self.flush()
            except iostream.StreamClosedError:
                return
            if number == state.cut_after_events:
                self.request.connection.stream.close()  # type: ignore[union-attr]
                return
        self.finish()


class _PiecesHandler(_RunnerHandler):
    """Makes pieces of a stage."""

    async def post(self) -> None:
        """Make the pieces of a call."""
        state = self.state
        entries = json.loads(self.request.body)['Entries']
        state.batches.append(entries)
        await asyncio.sleep(state.service_time_s)
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
    """Takes results that are given up."""

    def post(self) -> None:
        """Note the results."""
        self.state.released.extend(json.loads(self.request.body)['Handles'])
        self.finish()
