"""The peers' side of an entry: gossip, peer calls, and who hears them."""

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
from damaskpoint.wire.held import HeldConfiguration
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
    from damaskpoint.entry.wiring import SharedParts
    from damaskpoint.membership.service import Membership
    from damaskpoint.routing.lending import PermitLender
    from damaskpoint.routing.wiring import Routing
    from damaskpoint.settings import InstanceOptions

_MS_PER_S = 1_000


@final
class _EntryService(PeerService):
    """Answers peers out of the follower."""

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

    def find_configuration(self) -> HeldConfiguration | None:
        """Return what is in force, or None before the first version."""
        current = self._follower.current
        if current is None:
            return None
        return HeldConfiguration(
            current.version, current.digest, self._follower.object_body
        )

    def lend_permit(self, upstream: str) -> LentPermit | Failure:
        """Lend a permit of a cold upstream, if this entry has one free."""
        loan = self._lender.lend(upstream, time.monotonic())
        if isinstance(loan, Failure):
            return loan
        return LentPermit(loan.number, int(loan.valid_s * _MS_PER_S))

    def take_permit_back(self, upstream: str, number: int) -> None:
        """Take a lent permit back."""
        self._lender.take_back(upstream, number, time.monotonic())

    def take_configuration(
        self, accepted: HeldConfiguration, age_s: float
    ) -> Failure | None:
        """Put an accepted version in force, if it is higher and whole."""
        claim = VersionClaim(accepted.version, accepted.digest)
        return self._follower.install_pushed(
            claim, accepted.body, age_s, time.monotonic()
        )

    def is_operator_host(self, host: str) -> bool:
        """Return whether operators may hand over versions from here."""
        number = ipaddress.ip_address(host)
        return any(number in network for network in self._operator_networks)


@final
@dataclass(frozen=True, slots=True)
class Peering:
    """The parts that face the peers."""

    membership: Membership
    server: httpserver.HTTPServer
    instance: InstanceOptions

    def start(self) -> None:
        """Listen to peers and begin to gossip; raises ``OSError``."""
        self.server.listen(self.instance.peer_port, self.instance.host)
        self.membership.start()
        self.membership.set_phase(facts.Phase.SERVING)

    def begin_leaving(self) -> None:
        """Tell the peers that this entry shuts down."""
        self.membership.set_phase(facts.Phase.LEAVING)

    def stop(self) -> None:
        """Tell the peers that this entry ends, and close."""
        self.membership.stop()
        self.server.stop()


def create_entry_membership(shared: SharedParts) -> Membership:
    """Return the membership; raises ``FailureError`` for its settings."""
    options = shared.options
    membership = create_membership(
        options.membership, options.instance, time.monotonic
    )
    if isinstance(membership, Failure):
        raise FailureError(membership)
    shared.registry.register('membership', membership)
    return membership


def create_peering(
    shared: SharedParts,
    membership: Membership,
    routing: Routing,
    admission: AdmissionController,
) -> Peering:
    """Return the peers' side, tied to the other parts.

    To be called after these parts were given the configuration's and the
    instance list's listeners, which must hear before the peers do.
    """
    clock = time.monotonic
    client = create_peer_client(own_host=shared.options.instance.host)
    peer_objects = PeerObjects(membership, client, clock)
    routing.borrower.source = PeerPermits(membership, client, clock)
    listener = GossipListener(
        membership, shared.follower, routing, admission, peer_objects, clock
    )
    membership.listen(listener)
    routing.core.evidence.listener = listener
    shared.follower.attach_peers(peer_objects)
    shared.follower.add_listener(listener.note_configuration)
    shared.instances.add_listener(listener.note_instances)
    server = create_peer_server(
        _EntryService(
            shared.follower,
            shared.options.membership.operator_networks,
            routing.core.lender,
        ),
        shared.options.instance.name,
        membership.is_peer_host,
    )
    return Peering(membership, server, shared.options.instance)
