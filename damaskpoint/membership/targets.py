"""Chooses the recipients of gossip and the size of their datagrams."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults

if TYPE_CHECKING:
    import random

    from damaskpoint.membership.facts import Address

# Least size of a datagram in rounds that reach every live peer (bytes).
_MESH_DATAGRAM_BYTES: Final = 300
# Size of a datagram in rounds that reach only some live peers (bytes).
_PARTIAL_DATAGRAM_BYTES: Final = 700
# Recipients of one datagram in such rounds. Packing and encoding one costs as
# much as receiving one; the content changes within a round, so that different
# facts reach different peers.
_RECIPIENTS_PER_DATAGRAM: Final = 5
# Copies of an update that each process sends, in addition to ln(peers).
_EXTRA_COPIES: Final = 2
# Number of addresses without a live peer that each round also sends to.
_PROBES_PER_ROUND: Final = 2


@final
@dataclass(frozen=True, slots=True)
class RoundPlan:
    """The recipients of a round."""

    addresses: tuple[Address, ...]
    # Limit on each datagram, UDP and IP headers included.
    datagram_bytes: int
    # Number of addresses that are sent the same datagram.
    recipients: int


@final
class TargetChooser:
    """Cycles through all live peers, reshuffled for each cycle."""

    def __init__(self, rng: random.Random, round_bytes: int) -> None:
        """Limit each round to ``round_bytes``."""
        self._rng = rng
        self._round_bytes = round_bytes
        self._cycle: list[Address] = []

    def plan_round(
        self, live: tuple[Address, ...], silent: tuple[Address, ...]
    ) -> RoundPlan:
        """Return the recipients of a round, including some silent addresses."""
        probes = self._choose_probes(silent)
        mesh_count = len(live) + len(probes)
        if mesh_count * _MESH_DATAGRAM_BYTES <= self._round_bytes:
            share = self._round_bytes // max(1, mesh_count)
            return RoundPlan(
                live + probes,
                min(share, defaults.MAX_DATAGRAM_BYTES),
                max(1, mesh_count),
            )
        available = self._round_bytes - len(probes) * _MESH_DATAGRAM_BYTES
        count = max(1, available // _PARTIAL_DATAGRAM_BYTES)
        return RoundPlan(
            self._next_in_cycle(live, count) + probes,
            min(available // count, defaults.MAX_DATAGRAM_BYTES),
            _RECIPIENTS_PER_DATAGRAM,
        )

    def count_cycle_rounds(self, live_count: int) -> int:
        """Return the rounds in which each live peer is sent a datagram."""
        if live_count * _MESH_DATAGRAM_BYTES <= self._round_bytes:
            return 1
        per_round = max(1, self._round_bytes // _PARTIAL_DATAGRAM_BYTES)
        return math.ceil(live_count / per_round)

    def choose_for_updates(
        self, live: tuple[Address, ...]
    ) -> tuple[Address, ...]:
        """Return the peers that an update is sent to at once.

        Up to ``FULL_MESH_PEERS`` peers are all sent the update. Above that,
        it goes to a random sample, whose members forward it in the same way
        until all peers have it.
        """
        if len(live) <= defaults.FULL_MESH_PEERS:
            return live
        copies = math.ceil(math.log(len(live))) + _EXTRA_COPIES
        return tuple(self._rng.sample(live, copies))

    def _choose_probes(
        self, silent: tuple[Address, ...]
    ) -> tuple[Address, ...]:
        if len(silent) <= _PROBES_PER_ROUND:
            return silent
        return tuple(self._rng.sample(silent, _PROBES_PER_ROUND))

    def _next_in_cycle(
        self, live: tuple[Address, ...], count: int
    ) -> tuple[Address, ...]:
        present = set(live)
        chosen: list[Address] = []
        while len(chosen) < min(count, len(present)):
            if not self._cycle:
                self._cycle = sorted(present)
                self._rng.shuffle(self._cycle)
            address = self._cycle.pop()
            if address in present and address not in chosen:
                chosen.append(address)
        return tuple(chosen)
