"""Chooses the content of datagrams and limits the bytes sent per second.

Marks are packed first, then the sender's paces, pledges and run counts, peers,
their heartbeats, reports of slow runners, counts of rollouts, the rest of the
sender's own work and load reports; new marks and peers come before old ones.
Each kind may use a fraction of the bytes that remain at that point; bytes that
it does not use are available to the kinds after it.
"""

from __future__ import annotations

import collections
import itertools
from functools import partial
from typing import TYPE_CHECKING, Final, TypeVar, final

from damaskpoint.membership import sizes
from damaskpoint.membership.facts import (
    GossipMessage,
    HeartbeatFact,
    LoadFact,
    Mark,
    PeerFact,
    RolloutFact,
)
from damaskpoint.membership.peers import compute_beat_id

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from damaskpoint.membership.view import View

# Fractions of the bytes that remain when a kind is packed.
_NEW_MARKS_FRACTION: Final = 0.6
_OLD_MARKS_FRACTION: Final = 0.15
_WORK_FRACTION: Final = 0.42
_NEW_PEERS_FRACTION: Final = 0.5
_OLD_PEERS_FRACTION: Final = 0.1
_HEARTBEATS_FRACTION: Final = 0.6
# Heartbeats of other peers in a datagram. Each instance receives some hundred
# datagrams a second, so that it still hears of each peer several times within
# the time after which a silent one counts as failed.
_MAX_HEARTBEATS: Final = 16
_CAPACITIES_FRACTION: Final = 0.3
_WINDOW_S: Final = 1.0

_Fact = TypeVar('_Fact')


@final
class ByteWindow:
    """A hard limit on the bytes sent within any one second."""

    def __init__(self, bytes_per_s: int) -> None:
        """Start with nothing sent."""
        self._bytes_per_s = bytes_per_s
        self._sent: collections.deque[tuple[float, int]] = collections.deque()
        self._total = 0

    def available(self, now: float) -> int:
        """Return how many bytes may be sent now."""
        while self._sent and self._sent[0][0] <= now - _WINDOW_S:
            self._total -= self._sent.popleft()[1]
        return self._bytes_per_s - self._total

    def spend(self, now: float, byte_count: int) -> None:
        """Record bytes as sent."""
        self._sent.append((now, byte_count))
        self._total += byte_count


def pack_round(view: View, now: float, max_bytes: int) -> GossipMessage:
    """Return the message of a regular round.

    ``max_bytes`` limits the datagram, UDP and IP headers included.
    """
    budget = _DatagramBudget(max_bytes - _measure_header(view, now))
    measure_mark = partial(sizes.measure_mark, now=now)
    marks = budget.take(_new_marks(view), measure_mark, _NEW_MARKS_FRACTION)
    marks += budget.take(_old_marks(view), measure_mark, _OLD_MARKS_FRACTION)
    # Only their owner sends these, whereas peers relay the facts below.
    paces = budget.take(
        view.own_paces.iterate(), sizes.measure_pace, _WORK_FRACTION
    )
    pledges = budget.take(
        view.own_pledges.iterate(), sizes.measure_pledge, _WORK_FRACTION
    )
    run_counts = budget.take(
        view.own_run_counts, sizes.measure_run_count, _WORK_FRACTION
    )
    new_peers = budget.take(
        _new_peers(view), sizes.measure_peer, _NEW_PEERS_FRACTION
    )
    old_peers = budget.take(
        _old_peers(view, now), sizes.measure_peer, _OLD_PEERS_FRACTION
    )
    heartbeats = budget.take(
        itertools.islice(_heartbeats(view, now), _MAX_HEARTBEATS),
        sizes.measure_heartbeat,
        _HEARTBEATS_FRACTION,
    )
    return GossipMessage(
        sender=view.own,
        configuration=view.configuration,
        marks=marks,
        capacities=budget.take(
            view.own_capacities,
            partial(sizes.measure_capacity, now=now),
            _CAPACITIES_FRACTION,
        ),
        rollouts=budget.take(
            _rollouts(view), sizes.measure_rollout, _WORK_FRACTION
        ),
        demands=budget.take(
            view.own_demands.iterate(), sizes.measure_demand, _WORK_FRACTION
        ),
        shares=budget.take(
            view.own_shares.iterate(), sizes.measure_share, _WORK_FRACTION
        ),
        paces=paces,
        pledges=pledges,
        peers=new_peers + old_peers,
        beats=heartbeats,
        loads=budget.take(
            _loads(view), partial(sizes.measure_load, now=now), 1
        ),
        run_counts=run_counts,
    )


