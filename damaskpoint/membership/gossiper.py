"""Decides what to send to whom, and judges what is received.

The asynchronous side (``gossip``) and the measurements drive the same
class: rounds, news and datagrams come in with the present time; datagrams
to send and what was new come out.
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
    from damaskpoint.membership.view import News, View
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
    """What the process sent and received, since its start."""

    sent: int = 0
    sent_bytes: int = 0
    # Datagrams not sent because of the bound on bytes.
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
    """Return a gossiper; ``interval_s`` is the time between rounds."""
    round_bytes = int(bytes_per_s * interval_s * defaults.ROUND_SHARE)
    chooser = TargetChooser(random.Random(seed), round_bytes)
    return Gossiper(view, addresses, chooser, packing.ByteWindow(bytes_per_s))


@final
class Gossiper:
    """The decisions of gossip for one process."""

    def __init__(
        self,
        view: View,
        addresses: AddressBook,
        chooser: TargetChooser,
        window: packing.ByteWindow,
    ) -> None:
        """Drive this view; ``window`` bounds what is sent."""
        self.view = view
        self.addresses = addresses
        self.counts = Counts()
        self._chooser = chooser
        self._window = window
        self._has_news = False
        # Taken from the view and the address book in each round.
        self._live: tuple[Address, ...] = ()
        self._hosts = addresses.hosts()
        # Whether peers have come, gone or moved since.
        self._is_outdated = False

    def apply_instances(
        self, lines: Sequence[ListedInstance], now: float
    ) -> None:
        """Take over the platform's list, as it was read now."""
        self.addresses.apply_instances(lines)
        self.view.peers.forget_unlisted(self.addresses.listed_names, now)
        self._refresh(now)

    def is_peer_host(self, host: str) -> bool:
        """Return whether a peer may speak from this IP number."""
        if host in self._hosts or self.addresses.is_in_networks(host):
            return True
        return self._is_outdated and host in self._collect_hosts()

    def start_round(self, now: float) -> tuple[Outgoing, ...]:
        """Begin a round and return its datagrams."""
        self.view.beat(now)
        self._refresh(now)
        plan = self._chooser.plan_round(
            self._live, self.addresses.silent(self.view.peers, self._live)
        )
        if plan.is_shared:
            message = packing.pack_round(self.view, now, plan.datagram_bytes)
            return self._send(message, plan.addresses, now)
        outgoing: list[Outgoing] = []
        for address in plan.addresses:
            message = packing.pack_round(self.view, now, plan.datagram_bytes)
            outgoing.extend(self._send(message, (address,), now))
        return tuple(outgoing)

    def schedule_updates(self) -> None:
        """Ask for news to be sent before the next round."""
        self._has_news = True

    @property
    def has_pending_updates(self) -> bool:
        """Return whether something new waits to be sent."""
        return self._has_news

    def send_updates(self, now: float) -> tuple[Outgoing, ...]:
        """Return the datagrams that tell what is new."""
        self._has_news = False
        if self._is_outdated:
            self._refresh(now)
        message = packing.pack_news(self.view, now, defaults.MAX_DATAGRAM_BYTES)
        addresses = self._chooser.choose_for_news(self._live)
        return self._send(message, addresses, now)

    def receive(self, datagram: bytes, host: str, now: float) -> News | Failure:
        """Take over a datagram from an IP number, or say why not."""
        self.counts.received += 1
        if not self.is_peer_host(host):
            self.counts.unknown_senders += 1
            return Failure(Code.PEER_UNKNOWN, host)
        message = gossip_codec.decode_gossip(datagram, now)
        if isinstance(message, Failure):
            self.counts.malformed += 1
            return message
        news = self.view.merge(message, now)
        if news.changed_peers:
            self._is_outdated = True
        # Among few peers the one who tells tells all.
        if news.marks and len(self._live) > defaults.FULL_MESH_PEERS:
            self._has_news = True
        return news

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
        """Return the datagrams that the bound lets through now."""
        datagram = gossip_codec.encode_gossip(message, now)
        size = len(datagram) + sizes.DATAGRAM_OVERHEAD_BYTES
        outgoing = []
        for address in addresses:
            if size > self._window.available(now):
                self.counts.held_back += 1
                continue
            self._window.spend(now, size)
            outgoing.append(Outgoing(address, datagram))
        packing.record_told(self.view, message, len(outgoing))
        self.counts.sent += len(outgoing)
        self.counts.sent_bytes += size * len(outgoing)
        return tuple(outgoing)
