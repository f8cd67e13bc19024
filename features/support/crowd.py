"""Many callers that send all they can to one process and stay connected."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time
from typing import TYPE_CHECKING, Any, Final

from features.support.process_site import encode_head

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterator

    # Pieces to send; None waits until all callers have come so far.
    Pieces = Iterator[bytes | None]

_SLICE_BYTES: Final = 65_536
_PIECE_BYTES: Final = 1_000
_SMALL_CHUNK_BYTES: Final = 64
_SMALL_CHUNKS_BYTES: Final = 1_400_000
_FAR_OVER_BYTES: Final = 1_000_000_000
_OVER_FACTOR: Final = 3
_HEAD_BYTES: Final = 15_000
_PIPELINED: Final = 500
# Of so many callers, one sends its body to the end.
_COMPLETE_EVERY: Final = 10
# Receive buffer of a caller that hardly reads, what it reads and how often.
_RECEIVE_BYTES: Final = 4_096
_READ_BYTES: Final = 512
_READ_INTERVAL_S: Final = 0.2
# Of so many callers that hardly read, one reads a little.
_READER_EVERY: Final = 3
# The crowd has done what it can after so much time without any progress, at
# the latest after the second time (seconds).
_QUIET_S: Final = 3.0
_LIMIT_S: Final = 150.0
# A process that uses this share of a processor still works on what was sent.
_BUSY_SHARE: Final = 0.3
_BUSY_WINDOW_S: Final = 1.0
_STEP_S: Final = 0.05
_CHUNKED: Final = 'Transfer-Encoding: chunked'


class Crowd:
    """Callers of one process."""

    def __init__(
        self,
        address: tuple[str, int],
        max_body_bytes: int,
        path: str = '/plain/1',
    ) -> None:
        """Prepare callers that post to a path; none is connected yet."""
        self._post_line = f'POST {path} HTTP/1.1'
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._progressed_at = time.monotonic()
        self._waiting = 0
        self._all_waiting = asyncio.Event()

    async def send(
        self, count: int, form: str, on_step: Callable[[], float]
    ) -> None:
        """Send until no caller gets on and the process is idle.

        ``on_step`` is called in between and returns the processor time of the
        process (seconds).
        """
        for number in range(count):
            pieces = self._list_pieces(form, number)
            self._begin(self._run(self._connect(), pieces))
        await self._wait_quiet(on_step)

    async def read(
        self, count: int, path: str, on_step: Callable[[], float]
    ) -> None:
        """Request large answers and hardly read them, as in ``send``."""
        for number in range(count):
            self._begin(self._run_reader(path, number))
        await self._wait_quiet(on_step)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for sock in self._sockets:
            sock.close()

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        return sock

    async def _run(self, sock: socket.socket, pieces: Pieces) -> None:
        loop = asyncio.get_running_loop()
        # The process may refuse by closing the connection.
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for piece in pieces:
                if piece is None:
                    self._waiting += 1
                    await self._all_waiting.wait()
                    continue
                await loop.sock_sendall(sock, piece)
                self._progressed_at = time.monotonic()
                await asyncio.sleep(0)

    async def _run_reader(self, path: str, number: int) -> None:
        loop = asyncio.get_running_loop()
        sock = self._connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._address)
            head = encode_head(f'GET {path} HTTP/1.1')
            await loop.sock_sendall(sock, head)
            self._progressed_at = time.monotonic()
            while not number % _READER_EVERY:
                await asyncio.sleep(_READ_INTERVAL_S)
                if not await loop.sock_recv(sock, _READ_BYTES):
                    return

    async def _wait_quiet(self, on_step: Callable[[], float]) -> None:
        ends_at = time.monotonic() + _LIMIT_S
        window_at = time.monotonic()
        window_cpu_s = on_step()
        while time.monotonic() < ends_at:
            await asyncio.sleep(_STEP_S)
            cpu_s = on_step()
            now = time.monotonic()
            if now - window_at >= _BUSY_WINDOW_S:
                if cpu_s - window_cpu_s > (now - window_at) * _BUSY_SHARE:
                    self._progressed_at = now
                window_at = now
                window_cpu_s = cpu_s
            if now - self._progressed_at < _QUIET_S:
                continue
            if not self._waiting:
                return
            self._waiting = 0
            self._all_waiting.set()
            self._progressed_at = now

    def _list_pieces(self, form: str, number: int) -> Pieces:
        is_complete = not number % _COMPLETE_EVERY
        size = self._max_body_bytes
        line = self._post_line
        pieces_by_form: dict[str, Pieces] = {
            'whole bodies': _list_counted(
                line, size, _SLICE_BYTES, is_complete
            ),
            'bodies in pieces': _list_counted(
                line, size, _PIECE_BYTES, is_complete
            ),
            'bodies in large chunks': _list_chunks(
                line, size, _SLICE_BYTES, is_complete
            ),
            'bodies in small chunks': _list_chunks(
                line, _SMALL_CHUNKS_BYTES, _SMALL_CHUNK_BYTES, is_complete
            ),
            'bodies announced far over the limit': _list_announced(line, size),
            'bodies that go far over the limit': _list_over(line, size),
            'heads without an end': iter((_encode_long_head(),)),
            'many requests without reading': itertools.repeat(
                encode_head('GET /unknown/1 HTTP/1.1'), _PIPELINED
            ),
            'nothing': iter(()),
        }
        return pieces_by_form[form]


def _list_counted(
    line: str, size: int, piece_bytes: int, is_complete: bool
) -> Pieces:
    """Yield a body with its length, one byte short unless complete."""
    yield encode_head(line, f'Content-Length: {size}')
    yield from _list_slices(size if is_complete else size - 1, piece_bytes)


def _list_slices(size: int, piece_bytes: int) -> Iterator[bytes]:
    piece = b'x' * piece_bytes
    for _ in range(size // piece_bytes):
        yield piece
    yield piece[: size % piece_bytes]


def _list_chunks(
    line: str, size: int, chunk_bytes: int, is_complete: bool
) -> Pieces:
    """Yield a body in chunks, one byte short of its end unless complete."""
    yield encode_head(line, _CHUNKED)
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    count = size // chunk_bytes
    # Many small chunks are sent at once.
    per_piece = max(1, _SLICE_BYTES // len(chunk))
    for _ in range(count // per_piece):
        yield chunk * per_piece
    yield chunk * (count % per_piece)
    yield b'0\r\n\r\n' if is_complete else b'0\r\n\r'


def _list_announced(line: str, size: int) -> Pieces:
    length = f'Content-Length: {_FAR_OVER_BYTES}'
    yield encode_head(line, length)
    yield from _list_slices(size * _OVER_FACTOR, _SLICE_BYTES)


def _list_over(line: str, size: int) -> Pieces:
    """Yield chunks up to the limit, and past it once all are there."""
    yield encode_head(line, _CHUNKED)
    chunk = b'%x\r\n%b\r\n' % (_SLICE_BYTES, b'x' * _SLICE_BYTES)
    count = size // _SLICE_BYTES
    yield from itertools.repeat(chunk, count)
    yield None
    yield from itertools.repeat(chunk, count * _OVER_FACTOR)


def _encode_long_head() -> bytes:
    head = encode_head('GET /plain/1 HTTP/1.1').removesuffix(b'\r\n')
    return head + b'X-Long: ' + b'x' * _HEAD_BYTES
