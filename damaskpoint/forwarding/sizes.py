"""How large a request is, against the others of its route.

A large generation is worth more than a small one that needs the same
stages, so it goes first where not all can be served.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from damaskpoint.forwarding.metadata import RequestMetadata

# A generated token costs about as much as ten that are read.
_GENERATED_WEIGHT: Final = 10
# Weight of one request in the average: about the last fifty count.
_WEIGHT: Final = 0.02
# Part of a request's worth that does not depend on its size, and the most
# that its size makes it worth, as the platform's accounting has them.
_FIXED_SHARE: Final = 0.3
_MAX_WORTH: Final = 4.0
# Time that a request of twice the worth is put before others (seconds): the
# wait for about one call of a stage.
_LEAD_S: Final = 0.3


@final
class RequestSizes:
    """Average sizes by route."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self._average_by_route: dict[str, float] = {}

    def record(self, route: str, metadata: RequestMetadata) -> None:
        """Take a request into the average of its route."""
        size = _measure(metadata)
        average = self._average_by_route.get(route, size)
        self._average_by_route[route] = average + _WEIGHT * (size - average)

    def lead_s(self, route: str, metadata: RequestMetadata) -> float:
        """Return by how much a request goes before others (seconds).

        Negative for one that is worth less than the average.
        """
        average = self._average_by_route.get(route, float(0))
        if not average:
            return float(0)
        size_share = (1 - _FIXED_SHARE) * _measure(metadata) / average
        worth = min(_MAX_WORTH, _FIXED_SHARE + size_share)
        return _LEAD_S * math.log2(worth)


def _measure(metadata: RequestMetadata) -> float:
    if not metadata.token_counts:
        return float(0)
    generated = sum(metadata.token_counts[1:])
    return metadata.token_counts[0] + _GENERATED_WEIGHT * generated
