"""A simulated model runner that crashes on prompts with a certain part."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass, field
from typing import Final

_HEAD_END: Final = b'\r\n\r\n'
_ID_PREFIX: Final = 'damaskpoint-request-id:'
_PROMPT_PREFIX: Final = 'damaskpoint-prompt-prefix:'
_LENGTH_PREFIX: Final = 'content-length:'
_EVENTS: Final = 5
_EVENT_INTERVAL_S: Final = 0.01
# Event after which an answer crashes its runner.
_CRASHING_EVENT: Final = 2
# Time from the head of an answer to a crash (seconds).
_CRASH_DELAY_S: Final = 0.03


class CrashPoint(enum.Enum):
    """What of an answer is sent before the runner crashes."""

    NOTHING = 'nothing'
    HEAD = 'head'
    PART_OF_EVENT = 'part of an event'
    EVENTS = 'events'


@dataclass(slots=True)
class RunnerFleet:
    """What the runners of a service share, and a record of their requests."""

    # A prompt with this part crashes each runner; None for no part.
    crashing_part: str | None
    # Time from a crash to the restart (seconds).
    restart_s: float
    # What of the answer the caller gets before a crash.
    crash_point: CrashPoint = CrashPoint.HEAD
    # Times of the crashes, and of the arrivals of requests with the part
    # (seconds of the event loop).
    crashed_at: list[float] = field(default_factory=list)
    reached_at: list[float] = field(default_factory=list)


class CrashingRunner:
    """One runner; a crash closes all of its connections."""

    def __init__(self, fleet: RunnerFleet, host: str) -> None:
        """Create a runner that does not listen yet."""
        self._fleet = fleet
        self._host = host
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen, at the same port as before."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Close all connections; listen again after the restart."""
        if self._server is None:
            return
        self.close()
        loop = asyncio.get_running_loop()
        self._fleet.crashed_at.append(loop.time())
        loop.call_later(self._fleet.restart_s, self._restart)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    def _restart(self) -> None:
        self._starting = asyncio.ensure_future(self.start())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one request of a connection."""
        self._writers.add(writer)
        try:
            await self._answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The caller left, or the runner has crashed meanwhile.
            self._writers.discard(writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = (await reader.readuntil(_HEAD_END)).decode('latin-1')
        await reader.readexactly(int(_find(request, _LENGTH_PREFIX) or 0))
        is_crashing = self._is_crashing(request)
        if is_crashing:
            self._fleet.reached_at.append(asyncio.get_running_loop().time())
        point = self._fleet.crash_point
        if is_crashing and point is CrashPoint.NOTHING:
            await self._crash_later(writer)
            return
        request_id = _find(request, _ID_PREFIX)
        writer.write(
            (
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'Damaskpoint-Request-Id: {request_id}\r\n'
                'Damaskpoint-Response-Seal: seal\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        if not is_crashing:
            await _write_events(writer, _EVENTS)
            writer.write(b'0\r\n\r\n')
            return
        if point is CrashPoint.EVENTS:
            await _write_events(writer, _CRASHING_EVENT)
        elif point is CrashPoint.PART_OF_EVENT:
            _write_chunk(writer, b'id: 1\ndata: pi')
        await self._crash_later(writer)

    async def _crash_later(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(_CRASH_DELAY_S)
        if writer in self._writers:
            self.crash()

    def _is_crashing(self, request: str) -> bool:
        prompt = _find(request, _PROMPT_PREFIX) or ''
        part_ids = [part.partition(':')[0] for part in prompt.split(',')]
        return self._fleet.crashing_part in part_ids


async def _write_events(writer: asyncio.StreamWriter, count: int) -> None:
    for number in range(1, count + 1):
        await asyncio.sleep(_EVENT_INTERVAL_S)
        _write_chunk(writer, f'id: {number}\ndata: piece\n\n'.encode())
        await writer.drain()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b'%x\r\n%b\r\n' % (len(data), data))


def _find(request: str, prefix: str) -> str | None:
    for line in request.splitlines():
        if line.lower().startswith(prefix):
            return line[len(prefix) :].strip()
    return None
