"""Metrics of leases and orders."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

LEASE_WRITES: Final = Counter(
    'damaskpoint_lease_writes_total',
    'Claims, renewals and releases of leases, and how they ended.',
)
LEASES_HELD: Final = Gauge(
    'damaskpoint_reconcile_lease_held', 'Whether the lease of a pool is held.'
)
ORDERS: Final = Counter(
    'damaskpoint_reconcile_orders_total',
    'Orders to engines, by pool and how they ended.',
)
UPSTREAMS_DONE: Final = Gauge(
    'damaskpoint_reconcile_upstreams_done',
    'Upstreams of a pool that have what the configuration asks of them.',
)
