"""Steps for the priorities and client accounts of waiting pieces."""

from __future__ import annotations

import collections
import string
import time
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.batching.account_demand import AccountDemand
from damaskpoint.batching.model import Piece
from damaskpoint.batching.planner import Planner
from damaskpoint.batching.pledges import PledgeTable
from damaskpoint.batching.waiting import IdleRunner
from damaskpoint.catalog.model import RequestKind, Route, Stage
from damaskpoint.errors import Failure
from damaskpoint.forwarding.metadata import RequestMetadata
from damaskpoint.forwarding.retry_after import compute_busy_s
from damaskpoint.membership.facts import (
    DemandFact,
    GossipMessage,
    PaceFact,
    PeerFact,
    Phase,
    PledgeFact,
)
from damaskpoint.wire.gossip_codec import decode_gossip, encode_gossip
from features.support.batching_fleet import BatchingFleet

if TYPE_CHECKING:
    from collections.abc import Sequence

_NONE: Final = '-'
_CLOSE: Final = 0.01


def _split_names(text: str) -> list[str]:
    return [] if text == _NONE else text.split()


def _create_request_piece(row: Any, request_id: str, index: int) -> Piece:
    return Piece(
        request_id=request_id,
        stage=0,
        index=index,
        key='',
        inputs=(),
        zone='z',
        moved_bytes=0,
        priority=int(row['priority']),
        ends_at=9,
        needed_at=float(row['needed']),
        lead_s=0,
        result_bytes=1,
        has_cost=bool(row['cost']),
        is_deferred=False,
        account=row['account'] if 'account' in row.headings else '',
    )


@given('these requests wait')
def add_requests(context: Any) -> None:
    """Add the pieces of each request at time 0, a number for each request."""
    context.sizes = {}
    for row in context.table:
        sizes = row['pieces'].replace(_NONE, '').split(',')
        for number, size in enumerate(filter(None, sizes)):
            name = f'{row["name"]}{number}'
            context.sizes[name] = int(size)
            for index in range(int(size)):
                context.queue.add(_create_request_piece(row, name, index), 0)


@when('a runner takes one batch after the other')
def take_all_batches(context: Any) -> None:
    """Run calls one after the other; late pieces are dropped before each."""
    context.made = collections.Counter()
    now = float(0)
    while True:
        context.queue.take_late(1, now)
        runner = IdleRunner('z', frozenset('z'), 1_000, True)
        tickets = context.queue.take_batch(runner, now)
        if not tickets:
            return
        now += context.queue.limits.estimate_call_s(len(tickets))
        for ticket in tickets:
            if now <= ticket.piece.needed_at:
                context.made[ticket.piece.request_id] += 1


@then('the requests {names} are complete in time')
def check_complete(context: Any, names: str) -> None:
    """Compare the requests all of whose pieces are in time, sorted by name."""
    complete = sorted(
        name
        for name, size in context.sizes.items()
        if context.made[name] == size
    )
    found = [name.rstrip(string.digits) for name in complete]
    assert found == _split_names(names), (found, context.made)


@given('pledges of these pieces by priority')
def pledge_by_priority(context: Any) -> None:
    """Pledge pieces here and at peers; an older one reports no priorities."""
    context.pledges = PledgeTable()
    for row in context.table:
        table = context.pledges if row['place'] == 'here' else PledgeTable()
        for heading in ('0', '1', '2', '5'):
            pieces = int(row[heading] or 0)
            table.add('group', pieces, is_deferred=False, priority=int(heading))
        table.add('group', int(row['deferred']), is_deferred=True, priority=0)
        if row['place'] != 'here':
            sent = _send_pledges(table.list_own())
            context.pledges.record_peer(row['place'], sent, 0)


def _send_pledges(pledges: Sequence[PledgeFact]) -> tuple[PledgeFact, ...]:
    """Return the pledges as received from a datagram."""
    sender = PeerFact('peer', 'z', 'host', 1, 1, 1, Phase.SERVING)
    message = GossipMessage(sender, pledges=tuple(pledges))
    received = decode_gossip(encode_gossip(message, 0), 0)
    assert not isinstance(received, Failure), received
    return received.pledges


