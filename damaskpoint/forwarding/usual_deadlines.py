"""Tells requests that come back after a refusal from new ones.

Callers of one route mostly send similar deadlines. One that comes back
waits only for what is left of its own, so a clearly shorter one tells its
age.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.forwarding.metadata import RequestMetadata

# Requests of a route whose deadlines are compared: some seconds of traffic.
_MEMORY: Final = 64
# Requests that must have been seen: with fewer, nothing is certain.
_LEAST_SEEN: Final = 8
# Place of the usual deadline among those seen, by length: few are longer.
_USUAL_PLACE: Final = 0.9
# Part of the usual deadline from which on one counts as a new request's, and
# the share of such requests without which there is no usual one.
_SIMILAR: Final = 0.8
_LEAST_SIMILAR: Final = 0.5


@final
class UsualDeadlines:
    """The deadlines of the last requests, by route; times in seconds."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._seen_by_route: dict[str, collections.deque[float]] = {}

    def record(self, route: str, metadata: RequestMetadata) -> None:
        """Take note of the deadline of a request."""
        if metadata.deadline_s is None:
            return
        seen = self._seen_by_route.get(route)
        if seen is None:
            seen = collections.deque(maxlen=_MEMORY)
            self._seen_by_route[route] = seen
        seen.append(metadata.deadline_s)

    def estimate_age_s(self, route: str, metadata: RequestMetadata) -> float:
        """Return about how long ago a request's caller first asked."""
        seen = sorted(self._seen_by_route.get(route, ()))
        if metadata.deadline_s is None or len(seen) < _LEAST_SEEN:
            return float(0)
        usual_s = seen[int(len(seen) * _USUAL_PLACE)]
        similar = sum(1 for other_s in seen if other_s >= usual_s * _SIMILAR)
        if similar < len(seen) * _LEAST_SIMILAR:
            return float(0)
        if metadata.deadline_s >= usual_s * _SIMILAR:
            return float(0)
        return usual_s - metadata.deadline_s
