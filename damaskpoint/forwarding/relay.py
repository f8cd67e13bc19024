"""Forwards the answers of runners to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding.events import EventSplitter
from damaskpoint.forwarding.exchange import BrokenAnswerError
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.forwarding.caller_answer import CallerAnswer
    from damaskpoint.forwarding.sender import OpenAnswer


@final
class Relay:
    """Forwards the answer of one request, possibly from several runners."""

    def __init__(
        self, answer: CallerAnswer, on_start: Callable[[], None]
    ) -> None:
        """Write to ``answer``; call ``on_start`` before its head is sent."""
        self._answer = answer
        self._on_start = on_start
        self._splitter = EventSplitter()
        # Bytes after the last complete event of the last stream.
        self.partial_event_bytes = 0

    @property
    def is_started(self) -> bool:
        """Return whether a part of the answer has been sent to the caller."""
        return self._answer.is_started

    @property
    def last_event_id(self) -> str | None:
        """Return the id of the last forwarded event."""
        return self._splitter.last_id

    async def forward_whole(self, open_answer: OpenAnswer) -> Failure | None:
        """Forward an answer once it has been read completely.

        Raises ``BrokenAnswerError``. Fails if a stream was already started.
        """
        head = open_answer.head
        body = await open_answer.exchange.read_body()
        if self.is_started:
            return Failure(Code.UPSTREAM_FAILED, f'HTTP {head.status}', Ran.YES)
        self._on_start()
        await self._answer.send_whole(
            head.status, requests.select_answer_headers(head.headers), body
        )
        return None

    async def forward_events(self, open_answer: OpenAnswer) -> None:
        """Forward events as they arrive, until the stream ends.

        Raises ``BrokenAnswerError`` if the stream ends early; the caller then
        has received only complete events.
        """
        try:
            await self._forward_chunks(open_answer)
        except BrokenAnswerError:
            self.partial_event_bytes = self._splitter.pending_bytes
            self._splitter.discard_remainder()
            raise
        self.partial_event_bytes = self._splitter.pending_bytes
        rest = self._splitter.take_remainder()
        if rest or not self.is_started:
            await self._write(open_answer, rest)
        await self._answer.finish()

    async def _forward_chunks(self, open_answer: OpenAnswer) -> None:
        while True:
            chunk = await open_answer.exchange.read_chunk()
            if not chunk:
                return
            whole = self._splitter.feed(chunk)
            if whole:
                await self._write(open_answer, whole)

    async def _write(self, open_answer: OpenAnswer, whole: bytes) -> None:
        if self.is_started:
            await self._answer.write(whole)
            return
        self._on_start()
        head = open_answer.head
        await self._answer.start(
            head.status, requests.select_answer_headers(head.headers), whole
        )
