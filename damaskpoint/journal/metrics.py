"""Metrics of the journal."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

OPENED: Final = Counter(
    'damaskpoint_journal_opened_total',
    'Attempts to open an idempotency key, by result.',
)
CLOSED: Final = Counter(
    'damaskpoint_journal_closed_total',
    'Rows that were closed, by state.',
)
WRITES: Final = Counter(
    'damaskpoint_journal_writes_total',
    'Writes of rows, by end.',
)
TRANSACTIONS: Final = Counter(
    'damaskpoint_journal_transactions_total',
    'Transactions of the group commit.',
)
PENDING: Final = Gauge(
    'damaskpoint_journal_pending',
    'Rows whose closing the platform has not taken yet.',
)
DROPPED: Final = Counter(
    'damaskpoint_journal_dropped_total',
    'Rows that stay open because their closing was given up.',
)
SWEPT: Final = Counter(
    'damaskpoint_journal_swept_total',
    'Rows that were deleted after their time.',
)
