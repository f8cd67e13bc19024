"""How long a report of a peer stays in use.

Pledges and paces are sent by their owner alone. In a large fleet a round of
gossip reaches only some peers, so a report must outlast the rounds until the
next one from the same peer.
"""

from __future__ import annotations

from typing import Final

# Age up to which any report is used (seconds): several rounds of gossip.
_MIN_AGE_S: Final = 1.0
# Cycles of gossip for which a report is used. The order of peers differs from
# cycle to cycle, so two datagrams to a peer are up to two cycles apart.
_CYCLES: Final = 2.5


def find_max_age_s(cycle_s: float) -> float:
    """Return the age above which reports are ignored (seconds).

    ``cycle_s`` is the time in which each live peer is sent one datagram.
    """
    return max(_MIN_AGE_S, _CYCLES * cycle_s)
