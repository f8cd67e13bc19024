"""The prompt cache of an engine, with delayed and incomplete events."""

from __future__ import annotations

import collections
import time
from typing import Final

_MAX_PREFIXES: Final = 64
_PUBLISH_DELAY_S: Final = 0.5
# Each event whose number is a multiple of this is never published.
_DROPPED_EVENT_INTERVAL: Final = 7
_MAX_EVENTS: Final = 500


class PromptCache:
    """An LRU cache of prompt prefixes that logs stores and evictions."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._prefixes: collections.OrderedDict[str, None]
        self._prefixes = collections.OrderedDict()
        self._events: list[tuple[float, int, str, str]] = []
        self._last_number = 0

    def touch(self, prefix: str) -> bool:
        """Use a prefix and return whether it was cached already."""
        if not prefix:
            return False
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return True
        self._prefixes[prefix] = None
        self._record_event('stored', prefix)
        if len(self._prefixes) > _MAX_PREFIXES:
            evicted, _value = self._prefixes.popitem(last=False)
            self._record_event('evicted', evicted)
        return False

    def events_after(self, number: int) -> dict[str, object]:
        """Return the events published after a number, with gaps."""
        now = time.monotonic()
        events: list[dict[str, object]] = []
        last = number
        for recorded_at, event, kind, prefix in self._events:
            if event <= number or now - recorded_at < _PUBLISH_DELAY_S:
                continue
            last = event
            if event % _DROPPED_EVENT_INTERVAL == 0:
                continue
            events.append({'number': event, 'prefix': prefix, 'kind': kind})
        return {'events': events, 'last': last}

    def _record_event(self, kind: str, prefix: str) -> None:
        self._last_number += 1
        self._events.append((time.monotonic(), self._last_number, kind, prefix))
        self._events = self._events[-_MAX_EVENTS:]