@then('{ahead:d} pieces are ahead of a request of priority {priority:d}')
def check_ahead_of(context: Any, ahead: int, priority: int) -> None:
    """Compare the count."""
    found = context.pledges.count_ahead(
        'group', is_deferred=False, priority=priority
    )
    assert found == ahead, found


@then(
    '{ahead:d} pieces are ahead of a deferred request of priority {priority:d}'
)
def check_ahead_of_deferred(context: Any, ahead: int, priority: int) -> None:
    """Compare the count."""
    found = context.pledges.count_ahead(
        'group', is_deferred=True, priority=priority
    )
    assert found == ahead, found


@given(
    '{pieces:d} pieces of priority {priority:d} are pledged to a group of'
    ' {runners:d} runners'
)
def pledge_burst(
    context: Any, pieces: int, priority: int, runners: int
) -> None:
    """Pledge the pieces at a planner of one instance."""
    instance = BatchingFleet(1, runners).by_name['i-0']
    pledges = PledgeTable()
    pledges.add('stage#0', pieces, is_deferred=False, priority=priority)
    pool = instance.pool
    context.pool = pool
    context.planner = Planner(instance.catalog, pool, RunnerHealth(), pledges)


@given('it works off a backlog at the pace {drain:g}')
def report_drain(context: Any, drain: float) -> None:
    """Report the pace of the group as its batching instance does."""
    fact = PaceFact('stage#0', 1, drain)
    context.pool.paces.record([fact], 0)


@then(
    'a request of priority {priority:d} with {pieces:d} pieces there is planned'
    ' to take {stages_s:g} s, {contended}'
)
def check_plan(
    context: Any, priority: int, pieces: int, stages_s: float, contended: str
) -> None:
    """Compare the estimate and whether other work is ahead."""
    route = _create_route((Stage(0, 'stage', (), 1),), priority)
    metadata = RequestMetadata('r', None, None, piece_counts=(pieces,))
    plan = context.planner.plan(route, 'plain', metadata, 0, is_deferred=False)
    assert abs(plan.stages_s - stages_s) < _CLOSE, plan
    assert plan.is_contended == (contended == 'contended'), plan


def _create_route(stages: tuple[Stage, ...], priority: int) -> Route:
    return Route(
        name='route',
        host='h',
        prefix='/',
        kind=RequestKind.SAFE,
        timeout_s=9,
        objective_s=2,
        priority=priority,
        targets=(),
        max_attempts=1,
        stages=stages,
    )


@given(
    'its calls have the pace {pace:g} and its orders lately took {order:g} s'
)
def report_pace(context: Any, pace: float, order: float) -> None:
    """Report the pace of the group as its batching instance does."""
    context.pool.paces.record([PaceFact('stage#0', pace, 0, order)], 0)


@given(
    'each of {count:d} orders to it has taken {beside:g} s beside queue and call'
)
def record_handovers(context: Any, count: int, beside: float) -> None:
    """Record the times of these orders."""
    for _ in range(count):
        context.planner.handovers.record('stage#0', beside)


@then(
    'the pieces of a chain of three stages are needed {first:g}, {second:g} and'
    ' 0 s before its end'
)
def check_remaining(context: Any, first: float, second: float) -> None:
    """Compare the times that are expected for the later stages."""
    stages = (
        Stage(0, 'stage', (), 1),
        Stage(1, 'stage', (0,), 1),
        Stage(2, 'stage', (1,), 1),
    )
    metadata = RequestMetadata('r', None, None, piece_counts=(2, 2, 2))
    remaining_s_by_stage = context.planner.expected_remaining_s(
        _create_route(stages, 0),
        metadata,
        dict.fromkeys(range(3), 'stage#0'),
        0,
    )
    found = [round(remaining_s_by_stage[index], 2) for index in range(3)]
    assert found == [first, second, 0], found