def pack_updates(view: View, now: float, max_bytes: int) -> GossipMessage:
    """Return a message with the configuration, run counts and newest marks.

    ``max_bytes`` limits the datagram, UDP and IP headers included.
    """
    budget = _DatagramBudget(max_bytes - _measure_header(view, now))
    measure_mark = partial(sizes.measure_mark, now=now)
    run_counts = budget.take(
        view.own_run_counts, sizes.measure_run_count, _WORK_FRACTION
    )
    return GossipMessage(
        sender=view.own,
        configuration=view.configuration,
        marks=budget.take(_newest_marks(view), measure_mark, 1),
        run_counts=run_counts,
    )


def record_sent(view: View, message: GossipMessage, copies: int) -> None:
    """Record that a message was sent to ``copies`` peers."""
    for mark in message.marks:
        view.marks.rotation.record_sent(mark.identity, copies)
    _record_work_sent(view, message, copies)
    for peer in message.peers:
        view.peers.rotation.record_sent(peer.name, copies)
    for beat in message.beats:
        view.peers.record_heartbeat_sent(beat.beat_id, copies)
    for load in message.loads:
        view.loads.rotation.record_sent(load.upstream, copies)


def _record_work_sent(view: View, message: GossipMessage, copies: int) -> None:
    for demand in message.demands:
        view.own_demands.rotation.record_sent(demand.account, copies)
    for share in message.shares:
        view.own_shares.rotation.record_sent(share.upstream, copies)
    for pace in message.paces:
        view.own_paces.rotation.record_sent(pace.group, copies)
    for pledge in message.pledges:
        view.own_pledges.rotation.record_sent(pledge.group, copies)
    for fact in message.rollouts:
        view.own_rollouts.rotation.record_sent(
            f'{fact.service}/{fact.key}', copies
        )


@final
class _DatagramBudget:
    """The bytes that remain for facts in a datagram."""

    def __init__(self, byte_count: int) -> None:
        self._remaining = byte_count

    def take(
        self,
        candidates: Iterable[_Fact],
        measure: Callable[[_Fact], int],
        fraction: float,
    ) -> tuple[_Fact, ...]:
        """Return the first candidates that fit the fraction, and spend it."""
        available = int(self._remaining * fraction)
        taken = []
        for candidate in candidates:
            size = measure(candidate)
            if size > available:
                break
            available -= size
            self._remaining -= size
            taken.append(candidate)
        return tuple(taken)


def _measure_header(view: View, now: float) -> int:
    size = sizes.DATAGRAM_OVERHEAD_BYTES + sizes.MESSAGE_OVERHEAD_BYTES
    size += sizes.measure_peer(view.own)
    if view.configuration is not None:
        size += sizes.measure_configuration(view.configuration, now)
    return size


def _new_marks(view: View) -> Iterator[Mark]:
    for identity in view.marks.rotation.iterate_new():
        mark = view.marks.find(identity)
        if mark is not None:
            yield mark


def _newest_marks(view: View) -> Iterator[Mark]:
    for identity in view.marks.rotation.iterate_newest():
        mark = view.marks.find(identity)
        if mark is not None:
            yield mark


def _old_marks(view: View) -> Iterator[Mark]:
    for identity in view.marks.rotation.iterate_others():
        mark = view.marks.find(identity)
        if mark is not None:
            yield mark


def _new_peers(view: View) -> Iterator[PeerFact]:
    for name in view.peers.rotation.iterate_new():
        peer = view.peers.find(name)
        if peer is not None:
            yield peer


def _old_peers(view: View, now: float) -> Iterator[PeerFact]:
    """Yield the peers that are live here.

    Silent peers are left out, so that old facts do not circulate forever.
    """
    for name in view.peers.rotation.iterate_others():
        peer = view.peers.find_live(name, now)
        if peer is not None:
            yield peer


def _heartbeats(view: View, now: float) -> Iterator[HeartbeatFact]:
    for name in view.peers.heartbeat_rotation.iterate_others():
        peer = view.peers.find_live(name, now)
        if peer is None:
            continue
        yield HeartbeatFact(compute_beat_id(name, peer.start), peer.heartbeat)


def _rollouts(view: View) -> Iterator[RolloutFact]:
    """Yield the reports, then the counts, the least recently sent first."""
    for report in view.own_rollouts.iterate():
        if report.is_report:
            yield report
    for counted in view.own_rollouts.iterate():
        if not counted.is_report:
            yield counted


def _loads(view: View) -> Iterator[LoadFact]:
    for upstream in view.loads.rotation.iterate_others():
        load = view.loads.find(upstream)
        if load is not None:
            yield load
