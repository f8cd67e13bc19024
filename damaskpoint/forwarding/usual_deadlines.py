"""Tells requests that come back after a refusal from new ones.

Callers of one route mostly send the same deadline. One that comes back
waits only for what is left of it, so the difference is its age.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.forwarding.terms import RequestTerms

# Requests of a route whose deadlines are compared: some seconds of traffic.
_MEMORY: Final = 64
# Share of them with the same deadline for it to count as the usual one, and
# the requests that must have been seen: with fewer, nothing is certain.
_USUAL_SHARE: Final = 0.4
_LEAST_SEEN: Final = 8


@final
class UsualDeadlines:
    """The deadlines of the last requests, by route; times in seconds."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._seen_by_route: dict[str, collections.deque[float]] = {}

    def note(self, route: str, terms: RequestTerms) -> None:
        """Take note of the deadline of a request."""
        if terms.deadline_s is None:
            return
        seen = self._seen_by_route.get(route)
        if seen is None:
            seen = collections.deque(maxlen=_MEMORY)
            self._seen_by_route[route] = seen
        seen.append(terms.deadline_s)

    def find_age_s(self, route: str, terms: RequestTerms) -> float:
        """Return how long ago a request's caller first asked."""
        seen = self._seen_by_route.get(route, ())
        if terms.deadline_s is None or len(seen) < _LEAST_SEEN:
            return float(0)
        usual_s, count = collections.Counter(seen).most_common(1)[0]
        if count < len(seen) * _USUAL_SHARE:
            return float(0)
        return max(float(0), usual_s - terms.deadline_s)
