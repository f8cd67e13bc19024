"""The interface of an entry to its peers: gossip and peer calls."""

from __future__ import annotations

import ipaddress
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.config.versions import VersionClaim
from damaskpoint.entry.gossip_listener import GossipListener
from damaskpoint.entry.peer_permits import PeerPermits
from damaskpoint.errors import Failure, FailureError
from damaskpoint.membership import facts
from damaskpoint.membership.peer_objects import PeerObjects
from damaskpoint.membership.service import create_membership
from damaskpoint.wire.peer_client import create_peer_client
from damaskpoint.wire.encoded_configuration import EncodedConfiguration
from damaskpoint.wire.peer_server import (
    LentPermit,
    PeerService,
    create_peer_server,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tornado import httpserver

    from damaskpoint.admission.controller import AdmissionController
    from damaskpoint.config.follower import ConfigurationFollower
    from damaskpoint.entry.wiring import SharedDependencies
    from damaskpoint.membership.service import Membership
    from damaskpoint.routing.lending import PermitLender
    from damaskpoint.routing.wiring import Routing
    from damaskpoint.settings_base import InstanceOptions

_MS_PER_S = 1_000


@final
class _EntryPeerService(PeerService):
    """Serves peer calls from the follower and the permit lender."""

    def __init__(
        self,
        follower: ConfigurationFollower,
        operator_networks: Iterable[str],
        lender: PermitLender,
    ) -> None:
        self._follower = follower
        self._lender = lender
        self._operator_networks = [
            ipaddress.ip_network(text) for text in operator_networks
        ]

    def find_configuration(self) -> EncodedConfiguration | None:
        """Return the version in force, or None before the first one."""
        current = self._follower.current
        if current is None:
            return None
        return EncodedConfiguration(
            current.version, current.digest, self._follower.object_body
        )

    def lend_permit(self, upstream: str) -> LentPermit | Failure:
        """Lend a permit of a cold upstream, if this entry has a free one."""
        loan = self._lender.lend(upstream, time.monotonic())
        if isinstance(loan, Failure):
            return loan
        return LentPermit(loan.number, int(loan.valid_s * _MS_PER_S))

    def accept_returned_permit(self, upstream: str, number: int) -> None:
        """Accept a lent permit that a peer returns."""
        self._lender.accept_return(upstream, number, time.monotonic())

    def install_configuration(
        self, accepted: EncodedConfiguration, age_s: float
    ) -> Failure | None:
        """Put an accepted version in force, if it is higher and intact."""
        claim = VersionClaim(accepted.version, accepted.digest)
        return self._follower.install_pushed(
            claim, accepted.body, age_s, time.monotonic()
        )

    def is_operator_host(self, host: str) -> bool:
        """Return whether operators may push versions from this host."""
        address = ipaddress.ip_address(host)
        return any(address in network for network in self._operator_networks)


@final
@dataclass(frozen=True, slots=True)
class Peering:
    """The components that communicate with peers."""

    membership: Membership
    server: httpserver.HTTPServer
    instance: InstanceOptions

    def start(self) -> None:
        """Listen on the peer port and start gossip; raises ``OSError``."""
        self.server.listen(self.instance.peer_port, self.instance.host)
        self.membership.start()
        self.membership.set_phase(facts.Phase.SERVING)

    def announce_shutdown(self) -> None:
        """Announce to the peers that this entry is shutting down."""
        self.membership.set_phase(facts.Phase.LEAVING)

    def stop(self) -> None:
        """Announce to the peers that this entry ends, and stop the server."""
        self.membership.stop()
        self.server.stop()


def create_entry_membership(shared: SharedDependencies) -> Membership:
    """Return the membership; raises ``FailureError`` if settings are invalid."""
    options = shared.options
    membership = create_membership(
        options.membership, options.instance, time.monotonic
    )
    if isinstance(membership, Failure):
        raise FailureError(membership)
    shared.registry.register('membership', membership)
    return membership


def create_peering(
    shared: SharedDependencies,
    membership: Membership,
    routing: Routing,
    admission: AdmissionController,
) -> Peering:
    """Return the interface to peers, connected to the other components.

    Must be called after those components have registered their listeners for
    the configuration and the instance list: they must apply a change before
    it is published to peers.
    """
    clock = time.monotonic
    client = create_peer_client(own_host=shared.options.instance.host)
    peer_objects = PeerObjects(membership, client, clock)
    routing.borrower.source = PeerPermits(membership, client, clock)
    listener = GossipListener(
        membership, shared.follower, routing, admission, peer_objects, clock
    )
    membership.add_listener(listener)
    routing.core.observations.listener = listener
    shared.follower.attach_peers(peer_objects)
    shared.follower.add_listener(listener.on_configuration_in_force)
    shared.instances.add_listener(listener.on_instances)
    server = create_peer_server(
        _EntryPeerService(
            shared.follower,
            shared.options.membership.operator_networks,
            routing.core.lender,
        ),
        shared.options.instance.name,
        membership.is_peer_host,
    )
    return Peering(membership, server, shared.options.instance)
