"""Splits a stream into complete events, so that it can be resumed elsewhere."""

from __future__ import annotations

from typing import Final, final

from damaskpoint import defaults

# Two line ends in a row, each of them CR, LF or CR LF; an LF that completes the
# second one may follow.
_EVENT_ENDS: Final = (b'\n\n', b'\n\r', b'\r\r')
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
        end = _find_last_end(joined)
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


def _find_last_end(joined: bytes) -> int:
    """Return the index after the last complete event, 0 if there is none."""
    start = max(joined.rfind(ending) for ending in _EVENT_ENDS)
    if start < 0:
        return 0
    end = start + 2
    if joined.startswith(b'\r\n', end - 1):
        end += 1
    return end
