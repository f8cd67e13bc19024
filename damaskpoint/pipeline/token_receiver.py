"""Receives the events of a streaming stage and forwards its text."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, final

from damaskpoint import protocol
from damaskpoint.errors import Failure
from damaskpoint.pipeline.answer_check import check_end_event
from damaskpoint.pipeline.events import EventParser
from damaskpoint.routing.base import CallEnd

if TYPE_CHECKING:
    from damaskpoint.pipeline.answer_check import CallIdentity
    from damaskpoint.pipeline.call import UpstreamHead
    from damaskpoint.pipeline.events import Event
    from damaskpoint.pipeline.model import TokenSink


@final
class TokenReceiver:
    """Assembles the text of one stream across the calls that resume it.

    Token offsets must be consecutive. A token that was received before is
    skipped; a gap means that a token was lost, and ends the call as BROKEN.
    The text is complete only after an end event with its digest.
    """

    def __init__(self, sink: TokenSink | None, max_bytes: int) -> None:
        """Start before the first token; without a sink, text is only stored."""
        self.offset = 0
        # How the current call ended; None while it is running.
        self.end: CallEnd | None = None
        self._sink = sink
        self._remaining_bytes = max_bytes
        self._pieces: list[str] = []
        self._hash = hashlib.sha256()
        self._identity: CallIdentity | None = None
        self._parser = EventParser()

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return ''.join(self._pieces)

    def begin_call(self, identity: CallIdentity) -> None:
        """Expect the events of a new call that resumes after the offset."""
        self._identity = identity
        self._parser = EventParser()
        self.end = None

    async def receive(self, head: UpstreamHead, chunk: bytes) -> bool:
        """Process a chunk of the body; return False to stop reading."""
        identity = self._identity
        if identity is None or not identity.is_echoed(head):
            self.end = CallEnd.MISMATCHED
            return False
        events = self._parser.feed(chunk)
        if isinstance(events, Failure):
            self.end = CallEnd.FAILED
            return False
        for event in events:
            await self._handle_event(event, identity)
            if self.end not in {None, CallEnd.SUCCEEDED}:
                return False
        return True

    async def _handle_event(self, event: Event, identity: CallIdentity) -> None:
        if event.name == protocol.EVENT_END:
            digest = self._hash.hexdigest()
            self.end = check_end_event(
                identity, event.data, self.offset, digest
            )
            return
        if event.name != protocol.EVENT_TOKEN:
            return
        text = _parse_text(event.data)
        if text is None or not event.event_id.isdecimal():
            self.end = CallEnd.FAILED
            return
        offset = int(event.event_id)
        if offset <= self.offset:
            return
        if offset > self.offset + 1:
            self.end = CallEnd.BROKEN
            return
        await self._accept_token(offset, text)

    async def _accept_token(self, offset: int, text: str) -> None:
        encoded = text.encode()
        self._remaining_bytes -= len(encoded)
        if self._remaining_bytes < 0:
            self.end = CallEnd.FAILED
            return
        self.offset = offset
        self._pieces.append(text)
        self._hash.update(encoded)
        if self._sink is not None:
            await self._sink.write_token(offset, text)


def _parse_text(data: str) -> str | None:
    try:
        parsed = json.loads(data)
    except ValueError:
        return None
    text = parsed.get('text') if isinstance(parsed, dict) else None
    return text if isinstance(text, str) else None
