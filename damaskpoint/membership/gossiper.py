"""The gossip protocol of one process, without I/O.

Rounds, updates and received datagrams come in with the current time;
datagrams to send and new facts come out. Both the asynchronous side
(``gossip``) and the load measurements drive this class.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.membership import packing, sizes
from damaskpoint.membership.targets import TargetChooser
from damaskpoint.wire import gossip_codec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.membership.addresses import AddressBook
    from damaskpoint.membership.facts import Address, GossipMessage
    from damaskpoint.membership.view import MergeResult, View
    from damaskpoint.platform.base import ListedInstance


@final
@dataclass(frozen=True, slots=True)
class Outgoing:
    """A datagram to send."""

    address: Address
    datagram: bytes


@final
@dataclass(slots=True)
class Counts:
    """Counters of sent and received datagrams since the process started."""

    sent: int = 0
    sent_bytes: int = 0
    # Datagrams not sent because of the limit on bytes per second.
    held_back: int = 0
    received: int = 0
    malformed: int = 0
    unknown_senders: int = 0


def create_gossiper(
    view: View,
    addresses: AddressBook,
    bytes_per_s: int,
    interval_s: float,
    seed: int,
) -> Gossiper:
    """Return a gossiper whose rounds are ``interval_s`` seconds apart."""
    round_bytes = int(bytes_per_s * interval_s * defaults.ROUND_SHARE)
    chooser = TargetChooser(random.Random(seed), round_bytes)
    return Gossiper(view, addresses, chooser, packing.ByteWindow(bytes_per_s))


@final
class Gossiper:
    """Chooses what to send to which peers and merges what is received."""

    def __init__(
        self,
        view: View,
        addresses: AddressBook,
        chooser: TargetChooser,
        window: packing.ByteWindow,
    ) -> None:
        """Gossip this view; ``window`` limits the bytes sent."""
        self.view = view
        self.addresses = addresses
        self.counts = Counts()
        self._chooser = chooser
        self._window = window
        self._has_pending_updates = False
        # Cached from the view and the address book, refreshed each round.
        self._live: tuple[Address, ...] = ()
        self._hosts = addresses.hosts()
        # Whether peers were added or changed since the last refresh.
        self._is_outdated = False

    def apply_instances(
        self, instances: Sequence[ListedInstance], now: float
    ) -> None:
        """Apply the platform's list of instances, read at ``now``."""
        self.addresses.apply_instances(instances)
        self.view.peers.forget_unlisted(self.addresses.listed_names, now)
        self._refresh(now)

    def is_peer_host(self, host: str) -> bool:
        """Return whether messages from this IP address are accepted."""
        if host in self._hosts or self.addresses.is_in_networks(host):
            return True
        return self._is_outdated and host in self._collect_hosts()

    def start_round(self, now: float) -> tuple[Outgoing, ...]:
        """Begin a round and return its datagrams."""
        self.view.begin_round(now)
        self._refresh(now)
        plan = self._chooser.plan_round(
            self._live, self.addresses.find_silent(self.view.peers, self._live)
        )
        outgoing: list[Outgoing] = []
        for first in range(0, len(plan.addresses), plan.recipients):
            recipients = plan.addresses[first : first + plan.recipients]
            message = packing.pack_round(self.view, now, plan.datagram_bytes)
            outgoing.extend(self._send(message, recipients, now))
        return tuple(outgoing)

    def schedule_updates(self) -> None:
        """Request that updates are sent before the next round."""
        self._has_pending_updates = True

    @property
    def cycle_rounds(self) -> int:
        """Return the rounds in which each live peer is sent a datagram."""
        return self._chooser.count_cycle_rounds(len(self._live))

    @property
    def has_pending_updates(self) -> bool:
        """Return whether updates should be sent before the next round."""
        return self._has_pending_updates

    def send_updates(self, now: float) -> tuple[Outgoing, ...]:
        """Return the datagrams that carry the pending updates."""
        self._has_pending_updates = False
        if self._is_outdated:
            self._refresh(now)
        message = packing.pack_updates(
            self.view, now, defaults.MAX_DATAGRAM_BYTES
        )
        addresses = self._chooser.choose_for_updates(self._live)
        return self._send(message, addresses, now)

    def receive(
        self, datagram: bytes, host: str, now: float
    ) -> MergeResult | Failure:
        """Merge a datagram from an IP address into the view.

        Fails with ``PEER_UNKNOWN`` or ``MESSAGE_MALFORMED``.
        """
        self.counts.received += 1
        if not self.is_peer_host(host):
            self.counts.unknown_senders += 1
            return Failure(Code.PEER_UNKNOWN, host)
        message = gossip_codec.decode_gossip(datagram, now)
        if isinstance(message, Failure):
            self.counts.malformed += 1
            return message
        merged = self.view.merge(message, now)
        if merged.changed_peers:
            self._is_outdated = True
        # Among few peers the origin sends a mark to all of them itself.
        if merged.marks and len(self._live) > defaults.FULL_MESH_PEERS:
            self._has_pending_updates = True
        return merged

    def _refresh(self, now: float) -> None:
        self._is_outdated = False
        peers = self.view.peers
        self._live = peers.live_addresses(now)
        self._hosts = self.addresses.hosts() | self._collect_hosts()

    def _collect_hosts(self) -> frozenset[str]:
        known = self.view.peers.known_addresses()
        return frozenset(address.host for address in known)

    def _send(
        self,
        message: GossipMessage,
        addresses: Iterable[Address],
        now: float,
    ) -> tuple[Outgoing, ...]:
        """Return the datagrams that the byte limit allows now."""
        datagram = gossip_codec.encode_gossip(message, now)
        size = len(datagram) + sizes.DATAGRAM_OVERHEAD_BYTES
        outgoing = []
        for address in addresses:
            if size > self._window.available(now):
                self.counts.held_back += 1
                continue
            self._window.spend(now, size)
            outgoing.append(Outgoing(address, datagram))
        packing.record_sent(self.view, message, len(outgoing))
        self.counts.sent += len(outgoing)
        self.counts.sent_bytes += size * len(outgoing)
        return tuple(outgoing)
