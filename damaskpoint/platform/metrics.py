"""Metrics of the calls to the platform."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter

CALLS: Final = Counter(
    'damaskpoint_platform_calls_total',
    "Calls to the platform's service, by service and how they ended.",
)
