"""How long runners of each service take to their first event."""

from __future__ import annotations

from typing import Final, final

# Weight of one request in the average: about the last twenty count.
_WEIGHT: Final = 0.05
# Time to the first event before one was measured (seconds).
_UNKNOWN_S: Final = 0.15


@final
class FirstEventTimes:
    """Averages by service, in seconds."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self._average_by_service: dict[str, float] = {}

    def record(self, service: str, took_s: float) -> None:
        """Take the time from the send to the first event."""
        average = self._average_by_service.get(service, took_s)
        self._average_by_service[service] = average + _WEIGHT * (
            took_s - average
        )

    def estimate_s(self, service: str) -> float:
        """Return how long the first event will take."""
        return self._average_by_service.get(service, _UNKNOWN_S)
