"""Prometheus metrics of batching."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter

FULL_RUNNERS: Final = Counter(
    'damaskpoint_stage_runner_full_total',
    'Calls that found their stage runner full, by service.',
)
BATCHER_CHANGES: Final = Counter(
    'damaskpoint_batching_instance_changes_total',
    'Changes of the instance that orders of a group go to, by service.',
)
HANDED_BACK: Final = Counter(
    'damaskpoint_pieces_handed_back_total',
    'Waiting pieces that this instance handed back in its shutdown.',
)
DIRECT_ORDERS: Final = Counter(
    'damaskpoint_direct_piece_orders_total',
    'Orders of pieces made without the batching instance, by service.',
)
