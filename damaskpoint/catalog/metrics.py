"""Prometheus metrics of the catalog."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

BAD_ROWS: Final = Counter(
    'damaskpoint_bad_rows_total',
    'Rows of the store that could not be read, by table.',
)
TABLE_FAILURES: Final = Counter(
    'damaskpoint_table_failures_total',
    'Reads of a table that failed, by table and code.',
)
TABLE_AGE: Final = Gauge(
    'damaskpoint_table_age_seconds',
    'Time since the last successful read of a table, by table. A watch'
    ' without changes takes 20 s.',
)
