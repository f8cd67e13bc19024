"""Prometheus metrics of membership."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter, Gauge

DATAGRAMS_RECEIVED: Final = Counter(
    'damaskpoint_gossip_datagrams_received_total',
    'Datagrams received, by what became of them.',
)
DATAGRAMS_SENT: Final = Counter(
    'damaskpoint_gossip_datagrams_sent_total', 'Datagrams sent.'
)
BYTES_SENT: Final = Counter(
    'damaskpoint_gossip_bytes_sent_total',
    'Bytes sent by gossip, with what UDP and IP add.',
)
DATAGRAMS_HELD_BACK: Final = Counter(
    'damaskpoint_gossip_datagrams_held_back_total',
    'Datagrams not sent because of the bound on bytes.',
)
MARKS_RECEIVED: Final = Counter(
    'damaskpoint_gossip_marks_heard_total',
    'Marks heard from peers that were new, by kind.',
)
PEERS: Final = Gauge('damaskpoint_membership_peers', 'Peers, live and known.')

# Values of the ``outcome`` label of received datagrams.
OUTCOME_TAKEN: Final = 'taken'
OUTCOME_MALFORMED: Final = 'malformed'
OUTCOME_UNKNOWN: Final = 'unknown_sender'
OUTCOME_STALE: Final = 'stale'
