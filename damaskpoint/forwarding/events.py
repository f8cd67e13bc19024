"""Splits a stream into complete events, so that it can be resumed elsewhere."""

from __future__ import annotations

from typing import Final, final

_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'


@final
class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._buffer = b''
        self.last_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes of the stream; return those of all complete events."""
        joined = self._buffer + chunk
        end = joined.rfind(_EVENT_END)
        if end < 0:
            self._buffer = joined
            return b''
        end += len(_EVENT_END)
        whole = joined[:end]
        self._buffer = joined[end:]
        self._update_last_id(whole)
        return whole

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._buffer)

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest = self._buffer
        self._buffer = b''
        return rest

    def discard_remainder(self) -> None:
        """Discard the bytes of an incomplete event."""
        self._buffer = b''

    def _update_last_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return
