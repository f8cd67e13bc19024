"""Metrics of the calls between processes."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter

PEER_CALLS_SERVED: Final = Counter(
    'damaskpoint_peer_calls_served_total', 'Peer calls served, by their end.'
)
PEER_CALLS_MADE: Final = Counter(
    'damaskpoint_peer_calls_made_total',
    'Calls made to peers, by method and end.',
)

# Values of the label ``end``.
END_ANSWERED: Final = 'answered'
END_MALFORMED: Final = 'malformed'
END_FAILED: Final = 'failed'
