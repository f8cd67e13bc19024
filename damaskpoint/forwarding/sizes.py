"""The size of requests relative to the average of their route.

A request with a large generation has a higher value than one with a small
generation and the same stages, so it is served first under overload.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.forwarding.metadata import RequestMetadata

# A generated token costs about as much as ten prompt tokens.
_GENERATED_WEIGHT: Final = 10
# Weight of one request in the EWMA: about the last fifty requests count.
_WEIGHT: Final = 0.02
# Share of an average request's value that does not depend on size, and the
# upper bound of the relative value; both as in the platform's accounting.
_FIXED_VALUE_SHARE: Final = 0.3
_MAX_RELATIVE_VALUE: Final = 4.0
# Lead of a request with twice the average value (seconds): about the wait for
# one call of a stage.
_LEAD_S: Final = 0.3


@final
class RequestSizes:
    """Moving averages of the size of requests by route."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._average_by_route: dict[str, float] = {}

    def record(self, route: str, metadata: RequestMetadata) -> None:
        """Include a request in the average of its route."""
        size = _weigh_tokens(metadata)
        average = self._average_by_route.get(route, size)
        self._average_by_route[route] = average + _WEIGHT * (size - average)

    def lead_s(self, route: str, metadata: RequestMetadata) -> float:
        """Return how much earlier a request is scheduled (seconds).

        Negative if its value is below the average.
        """
        average = self._average_by_route.get(route, float(0))
        if not average:
            return float(0)
        size_share = (
            (1 - _FIXED_VALUE_SHARE) * _weigh_tokens(metadata) / average
        )
        relative_value = min(
            _MAX_RELATIVE_VALUE, _FIXED_VALUE_SHARE + size_share
        )
        return _LEAD_S * math.log2(relative_value)


def _weigh_tokens(metadata: RequestMetadata) -> float:
    if not metadata.token_counts:
        return float(0)
    generated = sum(metadata.token_counts[1:])
    return metadata.token_counts[0] + _GENERATED_WEIGHT * generated
