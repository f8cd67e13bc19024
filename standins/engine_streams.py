"""The streams that an engine retains, so that callers can resume them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from standins.http import JsonHandler

_STREAM_RETENTION_S: Final = 10.0


@final
@dataclass(slots=True)
class ResumableStream:
    """The state of a stream that can be resumed."""

    tokens: tuple[str, ...]
    # Number of tokens generated so far.
    generated: int = 0
    used_at: float = field(default_factory=time.monotonic)


class StreamRegistry:
    """The retained streams of one engine."""

    def __init__(self) -> None:
        """Create an empty registry."""
        # Keyed by request id and stage.
        self._streams: dict[tuple[str, str], ResumableStream] = {}
        self.handlers_by_request: dict[str, JsonHandler] = {}

    def add(self, request_id: str, stage: str, stream: ResumableStream) -> None:
        """Retain a stream, and discard expired ones."""
        oldest = time.monotonic() - _STREAM_RETENTION_S
        for stage_key, known in list(self._streams.items()):
            if known.used_at < oldest:
                self._streams.pop(stage_key)
        self._streams[request_id, stage] = stream

    def find(self, request_id: str, stage: str) -> ResumableStream | None:
        """Return a stream; None if it is unknown or expired."""
        stream = self._streams.get((request_id, stage))
        if stream is None:
            return None
        if stream.used_at < time.monotonic() - _STREAM_RETENTION_S:
            return None
        return stream

    def stop(self, request_id: str) -> None:
        """Discard the streams of a request and close its connection."""
        for stage_key in list(self._streams):
            if stage_key[0] == request_id:
                self._streams.pop(stage_key)
        handler = self.handlers_by_request.pop(request_id, None)
        if handler is not None:
            handler.drop()
