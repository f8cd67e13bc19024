"""What goes into the next datagram, and how many bytes may still be sent.

New marks go first, then the sender's own work, then news of peers, their
heartbeats, and load reports; each kind has a part of the room, and what one
leaves unused is the next one's.
"""

from __future__ import annotations

import collections
from functools import partial
from typing import TYPE_CHECKING, Final, TypeVar, final

from damaskpoint.membership import sizes
from damaskpoint.membership.facts import (
    HeartbeatFact,
    GossipMessage,
    LoadFact,
    Mark,
    PeerFact,
)
from damaskpoint.membership.peers import compute_beat_id

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from damaskpoint.membership.view import View

# Parts of the room that is left when a kind's turn comes.
_NEW_MARKS_PART: Final = 0.6
_OLD_MARKS_PART: Final = 0.15
_WORK_PART: Final = 0.4
_NEW_PEERS_PART: Final = 0.5
_OLD_PEERS_PART: Final = 0.1
_BEATS_PART: Final = 0.6
_WINDOW_S: Final = 1.0

_Fact = TypeVar('_Fact')


@final
class ByteWindow:
    """A hard bound on the bytes sent within any one second."""

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
        """Record that bytes were sent."""
        self._sent.append((now, byte_count))
        self._total += byte_count


def pack_round(view: View, now: float, max_bytes: int) -> GossipMessage:
    """Return a datagram of a regular round, within the bytes."""
    room = _Room(max_bytes - _measure_head(view, now))
    measure_mark = partial(sizes.measure_mark, now=now)
    measure_load = partial(sizes.measure_load, now=now)
    new_marks = room.take(_new_marks(view), measure_mark, _NEW_MARKS_PART)
    old_marks = room.take(_old_marks(view), measure_mark, _OLD_MARKS_PART)
    new_peers = room.take(_new_peers(view), sizes.measure_peer, _NEW_PEERS_PART)
    old_peers = room.take(
        _old_peers(view, now), sizes.measure_peer, _OLD_PEERS_PART
    )
    beats = room.take(_beats(view, now), sizes.measure_beat, _BEATS_PART)
    return GossipMessage(
        sender=view.own,
        configuration=view.configuration,
        marks=new_marks + old_marks,
        demands=room.take(
            view.own_demands.iterate(), sizes.measure_demand, _WORK_PART
        ),
        shares=room.take(
            view.own_shares.iterate(), sizes.measure_share, _WORK_PART
        ),
        paces=room.take(
            view.own_paces.iterate(), sizes.measure_pace, _WORK_PART
        ),
        pledges=room.take(
            view.own_pledges.iterate(), sizes.measure_pledge, _WORK_PART
        ),
        peers=new_peers + old_peers,
        beats=beats,
        loads=room.take(_loads(view), measure_load, 1),
    )


def pack_news(view: View, now: float, max_bytes: int) -> GossipMessage:
    """Return a datagram of what is new: configuration and marks."""
    room = _Room(max_bytes - _measure_head(view, now))
    measure_mark = partial(sizes.measure_mark, now=now)
    return GossipMessage(
        sender=view.own,
        configuration=view.configuration,
        marks=room.take(_newest_marks(view), measure_mark, 1),
    )


def record_told(view: View, message: GossipMessage, copies: int) -> None:
    """Count a message as sent to this many peers."""
    for mark in message.marks:
        view.marks.rotation.record_told(mark.identity, copies)
    for demand in message.demands:
        view.own_demands.rotation.record_told(demand.account, copies)
    for share in message.shares:
        view.own_shares.rotation.record_told(share.upstream, copies)
    for told in message.paces:
        view.own_paces.rotation.record_told(told.group, copies)
    for pledge in message.pledges:
        view.own_pledges.rotation.record_told(pledge.group, copies)
    for peer in message.peers:
        view.peers.rotation.record_told(peer.name, copies)
    for beat in message.beats:
        view.peers.record_beat_told(beat.beat_id, copies)
    for load in message.loads:
        view.loads.rotation.record_told(load.upstream, copies)


@final
class _Room:
    """The bytes that are left of a datagram."""

    def __init__(self, byte_count: int) -> None:
        self._left = byte_count

    def take(
        self,
        candidates: Iterable[_Fact],
        measure: Callable[[_Fact], int],
        part: float,
    ) -> tuple[_Fact, ...]:
        """Return the first candidates that fit into a part of the room."""
        room = int(self._left * part)
        taken = []
        for candidate in candidates:
            size = measure(candidate)
            if size > room:
                break
            room -= size
            self._left -= size
            taken.append(candidate)
        return tuple(taken)


def _measure_head(view: View, now: float) -> int:
    size = sizes.DATAGRAM_OVERHEAD_BYTES + sizes.MESSAGE_OVERHEAD
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
    """Return the peers that are live here.

    One that is silent here is not told of, so that no old fact goes round
    for ever.
    """
    for name in view.peers.rotation.iterate_others():
        peer = view.peers.find_live(name, now)
        if peer is not None:
            yield peer


def _beats(view: View, now: float) -> Iterator[HeartbeatFact]:
    for name in view.peers.beat_rotation.iterate_others():
        peer = view.peers.find_live(name, now)
        if peer is None:
            continue
        yield HeartbeatFact(compute_beat_id(name, peer.start), peer.heartbeat)


def _loads(view: View) -> Iterator[LoadFact]:
    for upstream in view.loads.rotation.iterate_others():
        load = view.loads.find(upstream)
        if load is not None:
            yield load
