"""The prompt cache of an engine, and its late events with gaps."""

from __future__ import annotations

import collections
import time
from typing import Final

_CAPACITY: Final = 64
_LATE_S: Final = 0.5
# Every so manyth event is never published.
_GAP: Final = 7
_KEPT_EVENTS: Final = 500


class PromptCache:
    """Keeps the prefixes that were used last."""

    def __init__(self) -> None:
        """Start empty."""
        self._prefixes: collections.OrderedDict[str, None]
        self._prefixes = collections.OrderedDict()
        self._events: list[tuple[float, int, str, str]] = []
        self._last = 0

    def touch(self, prefix: str) -> bool:
        """Use a prefix; tell whether it was there already."""
        if not prefix:
            return False
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return True
        self._prefixes[prefix] = None
        self._note('stored', prefix)
        if len(self._prefixes) > _CAPACITY:
            evicted, _nothing = self._prefixes.popitem(last=False)
            self._note('evicted', evicted)
        return False

    def events_after(self, number: int) -> dict[str, object]:
        """Return the events that are published so far, with gaps."""
        now = time.monotonic()
        events: list[dict[str, object]] = []
        last = number
        for seen_at, event, kind, prefix in self._events:
            if event <= number or now - seen_at < _LATE_S:
                continue
            last = event
            if event % _GAP == 0:
                continue
            events.append({'number': event, 'prefix': prefix, 'kind': kind})
        return {'events': events, 'last': last}

    def _note(self, kind: str, prefix: str) -> None:
        self._last += 1
        self._events.append((time.monotonic(), self._last, kind, prefix))
        self._events = self._events[-_KEPT_EVENTS:]
