"""A fleet whose instances report their pledges and paces by gossip.

Each instance chooses the recipients of its rounds as the gossip does; only
what one instance hears is simulated, without datagrams.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from damaskpoint import defaults
from damaskpoint.batching.paces import PaceTable
from damaskpoint.batching.pledges import PledgeTable
from damaskpoint.batching.report_age import find_max_age_s
from damaskpoint.gateway.options import GossipSection
from damaskpoint.membership.facts import Address, PaceFact
from damaskpoint.membership.targets import TargetChooser

if TYPE_CHECKING:
    from collections.abc import Iterator

_GOSSIP: Final = GossipSection()
_PORT: Final = 7000
GROUP: Final = 'stage/0'
PACE: Final = 3.0


class ReportingFleet:
    """Peers that report to one instance; times are virtual seconds."""

    def __init__(self, count: int, seed: int, loss: float = 0) -> None:
        """Create ``count`` peers; a share ``loss`` of datagrams is lost."""
        rng = random.Random(seed)
        self._rng = rng
        self._loss = loss
        self.now = float(0)
        addresses = tuple(
            Address(f'10.0.{number // 250}.{number % 250}', _PORT)
            for number in range(count + 1)
        )
        self._observer = addresses[-1]
        round_bytes = int(
            _GOSSIP.bytes_per_s * _GOSSIP.interval_s * defaults.ROUND_SHARE
        )
        self._peers_by_address = {
            address: tuple(item for item in addresses if item != address)
            for address in addresses[:-1]
        }
        self._choosers_by_address = {
            address: TargetChooser(random.Random(rng.random()), round_bytes)
            for address in addresses[:-1]
        }
        self.pledges_by_address = {
            address: PledgeTable() for address in addresses[:-1]
        }
        self.observed = PledgeTable()
        self.paces = PaceTable()
        self.batching = addresses[0]

    def pledge(self, pieces: int) -> None:
        """Let each peer pledge pieces, or withdraw a negative number."""
        for pledges in self.pledges_by_address.values():
            pledges.add(GROUP, pieces, is_deferred=False)

    def run(self, seconds: float) -> Iterator[float]:
        """Play rounds; yield the time after each of them."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += _GOSSIP.interval_s
            for address, chooser in self._choosers_by_address.items():
                plan = chooser.plan_round(self._peers_by_address[address], ())
                is_lost = self._rng.random() < self._loss
                if self._observer in plan.addresses and not is_lost:
                    self._report(address)
            self._expire()
            yield self.now

    def _report(self, address: Address) -> None:
        facts = self.pledges_by_address[address].list_own()
        self.observed.record_peer(address.host, facts, self.now)
        if address == self.batching:
            self.paces.record([PaceFact(GROUP, PACE)], self.now)

    def _expire(self) -> None:
        chooser = next(iter(self._choosers_by_address.values()))
        rounds = chooser.count_cycle_rounds(len(self._choosers_by_address))
        max_age_s = find_max_age_s(rounds * _GOSSIP.interval_s)
        for pledges in (self.observed, *self.pledges_by_address.values()):
            pledges.expire(self.now, max_age_s)
        self.paces.expire(self.now, max_age_s)
