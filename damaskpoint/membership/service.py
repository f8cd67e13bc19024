"""The interface of membership for the rest of the process."""

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
    from damaskpoint.settings_base import InstanceOptions, MembershipOptions

_NS_PER_MS: Final = 1_000_000


def create_membership(
    options: MembershipOptions,
    instance: InstanceOptions,
    clock: Callable[[], float],
    batch_rate: int = 0,
) -> Membership | Failure:
    """Return a membership that is not started yet.

    ``clock`` returns the monotonic time in seconds; ``batch_rate`` are the
    pieces per second that this machine can batch. Fails with
    ``SETTINGS_INVALID`` on a peer or network that cannot be parsed.
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
        # Only compared with other starts of this name; see ``View``.
        start=time.time_ns() // _NS_PER_MS,
        heartbeat=0,
        phase=facts.Phase.STARTING,
        batch_rate=batch_rate,
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
    """Tracks peers, passes on their facts and publishes local ones."""

    def __init__(self, loop: GossipLoop, clock: Callable[[], float]) -> None:
        """Wrap a gossip loop that is not open yet."""
        self._loop = loop
        self._gossiper = loop.gossiper
        self._clock = clock
        # Publishes or relays reports of runners, the most important first.
        self.publish_capacities = loop.gossiper.view.publish_capacities
        # Entries in the platform's list.
        self.addresses = loop.gossiper.addresses
        # Whether the platform's list of instances has been read.
        self.has_list = False

    # Commands.

    def add_listener(self, listener: MembershipListener) -> None:
        """Pass the facts of peers to a listener from now on."""
        self._loop.listeners.append(listener)

    def start(self) -> None:
        """Open the socket and start the rounds; raises ``OSError``."""
        self._loop.open()

    def stop(self) -> None:
        """Notify peers that this process is exiting, and close the socket."""
        self.set_phase(facts.Phase.GONE)
        self._loop.close()

    def set_phase(self, phase: facts.Phase) -> None:
        """Publish the lifecycle phase of this process immediately."""
        self._gossiper.view.set_phase(phase)
        self._loop.schedule_updates()

    def publish_configuration(self, fact: facts.ConfigurationFact) -> None:
        """Publish the version in force here; immediately if it is new."""
        if self._gossiper.view.publish_configuration(fact, self._clock()):
            self._loop.schedule_updates()

    def publish_mark(
        self,
        kind: facts.MarkKind,
        subject: str,
        incarnation: int,
        sequence: int = 0,
    ) -> None:
        """Publish a mark made by this process; immediately if it is new."""
        view = self._gossiper.view
        now = self._clock()
        if view.publish_mark(kind, subject, incarnation, now, sequence):
            self._loop.schedule_updates()

    def publish_loads(self, loads: Iterable[facts.LoadFact]) -> None:
        """Publish load reports that upstreams sent to this process."""
        self._gossiper.view.publish_loads(loads, self._clock())

    def publish_shares(self, in_flight_by_upstream: Mapping[str, int]) -> None:
        """Publish this process's calls in flight, by upstream."""
        self._gossiper.view.publish_shares(in_flight_by_upstream)

    def publish_demands(self, demands: Iterable[facts.DemandFact]) -> None:
        """Publish the demand of each client account at this process."""
        self._gossiper.view.publish_demands(demands)

    def publish_paces(self, paces: Iterable[facts.PaceFact]) -> None:
        """Publish the paces of the groups that this process batches for."""
        self._gossiper.view.publish_paces(paces)

    def publish_pledges(self, pledges: Iterable[facts.PledgeFact]) -> None:
        """Publish the pieces that this process's requests still need."""
        self._gossiper.view.publish_pledges(pledges)

    def publish_counts(
        self,
        run_counts: Iterable[facts.RunCountFact],
        rollouts: Iterable[facts.RolloutFact],
    ) -> None:
        """Publish what this process has counted since its start.

        Those are the runs that have begun their answers, and the responses
        during rollouts.
        """
        self._gossiper.view.publish_run_counts(run_counts)
        self._gossiper.view.publish_rollouts(rollouts)

    def apply_instances(self, instances: Sequence[ListedInstance]) -> None:
        """Apply the platform's list of instances, read just now."""
        self.has_list = True
        self._gossiper.apply_instances(instances, self._clock())

    # Queries.

    @property
    def view(self) -> View:
        """Return the view, for queries only."""
        return self._gossiper.view

    def live_peers(self, now: float) -> tuple[facts.PeerFact, ...]:
        """Return the live peers."""
        return self._gossiper.view.live_peers(now)

    @property
    def cycle_s(self) -> float:
        """Return the time in which each live peer is sent a datagram.

        Peers need as long, since their settings and their peers are the same.
        """
        return self._loop.cycle_s

    @property
    def listed_by_name(self) -> Mapping[str, facts.Address]:
        """Return the addresses of the entries in the platform's list."""
        return self._gossiper.addresses.listed_by_name

    def is_peer_host(self, host: str) -> bool:
        """Return whether messages from this IP address are accepted."""
        return self._gossiper.is_peer_host(host)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return peers, marks and datagram counts for the state dump."""
        return state_dump.dump_gossiper(self._gossiper, now)
