"""A TCP relay that cuts, delays, blocks and swaps connections."""

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
    target_reader: asyncio.StreamReader
    target_writer: asyncio.StreamWriter
    # Receives what the target sends; a swap replaces it.
    answer_writer: asyncio.StreamWriter = field(init=False)

    def __post_init__(self) -> None:
        self.answer_writer = self.writer

    def close(self) -> None:
        self.answer_writer.close()
        self.target_writer.close()


class Relay:
    """Forwards connections between a process and one address it calls."""

    def __init__(self, target_host: str, target_port: int) -> None:
        """Set the target; the relay does not listen yet."""
        self._target = (target_host, target_port)
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._unpaired: _Link | None = None
        # Answer bytes after which the next connections are cut, in order.
        self._cut_offsets: list[int] = []
        # Seconds by which each chunk of an answer is delayed.
        self.delay_s: float = 0
        # Whether chunks in both directions are discarded.
        self.is_blocked = False
        # Number of connections still to be swapped, in pairs.
        self.cross_next = 0

    async def start(self, host: str, port: int) -> None:
        """Start listening on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def cut_next(self, after_bytes: int) -> None:
        """Cut one of the next connections after a number of answer bytes."""
        self._cut_offsets.append(after_bytes)

    def close_links(self) -> None:
        """Close all open connections."""
        for link in list(self._links):
            link.close()

    def block(self) -> None:
        """Discard all data, on existing and new connections."""
        self.is_blocked = True

    def unblock(self) -> None:
        """Forward data on new connections again; close the existing ones."""
        self.is_blocked = False
        self.close_links()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.close_links()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            return
        link = _Link(reader, writer, target_reader, target_writer)
        self._links.add(link)
        if self.cross_next:
            self.cross_next -= 1
            self._swap(link)
        cut_offset = self._cut_offsets.pop(0) if self._cut_offsets else None
        forwarding = asyncio.ensure_future(self._forward_requests(link))
        with contextlib.suppress(OSError):
            await self._forward_answers(link, cut_offset)
        forwarding.cancel()
        link.close()
        self._links.discard(link)

    def _swap(self, link: _Link) -> None:
        """Swap the answers of this connection and of the unpaired one.

        Without an unpaired one, this connection becomes it.
        """
        other = self._unpaired
        if other is None:
            self._unpaired = link
            return
        self._unpaired = None
        link.answer_writer = other.writer
        other.answer_writer = link.writer

    async def _forward_requests(self, link: _Link) -> None:
        while chunk := await link.reader.read(_CHUNK_BYTES):
            if self.is_blocked:
                continue
            link.target_writer.write(chunk)
            await link.target_writer.drain()
        # The target of a swapped connection still has to answer the other one.
        if link.answer_writer is link.writer:
            link.target_writer.close()

    async def _forward_answers(
        self, link: _Link, cut_offset: int | None
    ) -> None:
        forwarded_bytes = 0
        while chunk := await link.target_reader.read(_CHUNK_BYTES):
            if self.is_blocked:
                continue
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            # An unpaired connection forwards no answers until it is swapped.
            while self._unpaired is link:
                await asyncio.sleep(0.01)
            if (
                cut_offset is not None
                and forwarded_bytes + len(chunk) >= cut_offset
            ):
                link.answer_writer.write(chunk[: cut_offset - forwarded_bytes])
                await link.answer_writer.drain()
                return
            forwarded_bytes += len(chunk)
            link.answer_writer.write(chunk)
            await link.answer_writer.drain()
