"""Measures gossip against the number of peers, in one process.

The deciding classes of all peers run under virtual time; datagrams take a
fixed time and none is lost. It measures slopes, it does not stand for a
cluster. Run it with ``python -m damaskpoint.load.slopes_gossip 8 32 128``.
"""

from __future__ import annotations

import heapq
import itertools
import json
import pathlib
import random
import resource
import sys
import time
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.errors import Failure
from damaskpoint.load.slope import SizeRow
from damaskpoint.membership import facts, sizes
from damaskpoint.membership.addresses import AddressBook
from damaskpoint.membership.gossiper import create_gossiper
from damaskpoint.membership.view import View

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.membership.gossiper import Gossiper, Outgoing

SIZES: Final = (8, 32, 128, 690)

_US_PER_S: Final = 1_000_000
_BYTES_PER_KB: Final = 1_000
_LATENCY_S: Final = 0.0015
_PORT: Final = 7_000
_UPSTREAMS: Final = 10
_ACCOUNTS: Final = 5
_ZONES: Final = 5
_MARKS: Final = 5
_MARK_GAP_S: Final = 2.0
_DIGEST: Final = (
    '5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e'
)
_HOSTS_PER_NET: Final = 250
_FIRST_START: Final = 1_700_000_000_000
_WARM_UP_S: Final = 15
_SPREAD_LIMIT_S: Final = 60.0
_PERCENTILE: Final = 0.99


@final
class _Fleet:
    """All peers, and the datagrams between them, under virtual time."""

    def __init__(self, count: int, seed: int) -> None:
        self.now = 1000.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, int, bytes | None]] = []
        self._indexes_by_host: dict[str, int] = {}
        self.gossipers: list[Gossiper] = []
        self.sent_in_second: list[dict[int, int]] = []
        rng = random.Random(seed)
        addresses = [
            facts.Address(
                f'10.0.{index // _HOSTS_PER_NET}.{index % _HOSTS_PER_NET}',
                _PORT,
            )
            for index in range(count)
        ]
        for index, address in enumerate(addresses):
            self._indexes_by_host[address.host] = index
            self.gossipers.append(_create_peer(index, address, addresses))
            self.sent_in_second.append({})
            self._push(
                self.now + rng.random() * defaults.GOSSIP_INTERVAL_S,
                index,
                None,
            )

    def run_until(self, end: float) -> None:
        """Run rounds and deliveries up to a time."""
        while self._events and self._events[0][0] <= end:
            at, _, index, datagram = heapq.heappop(self._events)
            self.now = at
            if datagram is None:
                self._run_round(index)
                continue
            self._deliver(index, datagram)
        self.now = end

    def send_updates(self, index: int) -> None:
        """Let a peer tell what is new at once."""
        self._post(index, self.gossipers[index].send_updates(self.now))

    def _run_round(self, index: int) -> None:
        self._post(index, self.gossipers[index].start_round(self.now))
        self._push(self.now + defaults.GOSSIP_INTERVAL_S, index, None)

    def _deliver(self, index: int, datagram: bytes) -> None:
        gossiper = self.gossipers[index]
        news = gossiper.receive(datagram, '10.0.0.0', self.now)
        if isinstance(news, Failure):
            raise TypeError(news.detail)
        heard = news.configuration
        if heard is not None:
            if gossiper.view.publish_configuration(heard, self.now):
                gossiper.schedule_updates()
        if gossiper.has_pending_updates:
            self.send_updates(index)

    def _post(self, index: int, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            second = int(self.now)
            by_second = self.sent_in_second[index]
            size = len(item.datagram) + sizes.DATAGRAM_OVERHEAD_BYTES
            by_second[second] = by_second.get(second, 0) + size
            target = self._indexes_by_host[item.address.host]
            self._push(self.now + _LATENCY_S, target, item.datagram)

    def _push(self, at: float, index: int, datagram: bytes | None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), index, datagram))


def measure(peer_counts: Sequence[int] = SIZES, seed: int = 1) -> list[SizeRow]:
    """Return bytes, spread, silence and cost of a peer, by peers.

    Spread is the time from the telling of a mark, or of a version, to its
    last hearer. Silence is the time since a live peer was last heard of,
    over all pairs.
    """
    return [_measure_one(count, seed) for count in peer_counts]


@final
@dataclass(frozen=True, slots=True)
class _Totals:
    """Sums over all peers since the start, for each peer."""

    at: float
    processor_s: float
    sent_bytes: float
    sent: float
    held_back: float


@final
@dataclass(frozen=True, slots=True)
class _Spread:
    """Longest times until all had heard, in seconds."""

    mark_s: float
    configuration_s: float


