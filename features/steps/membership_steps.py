"""Steps for merging views, the limit on bytes and hostile input."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.load import slopes_gossip
from damaskpoint.membership import facts, packing, sizes
from damaskpoint.platform.base import ListedInstance, Presence
from damaskpoint.wire import codec, gossip_codec, peer_server
from damaskpoint.wire.generated.peer import ttypes
from features.steps import membership_bench as bench

_HYPOTHESIS = settings(max_examples=200, database=None, deadline=None)
_LEAVING = facts.MarkKind.LEAVING


@then('any messages in any order, some twice, lead to the same view')
def check_order(context: Any) -> None:
    """Merge the same random messages in two orders."""

    @seed(11)
    @_HYPOTHESIS
    @for_all(st.data())
    def check(data: st.DataObject) -> None:
        history = data.draw(st.lists(bench.messages, max_size=8))
        reordered = data.draw(st.permutations(history))
        duplicates = (
            data.draw(st.lists(st.sampled_from(history))) if history else []
        )
        views = bench.create_view(), bench.create_view()
        for view, messages in zip(
            views, (history, [*reordered, *duplicates]), strict=True
        ):
            for message in messages:
                view.merge(message, bench.NOW)
        first, second = views
        assert bench.describe(first) == bench.describe(second)

    check()


@then('no message replaces a fact by an older one')
def check_monotonic(context: Any) -> None:
    """Compare the order of each fact before and after each merge."""

    @seed(12)
    @_HYPOTHESIS
    @for_all(st.lists(bench.messages, max_size=8))
    def check(history: list[facts.GossipMessage]) -> None:
        view = bench.create_view()
        for message in history:
            before = _collect_orders(view)
            view.merge(message, bench.NOW)
            after = _collect_orders(view)
            for key, order in before.items():
                assert after[key] >= order, (key, message)

    check()


def _collect_orders(view: Any) -> dict[object, tuple[int, ...]]:
    orders: dict[object, tuple[int, ...]] = {}
    for name in view.peers.names():
        orders[name] = view.peers.find(name).order
    for mark in view.marks.iterate():
        orders[mark.identity] = mark.order
    return orders


@given('a view that knows start {start:d} of "{name}"')
def create_view_of_start(context: Any, name: str, start: int) -> None:
    """Merge a fact with a high heartbeat."""
    context.view = bench.create_view()
    _merge(context.view, bench.create_peer(name, start, 50))


@when('a late fact with start {start:d} arrives')
def receive_late_fact(context: Any, start: int) -> None:
    """Merge a fact of an older start with a higher heartbeat."""
    _merge(context.view, bench.create_peer('entry-1', start, 900))


@when('a fact with start {start:d} and a lower heartbeat arrives')
def receive_restart(context: Any, start: int) -> None:
    """Merge a fact of a newer start."""
    _merge(context.view, bench.create_peer('entry-1', start, 1))


@then('the view knows start {start:d} of "{name}"')
def check_start(context: Any, name: str, start: int) -> None:
    """Check the table of peers."""
    assert context.view.peers.find(name).start == start


@given('a view of "{name}" with start {start:d}')
def create_own(context: Any, name: str, start: int) -> None:
    """Create a view with that own name."""
    context.view = bench.create_view(name, start)


@when('a fact of "{name}" with start {start:d} arrives')
def receive_own_name(context: Any, name: str, start: int) -> None:
    """Merge a fact that a peer relays under the own name."""
    message = facts.GossipMessage(
        bench.create_peer('entry-9'),
        peers=(bench.create_peer(name, start),),
    )
    context.view.merge(message, bench.NOW)


@then('the view of "{name}" has a start above {start:d}')
def check_own_start(context: Any, name: str, start: int) -> None:
    """Check the own fact."""
    assert context.view.own.start > start


@given('a view with a leaving mark of "{name}" up to incarnation {number:d}')
def publish_mark(context: Any, name: str, number: int) -> None:
    """Publish the mark locally."""
    context.view = bench.create_view()
    context.gossiper = bench.create_gossip(context.view)
    context.view.publish_mark(_LEAVING, name, number, bench.NOW)


@when('the list shows the entries in an older state')
def apply_old_list(context: Any) -> None:
    """Apply a list with a live engine and without entries."""
    engine = ListedInstance(
        'engine-1', 'model-pool', 'zone-a', bench.HOST, 1, 0, 3, Presence.LIVE
    )
    context.gossiper.apply_instances((engine,), bench.NOW)


@when('a mark of "{name}" up to incarnation {number:d} arrives')
def receive_mark(context: Any, name: str, number: int) -> None:
    """Merge a mark from a peer."""
    mark = facts.Mark(_LEAVING, name, number, bench.NOW)
    sender = bench.create_peer('entry-1')
    context.view.merge(facts.GossipMessage(sender, marks=(mark,)), bench.NOW)


@then('the leaving mark of "{name}" is up to incarnation {number:d}')
def check_mark(context: Any, name: str, number: int) -> None:
    """Check the table of marks."""
    identity = facts.MarkIdentity(_LEAVING, name, '')
    assert context.view.marks.find(identity).incarnation == number


@given('a view with {count:d} live peers')
def create_view_of_peers(context: Any, count: int) -> None:
    """Merge a fact of each peer."""
    context.view = bench.create_view()
    context.gossiper = bench.create_gossip(context.view)
    context.now = bench.NOW
    for number in range(count):
        _merge(context.view, bench.create_peer(f'entry-{number + 1}'))


@when('{seconds:d} seconds pass without messages')
def pass_time(context: Any, seconds: int) -> None:
    """Advance the clock."""
    context.now += seconds


@when('a list without {count:d} of them is read {seconds:d} seconds later')
def read_list(context: Any, count: int, seconds: int) -> None:
    """Apply a list without the first peers."""
    context.now += seconds
    lines = []
    for name in sorted(context.view.peers.names())[count:]:
        lines.append(
            ListedInstance(
                name, 'entry', 'z', bench.HOST, 1, 2, 1, Presence.LIVE
            )
        )
    context.gossiper.apply_instances(lines, context.now)


@then('{reachable:d} of {known:d} peers are reachable')
def check_reach(context: Any, reachable: int, known: int) -> None:
    """Check the counts of the view."""
    reach = context.view.reach(context.now)
    assert reach == facts.Reach(reachable, known), reach


@then('for any rounds and updates, no second exceeds the byte limit')
def check_bytes(context: Any) -> None:
    """Draw the facts of a view and the times of rounds and updates."""

    @seed(13)
    @_HYPOTHESIS
    @for_all(
        st.lists(bench.messages, max_size=5),
        st.lists(st.tuples(st.floats(0, 0.6), st.booleans()), max_size=30),
        st.integers(300, 7000),
    )
    def check(
        history: list[facts.GossipMessage],
        sends: list[tuple[float, bool]],
        bytes_per_s: int,
    ) -> None:
        view = bench.create_view()
        gossiper = bench.create_gossip(view, bytes_per_s)
        for message in history:
            view.merge(message, bench.NOW)
        now = bench.NOW
        sent: list[tuple[float, int]] = []
        for gap_s, is_round in sends:
            now += gap_s
            send = gossiper.start_round if is_round else gossiper.send_updates
            for outgoing in send(now):
                size = len(outgoing.datagram) + sizes.DATAGRAM_OVERHEAD_BYTES
                sent.append((now, size))
        for began_at, _ in sent:
            within = [
                size for at, size in sent if began_at <= at < began_at + 1
            ]
            assert sum(within) <= bytes_per_s

    check()


@then('no datagram exceeds its size limit')
def check_datagram_size(context: Any) -> None:
    """Pack random views with random limits."""

    @seed(14)
    @_HYPOTHESIS
    @for_all(
        st.lists(bench.messages, max_size=12),
        st.integers(250, defaults.MAX_DATAGRAM_BYTES),
    )
    def check(history: list[facts.GossipMessage], max_bytes: int) -> None:
        view = bench.create_view()
        for message in history:
            view.merge(message, bench.NOW)
            if message.configuration is not None:
                view.publish_configuration(message.configuration, bench.NOW)
            view.publish_shares(
                {share.upstream: share.in_flight for share in message.shares}
            )
            view.publish_demands(message.demands)
        packed = packing.pack_round(view, bench.NOW + 1, max_bytes)
        datagram = gossip_codec.encode_gossip(packed, bench.NOW + 1)
        assert len(datagram) + sizes.DATAGRAM_OVERHEAD_BYTES <= max_bytes

    check()


@then('random bytes are decoded as gossip or rejected as malformed')
def check_random(context: Any) -> None:
    """Decode random bytes."""

    @seed(15)
    @_HYPOTHESIS
    @for_all(st.binary(max_size=5000))
    def check(datagram: bytes) -> None:
        _check_decoded(gossip_codec.decode_gossip(datagram, bench.NOW))

    check()


@then('mutated messages are decoded as gossip or rejected as malformed')
def check_mutated(context: Any) -> None:
    """Decode valid messages with bytes replaced, removed or inserted."""

    @seed(16)
    @_HYPOTHESIS
    @for_all(bench.messages, st.data())
    def check(message: facts.GossipMessage, data: st.DataObject) -> None:
        datagram = gossip_codec.encode_gossip(message, bench.NOW)
        mutated = _mutate(datagram, data)
        _check_decoded(gossip_codec.decode_gossip(mutated, bench.NOW))

    check()


@then('each encoded message has only marks of the first kinds in its old list')
def check_old_marks(context: Any) -> None:
    """Decode the datagrams of drawn messages without the product's codec."""
    first_kinds = {
        facts.MarkKind.LEAVING,
        facts.MarkKind.UNPROVEN,
        facts.MarkKind.ZONE_OUT,
    }

    @seed(19)
    @_HYPOTHESIS
    @for_all(bench.messages)
    def check(message: facts.GossipMessage) -> None:
        datagram = gossip_codec.encode_gossip(message, bench.NOW)
        gossip = codec.decode(ttypes.Gossip, datagram, len(datagram))
        assert not isinstance(gossip, Failure), gossip
        kinds = {mark.kind for mark in gossip.marks or ()}
        assert kinds <= first_kinds, kinds
        count = len(gossip.marks or ()) + len(gossip.part_marks or ())
        assert count == len(message.marks)

    check()


