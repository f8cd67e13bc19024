"""Gauges and counters of what callers hold."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

CONNECTIONS: Final = Gauge(
    'damaskpoint_caller_connections', 'Open connections of callers.'
)
HELD_BYTES: Final = Gauge(
    'damaskpoint_held_bytes',
    'Bytes held for callers, of requests and of answers.',
)
REFUSED: Final = Counter(
    'damaskpoint_bodies_refused_total',
    'Requests refused before their body was complete, by code.',
)
EVICTED: Final = Counter(
    'damaskpoint_connections_evicted_total',
    'Connections of callers closed as there were too many.',
)
