"""Steps on merges of views, the bound on bytes and hostile input."""

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
from damaskpoint.wire import gossip_codec, peer_server
from features.steps import membership_bench as bench

_HYPOTHESIS = settings(max_examples=200, database=None, deadline=None)
_LEAVING = facts.MarkKind.LEAVING


@then('any messages in any order, some twice, lead to the same view')
def check_order(context: Any) -> None:
    """Merge a drawn history in two orders."""

    @seed(11)
    @_HYPOTHESIS
    @for_all(st.data())
    def check(data: st.DataObject) -> None:
        history = data.draw(st.lists(bench.messages, max_size=8))
        other = data.draw(st.permutations(history))
        twice = data.draw(st.lists(st.sampled_from(history))) if history else []
        views = bench.create_view(), bench.create_view()
        for view, messages in zip(
            views, (history, [*other, *twice]), strict=True
        ):
            for message in messages:
                view.merge(message, bench.NOW)
        first, second = views
        assert bench.describe(first) == bench.describe(second)

    check()


@then('no message takes a view back')
def check_monotonic(context: Any) -> None:
    """Compare each fact's order before and after a merge."""

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


@given('a view that knows "{name}" by its start {start:d}')
def know_start(context: Any, name: str, start: int) -> None:
    """Merge a fact with a high heartbeat."""
    context.view = bench.create_view()
    _merge(context.view, bench.create_peer(name, start, 50))


@when('a late fact of its start {start:d} arrives')
def hear_late(context: Any, start: int) -> None:
    """Merge an older start with a higher heartbeat."""
    _merge(context.view, bench.create_peer('entry-1', start, 900))


@when('a fact of its start {start:d} with a lower heartbeat arrives')
def hear_restart(context: Any, start: int) -> None:
    """Merge a younger start."""
    _merge(context.view, bench.create_peer('entry-1', start, 1))


@then('"{name}" is known by its start {start:d}')
def check_start(context: Any, name: str, start: int) -> None:
    """Look at the table of peers."""
    assert context.view.peers.find(name).start == start


@given('a view of "{name}" with the start {start:d}')
def create_own(context: Any, name: str, start: int) -> None:
    """Make a view under that name."""
    context.view = bench.create_view(name, start)


@when('a fact of "{name}" with the start {start:d} arrives')
def hear_own(context: Any, name: str, start: int) -> None:
    """Merge a fact that goes round under the own name."""
    message = facts.GossipMessage(
        bench.create_peer('entry-9'),
        peers=(bench.create_peer(name, start),),
    )
    context.view.merge(message, bench.NOW)


@then('the view of "{name}" has a start above {start:d}')
def check_own_start(context: Any, name: str, start: int) -> None:
    """Look at the own fact."""
    assert context.view.own.start > start


@given(
    'a view that holds a leave mark of "{name}" up to incarnation {number:d}'
)
def hold_mark(context: Any, name: str, number: int) -> None:
    """Make the mark here."""
    context.view = bench.create_view()
    context.gossiper = bench.create_gossip(context.view)
    context.view.tell_mark(_LEAVING, name, number, bench.NOW)


@when('the list shows the entries in an older state')
def apply_old_list(context: Any) -> None:
    """Give a list in which the engine lives and entries are gone."""
    line = ListedInstance(
        'engine-1', 'model-pool', 'zone-a', bench.HOST, 1, 0, 3, Presence.LIVE
    )
    context.gossiper.apply_instances((line,), bench.NOW)


@when('a mark of "{name}" up to incarnation {number:d} arrives')
def hear_mark(context: Any, name: str, number: int) -> None:
    """Merge an older mark."""
    mark = facts.Mark(_LEAVING, name, number, bench.NOW)
    sender = bench.create_peer('entry-1')
    context.view.merge(facts.GossipMessage(sender, marks=(mark,)), bench.NOW)


@then('the leave mark of "{name}" is up to incarnation {number:d}')
def check_mark(context: Any, name: str, number: int) -> None:
    """Look at the table of marks."""
    identity = facts.MarkIdentity(_LEAVING, name, '')
    assert context.view.marks.find(identity).incarnation == number


@given('a view that has heard {count:d} peers')
def hear_peers(context: Any, count: int) -> None:
    """Merge a fact of each."""
    context.view = bench.create_view()
    context.gossiper = bench.create_gossip(context.view)
    context.now = bench.NOW
    for number in range(count):
        _merge(context.view, bench.create_peer(f'entry-{number + 1}'))


@when('{seconds:d} seconds pass without a word')
def pass_time(context: Any, seconds: int) -> None:
    """Move the clock on."""
    context.now += seconds


@when('a list that lacks {count:d} of them is read {seconds:d} seconds later')
def read_list(context: Any, count: int, seconds: int) -> None:
    """Give a list without the first ones."""
    context.now += seconds
    lines = []
    for name in sorted(context.view.peers.names())[count:]:
        lines.append(
            ListedInstance(
                name, 'entry', 'z', bench.HOST, 1, 2, 1, Presence.LIVE
            )
        )
    context.gossiper.apply_instances(lines, context.now)


@then('{reached:d} of {known:d} peers are reached')
def check_reach(context: Any, reached: int, known: int) -> None:
    """Ask the view."""
    reach = context.view.reach(context.now)
    assert reach == facts.Reach(reached, known), reach


