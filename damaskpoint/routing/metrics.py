"""Counters for routing decisions."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter

CHOSEN: Final = Counter(
    'damaskpoint_routing_chosen_total',
    'Upstreams chosen, by pool and reason.',
)
REFUSED: Final = Counter(
    'damaskpoint_routing_refused_total',
    'Calls that got no upstream, by pool and reason.',
)
WAITED: Final = Counter(
    'damaskpoint_routing_waited_total',
    'Calls that waited for an upstream, by pool.',
)
AFFINITY: Final = Counter(
    'damaskpoint_routing_affinity_total',
    'Calls with a prefix, by whether it kept its upstream.',
)
COLD_LIMITED: Final = Counter(
    'damaskpoint_routing_cold_limited_total',
    'Times that a cold upstream without a free permit was wanted, by pool.',
)
BREAKERS: Final = Counter(
    'damaskpoint_routing_breakers_total',
    'Changes of breakers, by pool and new state.',
)
OUTLIERS: Final = Counter(
    'damaskpoint_routing_outliers_total',
    'Upstreams found slow against the median, by pool.',
)
CLAIMS: Final = Counter(
    'damaskpoint_routing_claims_total',
    'Claims of leases on cold upstreams, by result.',
)
UNPROVEN: Final = Counter(
    'damaskpoint_routing_unproven_total',
    'Upstreams that stopped to count as warm, by reason.',
)
PROVEN: Final = Counter(
    'damaskpoint_routing_proven_total',
    'Upstreams that were proven warm, by pool.',
)
POLLS: Final = Counter(
    'damaskpoint_routing_load_polls_total',
    'Reads of load reports, by result.',
)
LOANS: Final = Counter(
    'damaskpoint_routing_loans_total',
    'Permits lent to peers and borrowed from them, by result.',
)
TABLE_CALLS: Final = Counter(
    'damaskpoint_routing_lease_table_calls_total',
    'Reads and writes of lease rows, by kind and result.',
)
