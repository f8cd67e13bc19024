"""Passes the text of a stream on to its caller."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, final

from tornado.iostream import StreamClosedError

from damaskpoint import problem, protocol
from damaskpoint.pipeline.events import Event, render_event, render_token
from damaskpoint.pipeline.work import TokenSink

if TYPE_CHECKING:
    from damaskpoint.entry.caller_handler import CallerHandler
    from damaskpoint.errors import Failure


@final
class EventSink(TokenSink):
    """Writes server-sent events; a caller that has left gets no more."""

    def __init__(self, handler: CallerHandler) -> None:
        """Start before the first event; no header is sent yet."""
        self._handler = handler
        self._offset = 0
        self._hash = hashlib.sha256()
        self._has_left = False

    @property
    def has_begun(self) -> bool:
        """Return whether any text was passed on."""
        return self._offset > 0

    async def write_token(self, offset: int, text: str) -> None:
        """Write one piece of text, at the pace of the caller."""
        if not self.has_begun:
            self._handler.begin_events()
        self._offset = offset
        self._hash.update(text.encode())
        if self._has_left:
            return
        self._handler.write(render_token(offset, text))
        try:
            await self._handler.flush()
        except StreamClosedError:
            self._has_left = True

    def render_end(self, body: dict[str, object]) -> bytes:
        """Return the end mark of a whole answer."""
        ending = {
            'request_id': body.get('request_id'),
            'stages': body.get('stages'),
            'tokens': self._offset,
            'sha256': self._hash.hexdigest(),
        }
        stages = body.get('stages')
        if isinstance(stages, list) and stages:
            ending['stage'] = stages[-1].get('name')
            ending['attempt'] = stages[-1].get('attempt')
        data = json.dumps(ending)
        return render_event(Event(protocol.EVENT_END, '', data))


def render_error(failure: Failure, request_id: str) -> bytes:
    """Return the event that ends a stream that will not become whole."""
    data = problem.encode_problem(failure, request_id)
    return render_event(Event(protocol.EVENT_ERROR, '', data))
