"""A simulated model runner that crashes on prompts with a certain part."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

_HEAD_END: Final = b'\r\n\r\n'
_ID_PREFIX: Final = 'damaskpoint-request-id:'
_PROMPT_PREFIX: Final = 'damaskpoint-prompt-prefix:'
_LENGTH_PREFIX: Final = 'content-length:'
_EVENTS: Final = 5
_EVENT_INTERVAL_S: Final = 0.01
# Time from the head of an answer to a crash (seconds).
_CRASH_DELAY_S: Final = 0.03


@dataclass(slots=True)
class RunnerFleet:
    """What the runners of a service share, and a record of their requests."""

    # A prompt with this part crashes each runner; None for no part.
    crashing_part: str | None
    # Time from a crash to the restart (seconds).
    restart_s: float
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
        request_id = _find(request, _ID_PREFIX)
        writer.write(
            (
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'Damaskpoint-Request-Id: {request_id}\r\n'
                'Damaskpoint-Response-Seal: seal\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        if is_crashing:
            await asyncio.sleep(_CRASH_DELAY_S)
            if writer in self._writers:
                self.crash()
            return
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            event = f'id: {number}\ndata: piece\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    def _is_crashing(self, request: str) -> bool:
        prompt = _find(request, _PROMPT_PREFIX) or ''
        part_ids = [part.partition(':')[0] for part in prompt.split(',')]
        return self._fleet.crashing_part in part_ids


def _find(request: str, prefix: str) -> str | None:
    for line in request.splitlines():
        if line.lower().startswith(prefix):
            return line[len(prefix) :].strip()
    return None
