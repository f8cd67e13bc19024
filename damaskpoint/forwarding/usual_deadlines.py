"""Detects retries of refused requests by their shorter deadlines.

Most callers of a route send similar deadlines. A caller that retries sends
only the rest of its deadline, so the difference from the usual deadline is the
age of its request.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.forwarding.metadata import RequestMetadata

# Number of last requests of a route to compare: some seconds of traffic.
_WINDOW: Final = 64
# Fewest requests of a route that allow a reliable estimate.
_MIN_SEEN: Final = 8
# Quantile of the recorded deadlines that counts as usual: few are longer.
_USUAL_QUANTILE: Final = 0.9
# Share of the usual deadline from which a deadline counts as a new request's,
# and the share of such requests below which no deadline counts as usual.
_SIMILAR_SHARE: Final = 0.8
_MIN_SIMILAR_REQUESTS_SHARE: Final = 0.5


@final
class UsualDeadlines:
    """The deadlines of the last requests by route; times in seconds."""

    def __init__(self) -> None:
        """Start without requests."""
        self._seen_by_route: dict[str, collections.deque[float]] = {}

    def record(self, route: str, metadata: RequestMetadata) -> None:
        """Record the deadline of a request."""
        if metadata.deadline_s is None:
            return
        seen = self._seen_by_route.get(route)
        if seen is None:
            seen = collections.deque(maxlen=_WINDOW)
            self._seen_by_route[route] = seen
        seen.append(metadata.deadline_s)

    def estimate_age_s(self, route: str, metadata: RequestMetadata) -> float:
        """Return the estimated time since the first attempt of a request."""
        seen = sorted(self._seen_by_route.get(route, ()))
        if metadata.deadline_s is None or len(seen) < _MIN_SEEN:
            return float(0)
        usual_s = seen[int(len(seen) * _USUAL_QUANTILE)]
        similar = sum(
            1 for other_s in seen if other_s >= usual_s * _SIMILAR_SHARE
        )
        if similar < len(seen) * _MIN_SIMILAR_REQUESTS_SHARE:
            return float(0)
        if metadata.deadline_s >= usual_s * _SIMILAR_SHARE:
            return float(0)
        return usual_s - metadata.deadline_s
