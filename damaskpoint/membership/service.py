"""Membership as the other parts of a process see it."""

from __future__ import annotations

import ipaddress
import time
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint.errors import Code, Failure
from damaskpoint.membership import facts, state_dump
from damaskpoint.membership.addresses import AddressBook
from damaskpoint.membership.gossip import GossipLoop
from damaskpoint.membership.gossiper import create_gossiper
from damaskpoint.membership.view import View
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from damaskpoint.membership.gossip import MembershipListener
    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.settings import InstanceOptions, MembershipOptions

_NS_PER_MS: Final = 1_000_000


def create_membership(
    options: MembershipOptions,
    instance: InstanceOptions,
    clock: Callable[[], float],
) -> Membership | Failure:
    """Return a membership that is not started yet.

    ``clock`` gives the monotonic time in seconds. Fails with
    ``SETTINGS_INVALID`` on a peer or network that cannot be read.
    """
    try:
        addresses = _create_addresses(options, instance)
    except ValueError as error:
        return Failure(Code.SETTINGS_INVALID, f'membership: {error}')
    own = facts.PeerFact(
        name=instance.name,
        zone=instance.zone,
        host=instance.host,
        peer_port=instance.peer_port,
        # Only compared with other starts of this name; see the view.
        start=time.time_ns() // _NS_PER_MS,
        heartbeat=0,
        phase=facts.Phase.STARTING,
    )
    gossiper = create_gossiper(
        View(own, options.peer_timeout_s),
        addresses,
        options.bytes_per_s,
        options.gossip_interval_s,
        xxhash.xxh64_intdigest(f'{own.name}/{own.start}'.encode()),
    )
    loop = GossipLoop(gossiper, options.gossip_interval_s, clock)
    return Membership(loop, clock)


def _create_addresses(
    options: MembershipOptions, instance: InstanceOptions
) -> AddressBook:
    return AddressBook(
        facts.Address(instance.host, instance.peer_port),
        [_parse_address(text) for text in options.peers],
        [ipaddress.ip_network(text) for text in options.networks],
    )


def _parse_address(text: str) -> facts.Address:
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host)
    return facts.Address(host, int(port))


@final
class Membership(StateSource):
    """Knows the peers, hears what they tell, and tells them."""

    def __init__(self, loop: GossipLoop, clock: Callable[[], float]) -> None:
        """Stand before a loop of gossip that is not open yet."""
        self._loop = loop
        self._gossiper = loop.gossiper
        self._clock = clock

    # Commands.

    def add_listener(self, listener: MembershipListener) -> None:
        """Let a listener hear what peers tell from now on."""
        self._loop.listeners.append(listener)

    def start(self) -> None:
        """Open the socket and begin the rounds; raises ``OSError``."""
        self._loop.open()

    def stop(self) -> None:
        """Tell the peers that this process ends, and close the socket."""
        self.set_phase(facts.Phase.GONE)
        self._loop.close()

    def set_phase(self, phase: facts.Phase) -> None:
        """Tell how far the life of this process has come, at once."""
        self._gossiper.view.set_phase(phase)
        self._loop.schedule_updates()

    def publish_configuration(self, fact: facts.ConfigurationFact) -> None:
        """Tell what is in force here; a new version is told at once."""
        if self._gossiper.view.publish_configuration(fact, self._clock()):
            self._loop.schedule_updates()

    def publish_mark(
        self, kind: facts.MarkKind, subject: str, incarnation: int
    ) -> None:
        """Tell a mark that this process makes, at once if it is new."""
        now = self._clock()
        if self._gossiper.view.publish_mark(kind, subject, incarnation, now):
            self._loop.schedule_updates()

    def publish_loads(self, loads: Iterable[facts.LoadFact]) -> None:
        """Tell reports that this process got from upstreams itself."""
        self._gossiper.view.publish_loads(loads, self._clock())

    def publish_shares(self, in_flight_by_upstream: Mapping[str, int]) -> None:
        """Tell the own calls in flight, all upstreams together."""
        self._gossiper.view.publish_shares(in_flight_by_upstream)

    def publish_demands(self, demands: Iterable[facts.DemandFact]) -> None:
        """Tell the own demand, all client accounts together."""
        self._gossiper.view.publish_demands(demands)

    def publish_paces(self, paces: Iterable[facts.PaceFact]) -> None:
        """Tell what waits for the runners that this process batches for."""
        self._gossiper.view.publish_paces(paces)

    def publish_pledges(self, pledges: Iterable[facts.PledgeFact]) -> None:
        """Tell the pieces that the own requests still need."""
        self._gossiper.view.publish_pledges(pledges)

    def apply_instances(self, lines: Sequence[ListedInstance]) -> None:
        """Take over the platform's list, as it was read now."""
        self._gossiper.apply_instances(lines, self._clock())

    # Queries.

    @property
    def view(self) -> View:
        """Return what is known, for queries."""
        return self._gossiper.view

    def live_peers(self, now: float) -> tuple[facts.PeerFact, ...]:
        """Return the other processes that are heard of."""
        return self._gossiper.view.live_peers(now)

    @property
    def listed_names(self) -> frozenset[str]:
        """Return the entries that the platform's list shows."""
        return self._gossiper.addresses.listed_names

    def is_peer_host(self, host: str) -> bool:
        """Return whether a peer may call from this IP number."""
        return self._gossiper.is_peer_host(host)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the peers, the marks and the counts of datagrams."""
        return state_dump.dump_gossiper(self._gossiper, now)
