"""Forwards the answers of runners to the caller."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding.events import EventSplitter
from damaskpoint.forwarding.exchange import BrokenAnswerError, Framing
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.forwarding.caller_answer import CallerAnswer
    from damaskpoint.forwarding.sender import OpenAnswer


@final
@enum.unique
class Progress(enum.Enum):
    """How far the answer of a runner has come."""

    NONE = 'none'
    # It has its head, and of a stream no complete event.
    HEAD = 'head'
    EVENTS = 'events'


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
        self._on_begun: Callable[[], None] | None = None

    @property
    def is_started(self) -> bool:
        """Return whether a part of the answer has been sent to the caller."""
        return self._answer.is_started

    @property
    def last_event_id(self) -> str | None:
        """Return the id of the last forwarded event."""
        return self._splitter.last_id

    @property
    def has_events(self) -> bool:
        """Return whether the current answer has had a complete event."""
        return self._splitter.has_events

    @property
    def partial_event_bytes(self) -> int:
        """Return the bytes of the answer after its last complete event."""
        return len(self._splitter.pending)

    def begin_answer(self, on_begun: Callable[[], None] | None) -> None:
        """Expect the answer of another runner.

        ``on_begun`` is called once, when the answer has an event or is whole.
        """
        self._splitter.begin_answer()
        self._on_begun = on_begun

    async def forward_whole(self, open_answer: OpenAnswer) -> Failure | None:
        """Forward an answer once it has been read completely.

        Raises ``BrokenAnswerError``. Fails if a stream was already started.
        """
        head = open_answer.head
        hold = self._answer.hold
        body = await open_answer.exchange.read_body(hold)
        self._notify_begun()
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
        has received only complete events. A stream that ends inside an event
        is broken even if its framing says that it is complete.
        """
        await self._forward_chunks(open_answer)
        self._check_end(open_answer.exchange.framing)
        rest = self._splitter.pending
        if rest or not self.is_started:
            await self._write(open_answer, rest)
        await self._answer.finish()

    async def _forward_chunks(self, open_answer: OpenAnswer) -> None:
        while True:
            chunk = await open_answer.exchange.read_chunk()
            if not chunk:
                return
            whole = self._splitter.feed(chunk)
            if self._splitter.has_events:
                self._notify_begun()
            if whole:
                await self._write(open_answer, whole)
            if self._splitter.is_event_too_long:
                raise BrokenAnswerError('body: an event is too long')

    def _check_end(self, framing: Framing) -> None:
        """Raise ``BrokenAnswerError`` if the stream cannot be complete."""
        if self._splitter.is_inside_event:
            raise BrokenAnswerError('body: ended inside an event')
        if framing is Framing.CLOSE and not self._splitter.has_events:
            raise BrokenAnswerError('body: closed before the first event')

    def _notify_begun(self) -> None:
        if self._on_begun is not None:
            self._on_begun()
        self._on_begun = None

    async def _write(self, open_answer: OpenAnswer, whole: bytes) -> None:
        if self.is_started:
            await self._answer.write(whole)
            return
        self._on_start()
        head = open_answer.head
        await self._answer.start(
            head.status, requests.select_answer_headers(head.headers), whole
        )