@then('every valid message decodes to what was encoded')
def check_round_trip(context: Any) -> None:
    """Compare facts without times exactly, and times within 2 ms."""

    @seed(17)
    @_HYPOTHESIS
    @for_all(bench.messages)
    def check(message: facts.GossipMessage) -> None:
        datagram = gossip_codec.encode_gossip(message, bench.NOW)
        decoded = gossip_codec.decode_gossip(datagram, bench.NOW)
        assert isinstance(decoded, facts.GossipMessage)
        names = ('sender', 'peers', 'beats', 'shares', 'demands', 'run_counts')
        for name in names:
            assert getattr(decoded, name) == getattr(message, name)
        for mark, encoded in zip(decoded.marks, message.marks, strict=True):
            assert mark.identity == encoded.identity
            assert mark.order == encoded.order
            # Ages are rounded up, so that a hop never makes a fact newer.
            added_s = encoded.happened_at - mark.happened_at
            assert round(added_s * 1000) in {0, 1, 2}, added_s

    check()


@then('random bytes and mutated calls are answered or rejected as malformed')
def check_calls(context: Any) -> None:
    """Process random and mutated bodies of peer calls."""
    calls = peer_server.create_call_handler(
        bench.FixedVersionService(7), 'entry-0'
    )
    valid = bench.encode_configuration_call(7)
    assert isinstance(peer_server.process_call(calls, valid), bytes)

    @seed(18)
    @_HYPOTHESIS
    @for_all(st.binary(max_size=3000), st.data())
    def check(body: bytes, data: st.DataObject) -> None:
        for hostile in (body, _mutate(valid, data)):
            answer = peer_server.process_call(calls, hostile)
            if isinstance(answer, Failure):
                assert answer.code is Code.MESSAGE_MALFORMED

    check()


