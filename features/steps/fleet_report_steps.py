"""Steps for the reports that an instance has of its peers."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from damaskpoint.membership.facts import (
    GossipMessage,
    PaceFact,
    PeerFact,
    Phase,
    PledgeFact,
)
from damaskpoint.membership.packing import pack_round, record_sent
from damaskpoint.membership.peers import compute_beat_id
from damaskpoint.membership.view import View
from features.support.reporting_fleet import GROUP, PACE, ReportingFleet

_SEED = 28


@given('{count:d} peers that pledge {pieces:d} pieces each to the same group')
def keep_count(context: Any, count: int, pieces: int) -> None:
    """Keep the size of the fleet."""
    context.count = count
    context.pieces = pieces


@when('gossip runs for {seconds:g} s, of which {percent:g} percent is lost')
def run_gossip(context: Any, seconds: float, percent: float) -> None:
    """Record after each round what the instance knows."""
    fleet = ReportingFleet(context.count, _SEED, percent / 100)
    fleet.pledge(context.pieces)
    context.fleet = fleet
    context.known = [
        (
            now,
            fleet.observed.count_ahead(GROUP, is_deferred=False),
            fleet.paces.find(GROUP),
        )
        for now in fleet.run(seconds)
    ]


@then(
    'from {known_s:g} s on the instance counts at least {percent:g} percent of'
    ' the pieces'
)
def check_counted(context: Any, known_s: float, percent: float) -> None:
    """Show the rounds in which too little is counted."""
    least = context.count * context.pieces * percent / 100
    wrong = [
        (now, counted)
        for now, counted, _ in context.known
        if now > known_s and counted < least
    ]
    assert not wrong, (len(wrong), wrong[:3], least)


@when('the peers withdraw their pledges')
def withdraw(context: Any) -> None:
    """Withdraw the pieces of each peer."""
    context.fleet.pledge(-context.pieces)


@then(
    'after {gone_s:g} s the instance counts no more than {percent:g} percent of'
    ' the pieces'
)
def check_gone(context: Any, gone_s: float, percent: float) -> None:
    """Run on, and count what is left."""
    context.rounds = tuple(context.fleet.run(gone_s))
    counted = context.fleet.observed.count_ahead(GROUP, is_deferred=False)
    assert counted <= context.count * context.pieces * percent / 100, counted


@then('from {known_s:g} s on the instance knows the pace of the group')
def check_pace(context: Any, known_s: float) -> None:
    """Show the rounds in which the pace is not known."""
    wrong = [
        (now, pace)
        for now, _, pace in context.known
        if now > known_s and pace != PACE
    ]
    assert not wrong, (len(wrong), wrong[:3])


@given(
    'an instance with {count:d} live peers, {pledges:d} pledges, {shares:d}'
    ' shares and a pace'
)
def create_view(context: Any, count: int, pledges: int, shares: int) -> None:
    """Create a view that has heard each peer once."""
    context.now = 100.0
    context.view = View(_create_peer(count), 0.8)
    for number in range(count):
        context.view.merge(GossipMessage(_create_peer(number)), context.now)
    context.view.publish_pledges(
        PledgeFact(f'stage-{index}/0', 12, 3) for index in range(pledges)
    )
    context.view.publish_shares(
        {f'i-1dc17d9d{index:02d}': 1 for index in range(shares)}
    )
    context.view.publish_paces([PaceFact('stage-0/0', PACE)])


@when('it packs {count:d} datagrams of {size:d} bytes')
def pack(context: Any, count: int, size: int) -> None:
    """Pack rounds for one peer after the other, after the news is sent."""
    messages = []
    for _ in range(2 * count):
        message = pack_round(context.view, context.now, size)
        record_sent(context.view, message, 1)
        messages.append(message)
    context.messages = messages[count:]


@then('each of them has all {count:d} pledges and the pace')
def check_packed(context: Any, count: int) -> None:
    """Show the least that a datagram has."""
    least = min(len(message.pledges) for message in context.messages)
    assert least == count, least
    assert all(message.paces for message in context.messages)


@then("each peer's heartbeat is in at least one of {window:d} datagrams")
def check_heartbeats(context: Any, window: int) -> None:
    """Look at the peers that are left out of a series of datagrams."""
    known = {
        compute_beat_id(fact.name, fact.start)
        for fact in context.view.live_peers(context.now)
    }
    for start in range(0, len(context.messages) - window, window):
        sent: set[int] = set()
        for message in context.messages[start : start + window]:
            sent.update(beat.beat_id for beat in message.beats)
            for fact in message.peers:
                sent.add(compute_beat_id(fact.name, fact.start))
        assert sent >= known, len(known - sent)


def _create_peer(number: int) -> PeerFact:
    return PeerFact(
        name=f'front-ikorodu-{number}',
        zone='ikorodu',
        host=f'10.4.0.{number}',
        peer_port=9000,
        start=1_700_000_000_000 + number,
        heartbeat=100,
        phase=Phase.SERVING,
        batch_rate=10_000,
    )
