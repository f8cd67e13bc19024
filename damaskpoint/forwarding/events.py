"""Splits a stream into complete events, so that it can be resumed elsewhere."""

from __future__ import annotations

import re
from typing import Final, final

from damaskpoint import defaults

# Two line ends in a row; the groups are atomic, as a CR with its LF is one.
_EVENT_END: Final = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
_LINE_ENDS: Final = b'\r\n'
_ID_FIELD: Final = b'id:'


@final
class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._buffer = b''
        # Whether the current answer has had a complete event.
        self.has_events = False
        self.last_id: str | None = None

    def begin_answer(self) -> None:
        """Expect another answer, which continues after the last event."""
        self._buffer = b''
        self.has_events = False

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes of the stream; return those of all complete events."""
        joined = self._buffer + chunk
        end = 0
        for match in _EVENT_END.finditer(joined):
            end = match.end()
        whole = joined[:end]
        self._buffer = joined[end:]
        if whole.strip(_LINE_ENDS):
            self.has_events = True
        self._update_last_id(whole)
        return whole

    @property
    def pending(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    @property
    def is_event_too_long(self) -> bool:
        """Return whether the incomplete event is longer than allowed."""
        return len(self._buffer) > defaults.MAX_EVENT_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun and is not complete."""
        return bool(self._buffer.strip(_LINE_ENDS))

    def _update_last_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return