@then('for any rounds and news no second has more bytes than the bound')
def check_bytes(context: Any) -> None:
    """Draw what is known, and when rounds and news are sent."""

    @seed(13)
    @_HYPOTHESIS
    @for_all(
        st.lists(bench.messages, max_size=5),
        st.lists(st.tuples(st.floats(0, 0.6), st.booleans()), max_size=30),
        st.integers(300, 7000),
    )
    def check(
        history: list[facts.GossipMessage],
        turns: list[tuple[float, bool]],
        bytes_per_s: int,
    ) -> None:
        view = bench.create_view()
        gossiper = bench.create_gossip(view, bytes_per_s)
        for message in history:
            view.merge(message, bench.NOW)
        now = bench.NOW
        sent: list[tuple[float, int]] = []
        for gap_s, is_round in turns:
            now += gap_s
            turn = gossiper.start_round if is_round else gossiper.send_news
            for outgoing in turn(now):
                size = len(outgoing.datagram) + sizes.DATAGRAM_OVERHEAD
                sent.append((now, size))
        for began_at, _ in sent:
            within = [
                size for at, size in sent if began_at <= at < began_at + 1
            ]
            assert sum(within) <= bytes_per_s

    check()


@then('no datagram is larger than its room')
def check_room(context: Any) -> None:
    """Pack drawn views into drawn rooms."""

    @seed(14)
    @_HYPOTHESIS
    @for_all(
        st.lists(bench.messages, max_size=12),
        st.integers(250, defaults.MAX_DATAGRAM_BYTES),
    )
    def check(history: list[facts.GossipMessage], room: int) -> None:
        view = bench.create_view()
        for message in history:
            view.merge(message, bench.NOW)
            if message.configuration is not None:
                view.tell_configuration(message.configuration, bench.NOW)
            view.tell_shares(
                {share.upstream: share.in_flight for share in message.shares}
            )
            view.tell_demands(message.demands)
        packed = packing.pack_round(view, bench.NOW + 1, room)
        datagram = gossip_codec.encode_gossip(packed, bench.NOW + 1)
        assert len(datagram) + sizes.DATAGRAM_OVERHEAD <= room

    check()


@then('random bytes are read as gossip or refused as malformed')
def check_random(context: Any) -> None:
    """Decode bytes that mean nothing."""

    @seed(15)
    @_HYPOTHESIS
    @for_all(st.binary(max_size=5000))
    def check(datagram: bytes) -> None:
        _check_decoded(gossip_codec.decode_gossip(datagram, bench.NOW))

    check()


@then('changed messages are read as gossip or refused as malformed')
def check_changed(context: Any) -> None:
    """Decode valid messages with bytes changed, cut out or put in."""

    @seed(16)
    @_HYPOTHESIS
    @for_all(bench.messages, st.data())
    def check(message: facts.GossipMessage, data: st.DataObject) -> None:
        datagram = gossip_codec.encode_gossip(message, bench.NOW)
        changed = _change(datagram, data)
        _check_decoded(gossip_codec.decode_gossip(changed, bench.NOW))

    check()


@then('every valid message is read as it was written')
def check_round_trip(context: Any) -> None:
    """Compare facts without times exactly, and ages within 2 ms."""

    @seed(17)
    @_HYPOTHESIS
    @for_all(bench.messages)
    def check(message: facts.GossipMessage) -> None:
        datagram = gossip_codec.encode_gossip(message, bench.NOW)
        decoded = gossip_codec.decode_gossip(datagram, bench.NOW)
        assert isinstance(decoded, facts.GossipMessage)
        for name in ('sender', 'peers', 'beats', 'shares', 'demands'):
            assert getattr(decoded, name) == getattr(message, name)
        for mark, written in zip(decoded.marks, message.marks, strict=True):
            assert mark.identity == written.identity
            assert mark.order == written.order
            # Ages are rounded up: a hop never makes a fact look newer.
            added_s = written.happened_at - mark.happened_at
            assert round(added_s * 1000) in {0, 1, 2}, added_s

    check()


@then('random bytes and changed calls are answered or refused as malformed')
def check_calls(context: Any) -> None:
    """Process hostile bodies of peer calls."""
    calls = peer_server.create_call_handler(bench.HeldVersion(7), 'entry-0')
    valid = bench.encode_configuration_call(7)
    assert isinstance(peer_server.process_call(calls, valid), bytes)

    @seed(18)
    @_HYPOTHESIS
    @for_all(st.binary(max_size=3000), st.data())
    def check(body: bytes, data: st.DataObject) -> None:
        for hostile in (body, _change(valid, data)):
            answer = peer_server.process_call(calls, hostile)
            if isinstance(answer, Failure):
                assert answer.code is Code.MESSAGE_MALFORMED

    check()


@when('gossip of {count:d} peers is measured under virtual time')
def measure_gossip(context: Any, count: int) -> None:
    """Run the measurement once."""
    context.figures = slopes_gossip.measure([count])[0].figures_by_name


@then('a mark and a version reach all of them within {bound:f} s')
def check_spread(context: Any, bound: float) -> None:
    """Compare with the users' seconds."""
    assert context.figures['mark_spread_s'] <= bound, context.figures
    assert context.figures['configuration_spread_s'] <= bound


@then('no peer sends more than {bound:d} bytes in a second')
def check_second(context: Any, bound: int) -> None:
    """Look at the fullest second of any peer."""
    assert context.figures['max_bytes_in_a_second'] <= bound


def _merge(view: Any, peer: facts.PeerFact) -> None:
    view.merge(facts.GossipMessage(peer), bench.NOW)


def _check_decoded(decoded: facts.GossipMessage | Failure) -> None:
    if isinstance(decoded, Failure):
        assert decoded.code is Code.MESSAGE_MALFORMED
        return
    bench.create_view().merge(decoded, bench.NOW)


def _change(encoded: bytes, data: st.DataObject) -> bytes:
    """Change, cut out or put in some bytes."""
    changed = encoded
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(changed)))
        cut = data.draw(st.integers(0, 3))
        put_in = data.draw(st.binary(max_size=3))
        changed = changed[:at] + put_in + changed[at + cut :]
    return changed
