"""Counters and histograms of admission."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram

_WAIT_BUCKETS_S: Final = [0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0]

ADMITTED: Final = Counter(
    'damaskpoint_admission_admitted_total',
    'Requests let in, by client account and whether they waited.',
)
REFUSED: Final = Counter(
    'damaskpoint_admission_refused_total',
    'Requests refused, by client account, code and whether they waited.',
)
ABANDONED: Final = Counter(
    'damaskpoint_admission_abandoned_total',
    'Requests whose caller left while they waited, by client account.',
)
WAIT_SECONDS: Final = Histogram(
    'damaskpoint_admission_wait_seconds',
    'Time that let-in requests waited.',
    buckets=_WAIT_BUCKETS_S,
)
WAITING: Final = Gauge(
    'damaskpoint_admission_waiting', 'Requests that wait to be let in.'
)
RUNNING: Final = Gauge(
    'damaskpoint_admission_running', 'Requests that were let in and run.'
)