@given('the accounts need pieces')
def need_pieces(context: Any) -> None:
    """Count the pieces here, and apply the reports of a peer."""
    context.demand = AccountDemand()
    context.demand.set_peers(
        {row['account']: int(row['peer']) for row in context.table}
    )
    for row in context.table:
        context.demand.add(row['account'], int(row['here']))


@then(
    '{percent:g} percent of the pieces are ahead of {pieces:d} new ones of'
    ' account "{account}"'
)
@then(
    '{percent:g} percent of the pieces are ahead of {pieces:d} new ones of'
    ' account ""'
)
def check_share_ahead(
    context: Any, percent: float, pieces: int, account: str = ''
) -> None:
    """Compare the share."""
    found = 100 * context.demand.find_share_ahead(account, pieces)
    assert round(found, 1) == percent, found


@when('the account "{account}" needs {pieces:d} pieces less')
def withdraw_pieces(context: Any, account: str, pieces: int) -> None:
    """Withdraw the pieces."""
    context.demand.add(account, -pieces)


@then('it reports 0 pieces of "{account}" for {keep_s:g} s, and then nothing')
def check_reports(context: Any, account: str, keep_s: float) -> None:
    """Expire at three times."""
    for now in (0, keep_s):
        context.demand.expire(now, keep_s)
        assert context.demand.list_own() == [DemandFact(account, 0, 0)]
    context.demand.expire(keep_s + 0.1, keep_s)
    assert not context.demand.list_own()


@then(
    'the Retry-After of {count:d} requests that are {late_s:g} s late are spread'
    ' over {spread_s:g} s and more, {mean_s:g} s on average'
)
def check_retry_after(
    context: Any, count: int, late_s: float, spread_s: float, mean_s: float
) -> None:
    """Compare the range and the mean."""
    delays = [
        compute_busy_s(f'request-{number}', late_s, 9)
        for number in range(count)
    ]
    assert max(delays) - min(delays) >= spread_s, (min(delays), max(delays))
    assert round(sum(delays) / count, 1) == mean_s, sum(delays) / count


@given(
    '{count:d} requests with {pieces:d} pieces of {accounts:d} accounts wait'
)
def add_many_requests(
    context: Any, count: int, pieces: int, accounts: int
) -> None:
    """Add requests of which about half can be in time, at time 0."""
    for number in range(count):
        due_at = 1.5 * number / count
        for index in range(pieces):
            context.queue.add(
                Piece(
                    request_id=f'r{number}',
                    stage=1,
                    index=index,
                    key='',
                    inputs=('input',),
                    zone='z',
                    moved_bytes=0,
                    priority=number % 2,
                    account=f'a{number % accounts}',
                    ends_at=9,
                    needed_at=due_at,
                    lead_s=0,
                    result_bytes=10,
                    has_cost=True,
                    is_deferred=False,
                ),
                0,
            )


@when('a runner without memory asks {times:d} times for a batch')
def poll_without_memory(context: Any, times: int) -> None:
    """Take batches and measure the processor time."""
    runner = IdleRunner('z', frozenset('z'), 9, False, 8)
    context.taken = ()
    began_s = time.process_time()
    for _ in range(times):
        context.taken += context.queue.take_batch(runner, 0)
    context.used_s = time.process_time() - began_s


@then('it gets no piece, and {used:g} s of processor time were used at most')
def check_used(context: Any, used: float) -> None:
    """Compare the pieces and the time."""
    assert not context.taken, context.taken
    assert context.used_s <= used, context.used_s


@when('a runner of a group with the drain pace {drain:g} takes a batch at 0')
def take_of_slow_group(context: Any, drain: float) -> None:
    """Find the requests that give way to others."""
    runner = IdleRunner('z', frozenset('z'), 9, True, group_drain_pace=drain)
    context.yielding = context.queue.find_yielding(runner, 0)


@then('{count:d} requests give way')
def check_yielding(context: Any, count: int) -> None:
    """Compare the number."""
    assert len(context.yielding) == count, context.yielding
