"""The streams that an engine remembers, so that they may be resumed."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from standins.http import JsonHandler

_STREAM_MEMORY_S: Final = 10.0


@final
@dataclass(slots=True)
class StreamMemory:
    """What an engine remembers of a stream that may be resumed."""

    tokens: tuple[str, ...]
    # Tokens that have been made so far.
    made: int = 0
    seen_at: float = field(default_factory=time.monotonic)


class StreamBook:
    """The streams of one engine."""

    def __init__(self) -> None:
        """Start with none."""
        # By request and stage.
        self._streams: dict[tuple[str, str], StreamMemory] = {}
        self.handlers_by_request: dict[str, JsonHandler] = {}

    def remember(
        self, request_id: str, stage: str, memory: StreamMemory
    ) -> None:
        """Keep a stream, and forget those that are too old."""
        oldest = time.monotonic() - _STREAM_MEMORY_S
        for place, kept in list(self._streams.items()):
            if kept.seen_at < oldest:
                self._streams.pop(place)
        self._streams[request_id, stage] = memory

    def recall(self, request_id: str, stage: str) -> StreamMemory | None:
        """Return a stream that is still remembered."""
        memory = self._streams.get((request_id, stage))
        if memory is None:
            return None
        if memory.seen_at < time.monotonic() - _STREAM_MEMORY_S:
            return None
        return memory

    def forget(self, request_id: str) -> None:
        """Stop and forget the streams of a request."""
        for place in list(self._streams):
            if place[0] == request_id:
                self._streams.pop(place)
        handler = self.handlers_by_request.pop(request_id, None)
        if handler is not None:
            handler.drop()
