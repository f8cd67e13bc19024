"""Steps for the queue, memory and time estimates of a group of runners."""

from __future__ import annotations

import collections
import string
import time
from typing import TYPE_CHECKING, Any, Final, final

from behave import given, then, when

from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.batching.account_demand import AccountDemand
from damaskpoint.batching.base import PieceCaller
from damaskpoint.batching.capacity import RunnerCapacity
from damaskpoint.batching.estimate import GroupLoad, estimate_end_s
from damaskpoint.batching.group import RunnerGroup
from damaskpoint.batching.model import CallAnswer, Piece, PieceOutcome
from damaskpoint.batching.planner import Planner
from damaskpoint.batching.pledges import PledgeTable
from damaskpoint.batching.queue import IdleRunner, PieceQueue
from damaskpoint.catalog.model import (
    BatchLimits,
    RequestKind,
    Route,
    Runner,
    Stage,
)
from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding.metadata import RequestMetadata
from damaskpoint.forwarding.retry_after import compute_busy_s
from damaskpoint.membership.facts import (
    DemandFact,
    GossipMessage,
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


@final
class _RefusingCaller(PieceCaller):
    """Calls runners that refuse connections for a while."""

    def __init__(self, refusing_s: float) -> None:
        """Refuse from now on."""
        self.calls = 0
        self._accepts_at = time.monotonic() + refusing_s

    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> CallAnswer | Failure:
        """Fail at once like a closed port, or complete all pieces."""
        self.calls += 1
        if time.monotonic() < self._accepts_at:
            return Failure(Code.UPSTREAM_UNREACHABLE, 'refused')
        outcome = PieceOutcome('handle', None, runner.name)
        return CallAnswer((outcome,) * len(pieces))

    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Do nothing."""


def _create_limits(most: int = 10, memory: float = 1e9) -> BatchLimits:
    return BatchLimits(
        max_concurrent_calls=1,
        max_pieces=most,
        call_s=0.2,
        piece_s=0.01,
        result_capacity_bytes=memory,
        result_ttl_s=4,
    )


def _split_names(text: str) -> list[str]:
    return [] if text == _NONE else text.split()


@given('a queue for batches of {most:d} pieces')
def create_queue(context: Any, most: int) -> None:
    """Start with an empty queue."""
    context.queue = PieceQueue(_create_limits(most))


@given('these pieces wait')
def add_pieces(context: Any) -> None:
    """Add a piece for each row at time 0."""
    for row in context.table:
        context.queue.add(_create_piece(row), 0)


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


def _create_piece(row: Any) -> Piece:
    cost = row['cost'] if 'cost' in row.headings else ''
    deferred = row['deferred'] if 'deferred' in row.headings else ''
    return Piece(
        request_id=row['name'],
        stage=0,
        index=0,
        key='',
        inputs=(),
        zone=row['zone'],
        moved_bytes=int(row['bytes']),
        priority=int(row['priority']),
        ends_at=float(row['ends']),
        needed_at=float(row['needed']),
        lead_s=float(row['lead']),
        result_bytes=int(row['bytes']),
        has_cost=bool(cost),
        is_deferred=bool(deferred),
    )


def _take(
    context: Any, zone: str, free: int, now: float, is_impatient: bool
) -> None:
    runner = IdleRunner(zone, frozenset(('y', 'z')), free, is_impatient)
    tickets = context.queue.take_batch(runner, now)
    context.taken = [ticket.piece.request_id for ticket in tickets]


@when(
    'a runner of zone {zone} with {free:d} bytes free takes a batch at {now:g}'
)
def take_any_batch(context: Any, zone: str, free: int, now: float) -> None:
    """Take a batch that may be small."""
    _take(context, zone, free, now, is_impatient=True)


@when(
    'a {patience} runner of zone {zone} with {free:d} bytes free takes a batch at {now:g}'
)
def take_patiently(
    context: Any, patience: str, zone: str, free: int, now: float
) -> None:
    """Take a batch, small only if the runner is impatient."""
    _take(context, zone, free, now, is_impatient=patience == 'impatient')


@then('the batch has the pieces {names}')
def check_taken(context: Any, names: str) -> None:
    """Compare the pieces and their order."""
    assert context.taken == _split_names(names), context.taken


@when('late pieces are dropped at {now:g}')
def drop_late(context: Any, now: float) -> None:
    """Drop the pieces that are not worth running."""
    late = context.queue.take_late(1, now)
    context.dropped = [ticket.piece.request_id for ticket in late]


@then('the pieces {names} are dropped')
def check_dropped(context: Any, names: str) -> None:
    """Compare the pieces."""
    assert context.dropped == _split_names(names), context.dropped


@given('a runner with memory for {memory:d} bytes')
def create_capacity(context: Any, memory: int) -> None:
    """Create an idle runner."""
    context.capacity = RunnerCapacity(_create_limits(memory=memory))


@when('a call for {size:d} bytes begins at {now:g}')
def begin_call(context: Any, size: int, now: float) -> None:
    """Start a call of one piece."""
    context.capacity.begin_call(1, size, now)


@when(
    'the call for {size:d} bytes ends at {now:g} with the results "{first}" of {one:d} and "{second}" of {two:d} bytes'
)
def end_call(
    context: Any,
    size: int,
    now: float,
    first: str,
    one: int,
    second: str,
    two: int,
) -> None:
    """End a call with two results."""
    context.capacity.end_call(size, now)
    context.capacity.add_result(first, one, now)
    context.capacity.add_result(second, two, now)


@when('the result "{handle}" is released')
def release_result(context: Any, handle: str) -> None:
    """Release a result and an unknown one."""
    context.capacity.release((handle, 'unknown'))


@when('the runner reports at {now:g} that it is out of memory')
def run_out_of_memory(context: Any, now: float) -> None:
    """Record the report."""
    context.capacity.record_out_of_memory(now)


@then('{free:d} bytes are free at {now:g}')
def check_free(context: Any, free: int, now: float) -> None:
    """Compare the free memory."""
    found = context.capacity.free_bytes(now)
    assert abs(found - free) < 1, found


@given(
    'a group of {runners:d} runners with {ahead:d} pieces ahead and pace {pace:g}'
)
def create_load(context: Any, runners: int, ahead: int, pace: float) -> None:
    """Create the load of a group."""
    context.load = GroupLoad(_create_limits(), runners, ahead, pace)


@then('{pieces:d} pieces that can start at {start:g} end at {end:g}')
def check_end(context: Any, pieces: int, start: float, end: float) -> None:
    """Compare the estimate."""
    found = estimate_end_s(context.load, pieces, start)
    assert abs(found - end) < _CLOSE, found


@given(
    'pledges of {urgent:d} urgent and {deferred:d} deferred pieces here, and {peer_urgent:d} and {peer_deferred:d} at a peer'
)
def pledge(
    context: Any,
    urgent: int,
    deferred: int,
    peer_urgent: int,
    peer_deferred: int,
) -> None:
    """Pledge pieces at one group, here and at a peer."""
    context.pledges = PledgeTable()
    context.pledges.add('group', urgent, is_deferred=False)
    context.pledges.add('group', deferred, is_deferred=True)
    fact = PledgeFact('group', peer_urgent, peer_deferred)
    context.pledges.record_peer('peer', (fact,), 0)


@then('{ahead:d} pieces are ahead of a request that is {kind}')
def check_ahead(context: Any, ahead: int, kind: str) -> None:
    """Compare the count."""
    is_deferred = kind == 'deferred'
    found = context.pledges.count_ahead('group', is_deferred=is_deferred)
    assert found == ahead, found


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
    context.planner = Planner(instance.catalog, pool, RunnerHealth(), pledges)


@then(
    'a request of priority {priority:d} with {pieces:d} pieces there is planned'
    ' to take {stages_s:g} s, {contended}'
)
def check_plan(
    context: Any, priority: int, pieces: int, stages_s: float, contended: str
) -> None:
    """Compare the estimate and whether other work is ahead."""
    route = Route(
        name='route',
        host='h',
        prefix='/',
        kind=RequestKind.SAFE,
        timeout_s=9,
        objective_s=2,
        priority=priority,
        targets=(),
        max_attempts=1,
        stages=(Stage(0, 'stage', (), 1),),
    )
    metadata = RequestMetadata('r', None, None, piece_counts=(pieces,))
    plan = context.planner.plan(route, 'plain', metadata, 0, is_deferred=False)
    assert abs(plan.stages_s - stages_s) < _CLOSE, plan
    assert plan.is_contended == (contended == 'contended'), plan


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


@given('a group whose runners have the paces {paces}')
def create_group(context: Any, paces: str) -> None:
    """Create a group whose runners have these measured paces."""
    runners = _create_runners(len(_split_names(paces)))
    context.group = RunnerGroup(
        _create_limits(), lambda: runners, RunnerHealth(), _RefusingCaller(0)
    )
    for runner, pace in zip(runners, _split_names(paces), strict=True):
        context.group._find_capacity(runner.name).pace = float(pace)


@then('the group has the pace {pace:g}')
def check_pace(context: Any, pace: float) -> None:
    """Compare the pace."""
    assert abs(context.group.pace - pace) < _CLOSE, context.group.pace


def _create_runners(count: int) -> list[Runner]:
    return [
        Runner(f'r-{number}', 's', 'h', 1, 'z', 1, False, 0)
        for number in range(count)
    ]


@given('a group whose only runner refuses connections for {refusing:g} s')
def create_refusing_group(context: Any, refusing: float) -> None:
    """Create a group with one runner."""
    context.caller = _RefusingCaller(refusing)
    context.group = RunnerGroup(
        _create_limits(),
        lambda: _create_runners(1),
        RunnerHealth(),
        context.caller,
    )


@when('{count:d} pieces are ordered')
def order_pieces(context: Any, count: int) -> None:
    """Run the pieces and store their outcomes."""
    far = time.monotonic() + 9
    pieces = [
        Piece('r', 0, index, '', (), 'z', 0, 0, far, far, 0, 1, False, False)
        for index in range(count)
    ]
    context.outcomes = context.loop.run_until_complete(
        context.group.run_pieces(pieces)
    )


@then('they complete after at most {calls:d} calls')
def check_completed(context: Any, calls: int) -> None:
    """Check for handles, and how often the runner was called."""
    assert all(outcome.handle for outcome in context.outcomes)
    assert context.caller.calls <= calls, context.caller.calls
