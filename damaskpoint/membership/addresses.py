"""Where peers may be: from the settings, the platform's list and gossip."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Final, final

from damaskpoint.membership.facts import Address

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.membership.peers import PeerTable
    from damaskpoint.platform.base import ListedInstance

_POOL_ENTRY: Final = 'entry'


@final
class AddressBook:
    """The addresses that a process sends to, and hears from."""

    def __init__(
        self,
        own: Address,
        seeds: Iterable[Address],
        networks: Iterable[ipaddress.IPv4Network | ipaddress.IPv6Network],
    ) -> None:
        """Start with the settings: first peers and the peers' networks."""
        self._own = own
        self._seeds = frozenset(seeds)
        self._networks = tuple(networks)
        self._listed_by_name: dict[str, Address] = {}

    def apply_instances(self, lines: Iterable[ListedInstance]) -> None:
        """Take over the platform's list, however old it is."""
        self._listed_by_name = {
            line.name: Address(line.host, line.peer_port)
            for line in lines
            if line.pool == _POOL_ENTRY and line.peer_port
        }

    @property
    def listed_names(self) -> frozenset[str]:
        """Return the names of the entries in the platform's list."""
        return frozenset(self._listed_by_name)

    def hosts(self) -> frozenset[str]:
        """Return the IP numbers that the settings and the list name."""
        found = {address.host for address in self._seeds}
        found.update(address.host for address in self._listed_by_name.values())
        return frozenset(found)

    def is_in_networks(self, host: str) -> bool:
        """Return whether the settings let a peer speak from this IP number."""
        if not self._networks:
            return False
        number = ipaddress.ip_address(host)
        return any(number in network for network in self._networks)

    def silent(
        self, peers: PeerTable, live: Iterable[Address]
    ) -> tuple[Address, ...]:
        """Return where a peer may be that is not heard of."""
        found = set(self._seeds)
        found.update(self._listed_by_name.values())
        found.update(peers.known_addresses())
        found.difference_update(live)
        found.discard(self._own)
        return tuple(sorted(found))
