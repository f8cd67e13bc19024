"""Metrics of the request path."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Histogram

UPSTREAM_CALLS: Final = Counter(
    'damaskpoint_upstream_calls_total',
    'Calls to upstreams, by pool and end.',
)
UPSTREAM_CONNECTIONS: Final = Counter(
    'damaskpoint_upstream_connections_total',
    'Connections to upstreams, by use: opened or reused.',
)
STAGES: Final = Counter(
    'damaskpoint_stages_total',
    'Stages run, by stage and result.',
)
STAGE_SECONDS: Final = Histogram(
    'damaskpoint_stage_seconds',
    'Time of a stage with its retries (seconds), by stage.',
    buckets=[0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10],
)
RETRIES: Final = Counter(
    'damaskpoint_retries_total',
    'Retry decisions, by decision and cause.',
)
HEDGES: Final = Counter(
    'damaskpoint_hedges_total',
    'Second calls to a slow idempotent stage, by result.',
)
DISCARDED: Final = Counter(
    'damaskpoint_discarded_answers_total',
    'Answers that were not used, by reason.',
)
RESUMES: Final = Counter(
    'damaskpoint_stream_resumes_total',
    'Broken streams, by what became of them.',
)
UNITS: Final = Counter(
    'damaskpoint_stage_units_total',
    'Units of work that engines reported, by stage and use.',
)
