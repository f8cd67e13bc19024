"""Views, messages and Hypothesis strategies for the membership steps."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hypothesis import strategies as st
from thrift.transport.TTransport import TMemoryBuffer

from damaskpoint.errors import Code, Failure
from damaskpoint.membership import facts
from damaskpoint.membership.addresses import AddressBook
from damaskpoint.membership.gossiper import create_gossiper
from damaskpoint.membership.view import View
from damaskpoint.wire import codec
from damaskpoint.wire.generated.peer import Peer
from damaskpoint.wire.encoded_configuration import EncodedConfiguration
from damaskpoint.wire.peer_server import LentPermit, PeerService

if TYPE_CHECKING:
    from damaskpoint.membership.gossiper import Gossiper

HOST = '10.0.0.1'
PORT = 7000
NOW = 1000.0


def create_peer(
    name: str, start: int = 1, heartbeat: int = 0, phase: int = 2
) -> facts.PeerFact:
    """Return a fact of a peer with a port derived from its name."""
    return facts.PeerFact(
        name,
        'zone-a',
        HOST,
        PORT + sum(name.encode()) % 1000,
        start,
        heartbeat,
        facts.Phase(phase),
    )


def create_view(name: str = 'entry-0', start: int = 20) -> View:
    """Return a view without peers."""
    return View(create_peer(name, start), 3.0)


def create_gossip(view: View, bytes_per_s: int = 7000) -> Gossiper:
    """Return a gossiper without seed addresses or peer networks."""
    book = AddressBook(view.own.address, (), ())
    return create_gossiper(view, book, bytes_per_s, 0.5, 1)


names = st.sampled_from(['entry-1', 'entry-2', 'entry-3', 'entry-4'])
numbers = st.integers(0, 2**40)
peers = st.builds(
    create_peer,
    names,
    st.integers(1, 4),
    st.integers(0, 6),
    st.integers(1, 4),
)
marks = st.builds(
    facts.Mark,
    st.sampled_from([facts.MarkKind.LEAVING, facts.MarkKind.ZONE_OUT]),
    st.sampled_from(['engine-1', 'engine-2', 'zone-a']),
    st.integers(1, 5),
    st.floats(NOW - 5, NOW),
) | st.builds(
    facts.Mark,
    st.just(facts.MarkKind.UNPROVEN),
    st.sampled_from(['engine-1', 'engine-2']),
    st.integers(1, 5),
    st.floats(NOW - 5, NOW),
    names,
    st.integers(1, 9),
)
part_marks = (
    st.builds(
        facts.Mark,
        st.just(facts.MarkKind.SUSPECTED_PART),
        st.sampled_from(['a1', 'b2']),
        st.integers(0, 3),
        st.floats(NOW - 5, NOW),
        sequence=st.integers(0, 5),
    )
    | st.builds(
        facts.Mark,
        st.just(facts.MarkKind.QUARANTINED_PART),
        st.sampled_from(['a1', 'b2']),
        st.integers(1, 3),
        st.floats(NOW - 5, NOW),
        sequence=st.integers(0, 1),
    )
    | st.builds(
        facts.Mark,
        st.just(facts.MarkKind.BROKEN_RUN),
        st.sampled_from(['model\na1\nb2', 'model']),
        st.just(0),
        st.floats(NOW - 5, NOW),
        names,
        st.integers(1, 9),
    )
)
run_counts = st.builds(facts.RunCountFact, names, numbers)
loads = st.builds(
    facts.LoadFact,
    st.sampled_from(['engine-1', 'engine-2']),
    st.integers(1, 3),
    st.integers(0, 500),
    st.integers(0, 500),
    st.booleans(),
    st.floats(NOW - 2, NOW),
)
shares = st.builds(facts.ShareFact, names, st.integers(0, 5000))
demands = st.builds(
    facts.DemandFact, names, st.integers(0, 10**6), st.integers(0, 10**6)
)
configurations = st.none() | st.builds(
    facts.ConfigurationFact,
    st.integers(1, 10**6),
    st.binary(min_size=1, max_size=32).map(bytes.hex),
    st.none() | st.floats(NOW - 5, NOW),
)
beats = st.builds(
    facts.HeartbeatFact, st.integers(-(2**31), 2**31 - 1), numbers
)


def tuples(items: Any, max_size: int) -> Any:
    """Return a strategy for tuples."""
    return st.lists(items, max_size=max_size).map(tuple)


messages = st.builds(
    facts.GossipMessage,
    peers,
    configurations,
    tuples(peers, 4),
    tuples(beats, 4),
    # In the order of the datagram's lists.
    st.tuples(tuples(marks, 4), tuples(part_marks, 4)).map(
        lambda both: both[0] + both[1]
    ),
    tuples(loads, 3),
    tuples(shares, 3),
    tuples(demands, 3),
    run_counts=tuples(run_counts, 3),
)


def describe(view: View) -> object:
    """Return the state that must not depend on the order of merges."""
    peer_orders = sorted(
        (view.peers.find(name) or view.own).order + (name,)
        for name in view.peers.names()
    )
    mark_orders = sorted(
        (mark.identity, mark.order) for mark in view.marks.iterate()
    )
    return peer_orders, mark_orders


class FixedVersionService(PeerService):
    """The peer service of a process with a fixed version in force."""

    def __init__(self, version: int) -> None:
        self._version = version

    def find_configuration(self) -> EncodedConfiguration | None:
        return EncodedConfiguration(self._version, 'ab' * 32, b'the object')

    def install_configuration(
        self, accepted: EncodedConfiguration, age_s: float
    ) -> Failure | None:
        """Reject all versions; the steps send none."""
        return Failure(Code.NOT_READY, f'{accepted.version} after {age_s}')

    def is_operator_host(self, host: str) -> bool:
        """Treat no host as an operator's."""
        return False

    def lend_permit(self, upstream: str) -> LentPermit | Failure:
        """Hold no lease."""
        return Failure(Code.LEASE_NOT_HELD, upstream)

    def accept_returned_permit(self, upstream: str, number: int) -> None:
        """Do nothing, as no permit is ever lent."""


def encode_configuration_call(version: int) -> bytes:
    """Return the body of a call for the object of a version."""
    buffer = TMemoryBuffer()
    protocol = codec.create_protocol(buffer, 10_000)
    Peer.Client(protocol).send_get_configuration(version)
    encoded: bytes = buffer.getvalue()
    return encoded
