"""Prometheus metrics of the catalog."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter

BAD_ROWS: Final = Counter(
    'damaskpoint_bad_rows_total',
    'Rows of the store that could not be read, by table.',
)
TABLE_FAILURES: Final = Counter(
    'damaskpoint_table_failures_total',
    'Reads of a table that failed, by table and code.',
)
