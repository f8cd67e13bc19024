"""Streams generated text to a caller as server-sent events."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, final

from tornado.iostream import StreamClosedError

from damaskpoint import problem, protocol
from damaskpoint.pipeline.events import Event, render_event, render_token
from damaskpoint.pipeline.model import TokenSink

if TYPE_CHECKING:
    from damaskpoint.entry.caller_handler import CallerHandler
    from damaskpoint.errors import Failure


@final
class EventSink(TokenSink):
    """Writes server-sent events until the caller disconnects."""

    def __init__(self, handler: CallerHandler) -> None:
        """Start before the first event; headers are not sent yet."""
        self._handler = handler
        self._offset = 0
        self._hash = hashlib.sha256()
        self._is_disconnected = False

    @property
    def has_begun(self) -> bool:
        """Return whether any text was received."""
        return self._offset > 0

    async def write_token(self, offset: int, text: str) -> None:
        """Write one token, and wait until the caller has accepted it."""
        if not self.has_begun:
            self._handler.start_events()
        self._offset = offset
        self._hash.update(text.encode())
        if self._is_disconnected:
            return
        self._handler.write(render_token(offset, text))
        try:
            await self._handler.flush()
        except StreamClosedError:
            self._is_disconnected = True

    def render_end_event(self, body: dict[str, object]) -> bytes:
        """Return the event that ends a complete answer."""
        summary = {
            'request_id': body.get('request_id'),
            'stages': body.get('stages'),
            'tokens': self._offset,
            'sha256': self._hash.hexdigest(),
        }
        stages = body.get('stages')
        if isinstance(stages, list) and stages:
            summary['stage'] = stages[-1].get('name')
            summary['attempt'] = stages[-1].get('attempt')
        data = json.dumps(summary)
        return render_event(Event(protocol.EVENT_END, '', data))


def render_error_event(failure: Failure, request_id: str) -> bytes:
    """Return the event that ends an incomplete answer."""
    data = problem.encode_problem(failure, request_id)
    return render_event(Event(protocol.EVENT_ERROR, '', data))