def _measure_one(count: int, seed: int) -> SizeRow:
    memory_before = _read_memory_bytes()
    fleet = _Fleet(count, seed)
    fleet.run_until(
        fleet.now + _WARM_UP_S + count * defaults.PEER_TIMEOUT_PER_PEER_S
    )
    before = _sum_counts(fleet)
    spread = _measure_spread(fleet)
    after = _sum_counts(fleet)
    seconds = after.at - before.at
    silences = _collect_silences(fleet)
    figures: dict[str, float] = {
        'sent_bytes_per_s': (after.sent_bytes - before.sent_bytes) / seconds,
        'max_bytes_in_a_second': max(
            max(by_second.values()) for by_second in fleet.sent_in_second
        ),
        'datagrams_per_s': (after.sent - before.sent) / seconds,
        'held_back_per_s': (after.held_back - before.held_back) / seconds,
        'mark_spread_s': spread.mark_s,
        'configuration_spread_s': spread.configuration_s,
        'silence_p99_s': silences[int(len(silences) * _PERCENTILE)],
        'silence_max_s': silences[-1],
        'not_live_pairs': count * (count - 1) - len(silences),
        'processor_us_per_s': (after.processor_s - before.processor_s)
        / seconds
        * _US_PER_S,
        'memory_kb': (_read_memory_bytes() - memory_before)
        / count
        / _BYTES_PER_KB,
    }
    return SizeRow(count, figures)


def _measure_spread(fleet: _Fleet) -> _Spread:
    mark_spreads_s = []
    for number in range(_MARKS):
        mark_spreads_s.append(_spread_mark(fleet, number))
        fleet.run_until(fleet.now + _MARK_GAP_S)
    configuration_s = _spread_configuration(fleet)
    fleet.run_until(fleet.now + _MARK_GAP_S)
    return _Spread(max(mark_spreads_s), configuration_s)


def _create_peer(
    index: int, address: facts.Address, addresses: Iterable[facts.Address]
) -> Gossiper:
    own = facts.PeerFact(
        name=f'entry-{index:03d}',
        zone=f'zone-{index % _ZONES}',
        host=address.host,
        peer_port=address.port,
        start=_FIRST_START + index,
        heartbeat=0,
        phase=facts.Phase.SERVING,
    )
    view = View(own, defaults.PEER_TIMEOUT_S)
    view.publish_configuration(facts.ConfigurationFact(1, _DIGEST, None), 0)
    view.publish_shares(
        {f'runner-{number:04d}': number for number in range(_UPSTREAMS)}
    )
    view.publish_demands(
        facts.DemandFact(f'account-{number}', 10, 5)
        for number in range(_ACCOUNTS)
    )
    return create_gossiper(
        view,
        AddressBook(address, addresses, ()),
        defaults.GOSSIP_BYTES_PER_S,
        defaults.GOSSIP_INTERVAL_S,
        index,
    )


def _spread_mark(fleet: _Fleet, number: int) -> float:
    """Return the time from the telling of a mark to its last hearer."""
    teller = (number * 7) % len(fleet.gossipers)
    subject = f'runner-{number:04d}'
    kind = facts.MarkKind.LEAVING
    began_at = fleet.now
    fleet.gossipers[teller].view.publish_mark(kind, subject, 1, fleet.now)
    fleet.send_updates(teller)
    identity = facts.MarkIdentity(kind, subject, '')
    while fleet.now < began_at + _SPREAD_LIMIT_S:
        if _all_hold_mark(fleet, identity):
            return fleet.now - began_at
        fleet.run_until(fleet.now + _LATENCY_S)
    return float('inf')


def _all_hold_mark(fleet: _Fleet, identity: facts.MarkIdentity) -> bool:
    for gossiper in fleet.gossipers:
        if gossiper.view.marks.find(identity) is None:
            return False
    return True


def _spread_configuration(fleet: _Fleet) -> float:
    """Return the time from a new version to its last hearer."""
    began_at = fleet.now
    fact = facts.ConfigurationFact(2, _DIGEST, fleet.now)
    fleet.gossipers[0].view.publish_configuration(fact, fleet.now)
    fleet.send_updates(0)
    while fleet.now < began_at + _SPREAD_LIMIT_S:
        if _all_have_version(fleet, fact.version):
            return fleet.now - began_at
        fleet.run_until(fleet.now + _LATENCY_S)
    return float('inf')


def _all_have_version(fleet: _Fleet, version: int) -> bool:
    for gossiper in fleet.gossipers:
        held = gossiper.view.configuration
        if held is None or held.version < version:
            return False
    return True


def _collect_silences(fleet: _Fleet) -> list[float]:
    silences: list[float] = []
    for gossiper in fleet.gossipers:
        peers = gossiper.view.peers
        for fact in gossiper.view.live_peers(fleet.now):
            silences.append(fleet.now - peers.last_seen(fact.name))
    return sorted(silences)


def _sum_counts(fleet: _Fleet) -> _Totals:
    counts = [gossiper.counts for gossiper in fleet.gossipers]
    peers = len(counts)
    return _Totals(
        fleet.now,
        time.process_time() / peers,
        sum(count.sent_bytes for count in counts) / peers,
        sum(count.sent for count in counts) / peers,
        sum(count.held_back for count in counts) / peers,
    )


def _read_memory_bytes() -> int:
    """Return the memory of this process that is resident."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


def main() -> None:
    """Print a row of JSON for each number of peers of the command line."""
    counts = [int(text) for text in sys.argv[1:]] or SIZES
    for row in measure(counts):
        sys.stdout.write(f'{json.dumps(asdict(row))}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