@when('gossip of {count:d} peers is measured in virtual time')
def measure_gossip(context: Any, count: int) -> None:
    """Run the gossip measurement."""
    context.figures = slopes_gossip.measure([count])[0].figures_by_name


@then('a mark and a version reach all of them within {bound:f} s')
def check_spread(context: Any, bound: float) -> None:
    """Compare the spread times with the required limit."""
    assert context.figures['mark_spread_s'] <= bound, context.figures
    assert context.figures['configuration_spread_s'] <= bound


@then('no peer sends more than {bound:d} bytes in a second')
def check_second(context: Any, bound: int) -> None:
    """Check the second with the most bytes of any peer."""
    assert context.figures['max_bytes_in_a_second'] <= bound


def _merge(view: Any, peer: facts.PeerFact) -> None:
    view.merge(facts.GossipMessage(peer), bench.NOW)


def _check_decoded(decoded: facts.GossipMessage | Failure) -> None:
    if isinstance(decoded, Failure):
        assert decoded.code is Code.MESSAGE_MALFORMED
        return
    bench.create_view().merge(decoded, bench.NOW)


def _mutate(encoded: bytes, data: st.DataObject) -> bytes:
    """Replace, remove or insert some bytes."""
    mutated = encoded
    for _ in range(data.draw(st.integers(1, 4))):
        offset = data.draw(st.integers(0, len(mutated)))
        removed = data.draw(st.integers(0, 3))
        inserted = data.draw(st.binary(max_size=3))
        mutated = mutated[:offset] + inserted + mutated[offset + removed :]
    return mutated
