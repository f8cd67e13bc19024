"""The table of peers and when each was last seen.

A fact of a peer replaces another only if it is newer by start and heartbeat,
which the peer counts itself. So clocks of two processes are never compared,
and the order of arrival does not matter.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint import defaults
from damaskpoint.membership import facts
from damaskpoint.membership.rotation import Rotation

if TYPE_CHECKING:
    from collections.abc import Iterator

_SIGN_BIT: Final = 2_147_483_648
_WRAP: Final = 4_294_967_296


def compute_beat_id(name: str, start: int) -> int:
    """Return the signed 32-bit hash that identifies a start of a name."""
    digest = xxhash.xxh32_intdigest(f'{name}/{start}'.encode())
    return digest - _WRAP if digest >= _SIGN_BIT else digest


def compute_timeout_s(timeout_s: float, peer_count: int) -> float:
    """Return the silence after which a peer is no longer live (seconds).

    It grows with the number of peers, as facts take longer to spread.
    """
    return timeout_s + peer_count * defaults.PEER_TIMEOUT_PER_PEER_S


@final
@dataclass(slots=True)
class _Record:
    """The newest fact of a peer, and when it was received."""

    fact: facts.PeerFact
    last_seen_at: float
    # Cached, as each round reads the addresses of all peers.
    address: facts.Address


@final
class PeerTable:
    """The known peers: those that were seen and not dropped since."""

    def __init__(self, own_name: str, timeout_s: float) -> None:
        """Create an empty table.

        A peer is live until it is silent for ``timeout_s`` seconds, plus an
        allowance for each known peer.
        """
        self._own_name = own_name
        self._timeout_s = timeout_s
        self._records_by_name: dict[str, _Record] = {}
        self._names_by_beat_id: dict[int, str] = {}
        self.rotation: Rotation[str] = Rotation()
        self.heartbeat_rotation: Rotation[str] = Rotation()

    def merge(
        self, fact: facts.PeerFact, now: float, transmissions: int
    ) -> bool:
        """Apply a fact if it is newer; return whether its peer changed.

        A change is a new name, start or phase. It is sent in
        ``transmissions`` datagrams ahead of unchanged peers.
        """
        if fact.name == self._own_name:
            return False
        record = self._records_by_name.get(fact.name)
        if record is None:
            return self._add(fact, now, transmissions)
        previous = record.fact
        if fact.order <= previous.order:
            return False
        record.fact = fact
        record.last_seen_at = now
        record.address = fact.address
        is_changed = fact.start != previous.start
        if is_changed:
            old_id = compute_beat_id(previous.name, previous.start)
            self._names_by_beat_id.pop(old_id, None)
            new_id = compute_beat_id(fact.name, fact.start)
            self._names_by_beat_id[new_id] = fact.name
        if is_changed or fact.phase is not previous.phase:
            self.rotation.add(fact.name, transmissions)
            return True
        return False

    def merge_heartbeat(self, beat: facts.HeartbeatFact, now: float) -> None:
        """Apply a heartbeat if it is newer and its start is known."""
        name = self._names_by_beat_id.get(beat.beat_id)
        if name is None:
            return
        record = self._records_by_name[name]
        if beat.heartbeat <= record.fact.heartbeat:
            return
        if record.fact.phase is facts.Phase.GONE:
            return
        record.fact = _with_heartbeat(record.fact, beat.heartbeat)
        record.last_seen_at = now

    def record_heartbeat_sent(self, beat_id: int, copies: int) -> None:
        """Record that a heartbeat was sent to ``copies`` peers."""
        name = self._names_by_beat_id.get(beat_id)
        if name is not None:
            self.heartbeat_rotation.record_sent(name, copies)

    def forget_unlisted(
        self, listed_names: frozenset[str], read_at: float
    ) -> None:
        """Drop peers that are not listed and have long been silent.

        The platform's list was read at ``read_at``. Without such a list, silent
        peers stay known, so that an entry that is partitioned from all others
        does not conclude that it is the only one.
        """
        for name, record in tuple(self._records_by_name.items()):
            if name in listed_names:
                continue
            if read_at - record.last_seen_at > defaults.PEER_KEEP_S:
                self._drop(name)

    def live(self, now: float) -> tuple[facts.PeerFact, ...]:
        """Return the peers that are not silent and not gone."""
        return tuple(record.fact for record in self._iterate_live(now))

    def live_addresses(self, now: float) -> tuple[facts.Address, ...]:
        """Return the addresses of the live peers."""
        return tuple(record.address for record in self._iterate_live(now))

    def known_addresses(self) -> tuple[facts.Address, ...]:
        """Return the addresses of all known peers that are not gone."""
        return tuple(
            record.address
            for record in self._records_by_name.values()
            if record.fact.phase is not facts.Phase.GONE
        )

    def find_live(self, name: str, now: float) -> facts.PeerFact | None:
        """Return a live peer, or None."""
        record = self._records_by_name.get(name)
        if record is None or record.fact.phase is facts.Phase.GONE:
            return None
        timeout_s = compute_timeout_s(self._timeout_s, len(self))
        return record.fact if now - record.last_seen_at <= timeout_s else None

    def find(self, name: str) -> facts.PeerFact | None:
        """Return the newest fact of a peer, or None."""
        record = self._records_by_name.get(name)
        return None if record is None else record.fact

    def unended_names(self, listed_names: frozenset[str]) -> frozenset[str]:
        """Return the peers that may be running, also out of sight.

        A listed peer may run, and so may a silent one: it may only be cut off
        from here.
        """
        names = set(listed_names)
        for name, record in self._records_by_name.items():
            if record.fact.phase is not facts.Phase.GONE:
                names.add(name)
        names.discard(self._own_name)
        return frozenset(names)

    def names(self) -> tuple[str, ...]:
        """Return the names of all known peers."""
        return tuple(self._records_by_name)

    def last_seen(self, name: str) -> float:
        """Return when the newest fact of a known peer was received."""
        return self._records_by_name[name].last_seen_at

    def __len__(self) -> int:
        """Return the number of known peers."""
        return len(self._records_by_name)

    def _iterate_live(self, now: float) -> Iterator[_Record]:
        oldest = now - compute_timeout_s(self._timeout_s, len(self))
        for record in self._records_by_name.values():
            if record.last_seen_at < oldest:
                continue
            if record.fact.phase is not facts.Phase.GONE:
                yield record

    def _add(
        self, fact: facts.PeerFact, now: float, transmissions: int
    ) -> bool:
        if len(self._records_by_name) >= defaults.MAX_PEERS:
            oldest_name = min(self._records_by_name, key=self.last_seen)
            if self.find_live(oldest_name, now) is not None:
                return False
            self._drop(oldest_name)
        self._records_by_name[fact.name] = _Record(fact, now, fact.address)
        self._names_by_beat_id[compute_beat_id(fact.name, fact.start)] = (
            fact.name
        )
        self.rotation.add(fact.name, transmissions)
        self.heartbeat_rotation.ensure(fact.name)
        return True

    def _drop(self, name: str) -> None:
        fact = self._records_by_name.pop(name).fact
        beat_id = compute_beat_id(name, fact.start)
        if self._names_by_beat_id.get(beat_id) == name:
            self._names_by_beat_id.pop(beat_id)
        self.rotation.discard(name)
        self.heartbeat_rotation.discard(name)


def _with_heartbeat(fact: facts.PeerFact, heartbeat: int) -> facts.PeerFact:
    return facts.PeerFact(
        name=fact.name,
        zone=fact.zone,
        host=fact.host,
        peer_port=fact.peer_port,
        start=fact.start,
        heartbeat=heartbeat,
        phase=fact.phase,
        batch_rate=fact.batch_rate,
    )
