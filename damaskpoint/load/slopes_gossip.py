"""Measures the cost of gossip by the number of peers, in one process.

The gossip classes of all peers run in virtual time; datagrams have a fixed
latency and none is lost. It measures how costs grow and does not replace a
test of a cluster.
Run it with ``python -m damaskpoint.load.slopes_gossip 8 32 128``.
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
_MARK_INTERVAL_S: Final = 2.0
_DIGEST: Final = (
    '5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e'
)
_HOSTS_PER_SUBNET: Final = 250
_FIRST_START: Final = 1_700_000_000_000
_WARM_UP_S: Final = 15
_PROPAGATION_TIMEOUT_S: Final = 60.0
_PERCENTILE: Final = 0.99


@final
class _SimulatedCluster:
    """All peers, and the datagrams between them, in virtual time."""

    def __init__(self, count: int, seed: int) -> None:
        self.now = 1000.0
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, int, bytes | None]] = []
        self._indexes_by_host: dict[str, int] = {}
        self.gossipers: list[Gossiper] = []
        self.sent_in_second: list[dict[int, int]] = []
        rng = random.Random(seed)
        addresses = [
            facts.Address(
                f'10.0.{index // _HOSTS_PER_SUBNET}'
                f'.{index % _HOSTS_PER_SUBNET}',
                _PORT,
            )
            for index in range(count)
        ]
        for index, address in enumerate(addresses):
            self._indexes_by_host[address.host] = index
            self.gossipers.append(_create_peer(index, address, addresses))
            self.sent_in_second.append({})
            self._schedule(
                self.now + rng.random() * defaults.GOSSIP_INTERVAL_S,
                index,
                None,
            )

    def run_until(self, end: float) -> None:
        """Process gossip rounds and deliveries up to a time."""
        while self._events and self._events[0][0] <= end:
            at, _, index, datagram = heapq.heappop(self._events)
            self.now = at
            if datagram is None:
                self._run_round(index)
                continue
            self._deliver(index, datagram)
        self.now = end

    def send_updates(self, index: int) -> None:
        """Send the updates of a peer immediately."""
        self._send(index, self.gossipers[index].send_updates(self.now))

    def _run_round(self, index: int) -> None:
        self._send(index, self.gossipers[index].start_round(self.now))
        self._schedule(self.now + defaults.GOSSIP_INTERVAL_S, index, None)

    def _deliver(self, index: int, datagram: bytes) -> None:
        gossiper = self.gossipers[index]
        update = gossiper.receive(datagram, '10.0.0.0', self.now)
        if isinstance(update, Failure):
            raise TypeError(update.detail)
        received = update.configuration
        if received is not None:
            if gossiper.view.publish_configuration(received, self.now):
                gossiper.schedule_updates()
        if gossiper.has_pending_updates:
            self.send_updates(index)

    def _send(self, index: int, outgoing: Iterable[Outgoing]) -> None:
        for message in outgoing:
            second = int(self.now)
            by_second = self.sent_in_second[index]
            size = len(message.datagram) + sizes.DATAGRAM_OVERHEAD_BYTES
            by_second[second] = by_second.get(second, 0) + size
            target = self._indexes_by_host[message.address.host]
            self._schedule(self.now + _LATENCY_S, target, message.datagram)

    def _schedule(self, at: float, index: int, datagram: bytes | None) -> None:
        heapq.heappush(
            self._events, (at, next(self._event_numbers), index, datagram)
        )


def measure(peer_counts: Sequence[int] = SIZES, seed: int = 1) -> list[SizeRow]:
    """Return traffic, propagation times, silence and cost per peer.

    The propagation (spread) time of a mark or a configuration version runs
    from its publication until the last peer has it. Silence is the time
    since a peer last received a heartbeat of a live peer, over all pairs.
    """
    return [_measure_one(count, seed) for count in peer_counts]


@final
@dataclass(frozen=True, slots=True)
class _PeerAverages:
    """Counts since the start, averaged over all peers."""

    at: float
    processor_s: float
    sent_bytes: float
    sent: float
    held_back: float


@final
@dataclass(frozen=True, slots=True)
class _PropagationTimes:
    """Longest times until all peers had an update, in seconds."""

    mark_s: float
    configuration_s: float


def _measure_one(count: int, seed: int) -> SizeRow:
    memory_before = _read_memory_bytes()
    cluster = _SimulatedCluster(count, seed)
    cluster.run_until(
        cluster.now + _WARM_UP_S + count * defaults.PEER_TIMEOUT_PER_PEER_S
    )
    before = _average_counts(cluster)
    propagation = _measure_propagation(cluster)
    after = _average_counts(cluster)
    seconds = after.at - before.at
    silences = _collect_silences(cluster)
    figures: dict[str, float] = {
        'sent_bytes_per_s': (after.sent_bytes - before.sent_bytes) / seconds,
        'max_bytes_in_a_second': max(
            max(by_second.values()) for by_second in cluster.sent_in_second
        ),
        'datagrams_per_s': (after.sent - before.sent) / seconds,
        'held_back_per_s': (after.held_back - before.held_back) / seconds,
        'mark_spread_s': propagation.mark_s,
        'configuration_spread_s': propagation.configuration_s,
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


def _measure_propagation(cluster: _SimulatedCluster) -> _PropagationTimes:
    mark_times_s = []
    for number in range(_MARKS):
        mark_times_s.append(_propagate_mark(cluster, number))
        cluster.run_until(cluster.now + _MARK_INTERVAL_S)
    configuration_s = _propagate_configuration(cluster)
    cluster.run_until(cluster.now + _MARK_INTERVAL_S)
    return _PropagationTimes(max(mark_times_s), configuration_s)


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


def _propagate_mark(cluster: _SimulatedCluster, number: int) -> float:
    """Return the time until all peers have a published mark."""
    origin = (number * 7) % len(cluster.gossipers)
    subject = f'runner-{number:04d}'
    kind = facts.MarkKind.LEAVING
    started_at = cluster.now
    cluster.gossipers[origin].view.publish_mark(kind, subject, 1, cluster.now)
    cluster.send_updates(origin)
    identity = facts.MarkIdentity(kind, subject, '')
    while cluster.now < started_at + _PROPAGATION_TIMEOUT_S:
        if _all_have_mark(cluster, identity):
            return cluster.now - started_at
        cluster.run_until(cluster.now + _LATENCY_S)
    return float('inf')


def _all_have_mark(
    cluster: _SimulatedCluster, identity: facts.MarkIdentity
) -> bool:
    for gossiper in cluster.gossipers:
        if gossiper.view.marks.find(identity) is None:
            return False
    return True


def _propagate_configuration(cluster: _SimulatedCluster) -> float:
    """Return the time until all peers have a new version."""
    started_at = cluster.now
    fact = facts.ConfigurationFact(2, _DIGEST, cluster.now)
    cluster.gossipers[0].view.publish_configuration(fact, cluster.now)
    cluster.send_updates(0)
    while cluster.now < started_at + _PROPAGATION_TIMEOUT_S:
        if _all_have_version(cluster, fact.version):
            return cluster.now - started_at
        cluster.run_until(cluster.now + _LATENCY_S)
    return float('inf')


def _all_have_version(cluster: _SimulatedCluster, version: int) -> bool:
    for gossiper in cluster.gossipers:
        configuration = gossiper.view.configuration
        if configuration is None or configuration.version < version:
            return False
    return True


def _collect_silences(cluster: _SimulatedCluster) -> list[float]:
    silences: list[float] = []
    for gossiper in cluster.gossipers:
        peers = gossiper.view.peers
        for fact in gossiper.view.live_peers(cluster.now):
            silences.append(cluster.now - peers.last_seen(fact.name))
    return sorted(silences)


def _average_counts(cluster: _SimulatedCluster) -> _PeerAverages:
    counts = [gossiper.counts for gossiper in cluster.gossipers]
    peers = len(counts)
    return _PeerAverages(
        cluster.now,
        time.process_time() / peers,
        sum(count.sent_bytes for count in counts) / peers,
        sum(count.sent for count in counts) / peers,
        sum(count.held_back for count in counts) / peers,
    )


def _read_memory_bytes() -> int:
    """Return the resident set size of this process."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


def main() -> None:
    """Print a row of JSON for each number of peers in the arguments."""
    counts = [int(text) for text in sys.argv[1:]] or SIZES
    for row in measure(counts):
        sys.stdout.write(f'{json.dumps(asdict(row))}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
