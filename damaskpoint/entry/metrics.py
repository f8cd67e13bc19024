"""Metrics of the requests of callers."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram

REQUESTS: Final = Counter(
    'damaskpoint_requests_total',
    'Final answers, by kind of target and code (ok or that of the failure).',
)
REQUEST_SECONDS: Final = Histogram(
    'damaskpoint_request_seconds',
    'Time from the arrival to the final answer (seconds), by kind of target.',
    buckets=[0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30],
)
IN_FLIGHT: Final = Gauge(
    'damaskpoint_requests_in_flight',
    'Requests that have no final answer yet.',
)
REPLAYS: Final = Counter(
    'damaskpoint_replayed_answers_total',
    'Answers that an earlier request with the same key had brought.',
)
CONNECTIONS_EVICTED: Final = Counter(
    'damaskpoint_entry_connections_evicted_total',
    'Connections of callers closed as there were too many.',
)
