"""Gauges of the quarantine of prompt parts."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Gauge

PARTS: Final = Gauge(
    'damaskpoint_prompt_parts',
    'Prompt parts, by state: suspected or quarantined.',
)
