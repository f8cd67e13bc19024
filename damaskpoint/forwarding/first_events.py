"""Estimates the time until a runner's first event, by service."""

from __future__ import annotations

from typing import Final, final

# Weight of one request in the EWMA: about the last twenty requests count.
_WEIGHT: Final = 0.05
# Estimate for a service without measurements (seconds).
_DEFAULT_S: Final = 0.15


@final
class FirstEventTimes:
    """Moving averages by service, in seconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._average_by_service: dict[str, float] = {}

    def record(self, service: str, took_s: float) -> None:
        """Record the time from the send to the first event."""
        average = self._average_by_service.get(service, took_s)
        self._average_by_service[service] = average + _WEIGHT * (
            took_s - average
        )

    def estimate_s(self, service: str) -> float:
        """Return the expected time until the first event."""
        return self._average_by_service.get(service, _DEFAULT_S)
