"""Metrics of load balancing."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

REPORTS: Final = Counter(
    'damaskpoint_runner_reports_total',
    'Reports of runners on their load, by service.',
)
RUNNER_LIMIT: Final = Gauge(
    'damaskpoint_runner_learned_limit',
    'Requests at once that a runner sustains, by runner, as last logged: its'
    ' slots divided by its lasting pace.',
)
