"""Candidate peer addresses from the settings, the platform and gossip."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Final, final

from damaskpoint.membership.facts import Address

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from damaskpoint.membership.peers import PeerTable
    from damaskpoint.platform.base import ListedInstance

_ENTRY_POOL: Final = 'entry'


@final
class AddressBook:
    """Addresses that gossip is sent to and accepted from."""

    def __init__(
        self,
        own: Address,
        seeds: Iterable[Address],
        networks: Iterable[ipaddress.IPv4Network | ipaddress.IPv6Network],
    ) -> None:
        """Create from the seed peers and peer networks of the settings."""
        self._own = own
        self._seeds = frozenset(seeds)
        self._networks = tuple(networks)
        self._listed_by_name: dict[str, Address] = {}
        # Pieces per second that their machines can batch.
        self.batch_rates_by_name: dict[str, int] = {}

    def apply_instances(self, instances: Collection[ListedInstance]) -> None:
        """Replace the listed addresses by those of the platform's list.

        The list is applied even if it is older than the previous one.
        """
        self._listed_by_name = {
            instance.name: Address(instance.host, instance.peer_port)
            for instance in instances
            if instance.pool == _ENTRY_POOL and instance.peer_port
        }
        self.batch_rates_by_name = {
            instance.name: instance.batch_rate
            for instance in instances
            if instance.name in self._listed_by_name
        }

    @property
    def listed_names(self) -> frozenset[str]:
        """Return the names of the entries in the platform's list."""
        return frozenset(self._listed_by_name)

    @property
    def listed_by_name(self) -> Mapping[str, Address]:
        """Return the addresses of the entries in the platform's list."""
        return self._listed_by_name

    def hosts(self) -> frozenset[str]:
        """Return the IP addresses in the settings and the platform's list."""
        found = {address.host for address in self._seeds}
        found.update(address.host for address in self._listed_by_name.values())
        return frozenset(found)

    def is_in_networks(self, host: str) -> bool:
        """Return whether an IP address is in a configured peer network."""
        if not self._networks:
            return False
        ip_address = ipaddress.ip_address(host)
        return any(ip_address in network for network in self._networks)

    def find_silent(
        self, peers: PeerTable, live: Iterable[Address]
    ) -> tuple[Address, ...]:
        """Return the known addresses without a live peer, except the own."""
        found = set(self._seeds)
        found.update(self._listed_by_name.values())
        found.update(peers.known_addresses())
        found.difference_update(live)
        found.discard(self._own)
        return tuple(sorted(found))
