"""Whom to send the next round of gossip to, and how much to each."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults

if TYPE_CHECKING:
    import random

    from damaskpoint.membership.facts import Address

# Least room for a datagram that goes to every peer in each round (bytes).
_MESH_DATAGRAM_BYTES: Final = 300
# Room for a datagram when a round reaches only some peers (bytes).
_CHOSEN_DATAGRAM_BYTES: Final = 700
# Copies of something new that each process passes on, above ln(peers).
_EXTRA_COPIES: Final = 2
# Addresses without a known peer that a round tries.
_PROBES: Final = 2


@final
@dataclass(frozen=True, slots=True)
class RoundPlan:
    """Where a round goes."""

    addresses: tuple[Address, ...]
    # Bound on each datagram, with what UDP and IP add.
    datagram_bytes: int
    # Whether one datagram serves all addresses.
    is_shared: bool


@final
class TargetChooser:
    """Visits all live peers in turns, in an order drawn anew each time."""

    def __init__(self, rng: random.Random, round_bytes: int) -> None:
        """Start with an empty turn; ``round_bytes`` bounds one round."""
        self._rng = rng
        self._round_bytes = round_bytes
        self._turn: list[Address] = []

    def plan_round(
        self, live: tuple[Address, ...], silent: tuple[Address, ...]
    ) -> RoundPlan:
        """Return whom to send to; a few silent addresses are tried too."""
        probes = self._choose_probes(silent)
        mesh_count = len(live) + len(probes)
        if mesh_count * _MESH_DATAGRAM_BYTES <= self._round_bytes:
            share = self._round_bytes // max(1, mesh_count)
            return RoundPlan(
                live + probes, min(share, defaults.MAX_DATAGRAM_BYTES), True
            )
        room = self._round_bytes - len(probes) * _MESH_DATAGRAM_BYTES
        count = max(1, room // _CHOSEN_DATAGRAM_BYTES)
        return RoundPlan(
            self._next_in_turn(live, count) + probes,
            min(room // count, defaults.MAX_DATAGRAM_BYTES),
            False,
        )

    def choose_for_news(self, live: tuple[Address, ...]) -> tuple[Address, ...]:
        """Return whom to tell something new at once.

        Few peers are all told; among many each tells some, which tell
        others, until all know.
        """
        if len(live) <= defaults.FULL_MESH_PEERS:
            return live
        copies = math.ceil(math.log(len(live))) + _EXTRA_COPIES
        return tuple(self._rng.sample(live, copies))

    def _choose_probes(
        self, silent: tuple[Address, ...]
    ) -> tuple[Address, ...]:
        if len(silent) <= _PROBES:
            return silent
        return tuple(self._rng.sample(silent, _PROBES))

    def _next_in_turn(
        self, live: tuple[Address, ...], count: int
    ) -> tuple[Address, ...]:
        present = set(live)
        chosen: list[Address] = []
        while len(chosen) < min(count, len(present)):
            if not self._turn:
                self._turn = sorted(present)
                self._rng.shuffle(self._turn)
            address = self._turn.pop()
            if address in present and address not in chosen:
                chosen.append(address)
        return tuple(chosen)
