"""A TCP relay that cuts, delays, swallows and cross-wires connections."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Final

_CHUNK_BYTES: Final = 65_536


@dataclass(eq=False, slots=True)
class _Link:
    """One connection through the relay."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    far_reader: asyncio.StreamReader
    far_writer: asyncio.StreamWriter
    # Where the answers of the far side go.
    back_to: asyncio.StreamWriter = field(init=False)

    def __post_init__(self) -> None:
        self.back_to = self.writer

    def close(self) -> None:
        self.back_to.close()
        self.far_writer.close()


class Relay:
    """Stands between a process and one address that it calls."""

    def __init__(self, target_host: str, target_port: int) -> None:
        """Relay to a target; nothing is listened on yet."""
        self._target = (target_host, target_port)
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._waiting: _Link | None = None
        # Bytes of answers after which the next connections are cut.
        self._cuts: list[int] = []
        # Seconds that each piece of an answer waits.
        self.delay_s: float = 0
        # Whether pieces in both directions vanish.
        self.is_silent = False
        # Connections left to be swapped, two by two.
        self.cross_next = 0

    async def start(self, host: str, port: int) -> None:
        """Listen on an address of its own."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def cut_next(self, after_bytes: int) -> None:
        """Cut one of the next connections behind so many answer bytes."""
        self._cuts.append(after_bytes)

    def close_links(self) -> None:
        """Close every connection that is open."""
        for link in list(self._links):
            link.close()

    def silence(self) -> None:
        """Let nothing through any more, on old connections and new."""
        self.is_silent = True

    def restore(self) -> None:
        """Let new connections through; the old ones are closed."""
        self.is_silent = False
        self.close_links()

    def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.close_links()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            return
        link = _Link(reader, writer, far_reader, far_writer)
        self._links.add(link)
        if self.cross_next:
            self.cross_next -= 1
            self._cross(link)
        cut = self._cuts.pop(0) if self._cuts else None
        forth = asyncio.ensure_future(self._pump_forth(link))
        with contextlib.suppress(OSError):
            await self._pump_back(link, cut)
        forth.cancel()
        link.close()
        self._links.discard(link)

    def _cross(self, link: _Link) -> None:
        """Swap the answers of this connection with the one that waits."""
        other = self._waiting
        if other is None:
            self._waiting = link
            return
        self._waiting = None
        link.back_to = other.writer
        other.back_to = link.writer

    async def _pump_forth(self, link: _Link) -> None:
        while chunk := await link.reader.read(_CHUNK_BYTES):
            if self.is_silent:
                continue
            link.far_writer.write(chunk)
            await link.far_writer.drain()
        # The far side of a crossed connection still owes the other its answer.
        if link.back_to is link.writer:
            link.far_writer.close()

    async def _pump_back(self, link: _Link, cut: int | None) -> None:
        passed = 0
        while chunk := await link.far_reader.read(_CHUNK_BYTES):
            if self.is_silent:
                continue
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            # A connection that waits to be crossed holds its answers back.
            while self._waiting is link:
                await asyncio.sleep(0.01)
            if cut is not None and passed + len(chunk) >= cut:
                link.back_to.write(chunk[: cut - passed])
                await link.back_to.drain()
                return
            passed += len(chunk)
            link.back_to.write(chunk)
            await link.back_to.drain()
