"""Steps for the queue, memory and time estimates of a group of runners."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final, final

from behave import given, then, when

from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.batching.base import PieceCaller
from damaskpoint.batching.capacity import RunnerCapacity
from damaskpoint.batching.drain import DrainMeter
from damaskpoint.batching.estimate import GroupLoad, estimate_end_s
from damaskpoint.batching.group import RunnerGroup
from damaskpoint.batching.model import CallAnswer, Piece, PieceOutcome
from damaskpoint.batching.pledges import PledgeTable
from damaskpoint.batching.queue import PieceQueue
from damaskpoint.batching.waiting import IdleRunner
from damaskpoint.catalog.model import BatchLimits, Runner
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import PledgeFact

if TYPE_CHECKING:
    from collections.abc import Sequence

_NONE: Final = '-'
_CLOSE: Final = 0.01
_ABOUT: Final = 0.1


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


@given('a queue for batches of {most:d} pieces without shared capacity')
def create_plain_queue(context: Any, most: int) -> None:
    """Start with an empty queue that only looks at due times."""
    context.queue = PieceQueue(_create_limits(most), shares_capacity=False)


@given('these pieces wait')
def add_pieces(context: Any) -> None:
    """Add a piece for each row at time 0."""
    for row in context.table:
        context.queue.add(_create_piece(row), 0)


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
    context.now = now
    context.tickets = context.queue.take_batch(runner, now)
    context.taken = [ticket.piece.request_id for ticket in context.tickets]


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
    context.free_at_call = context.capacity.free_bytes(now)
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
    """Record a call for which there was no memory at all."""
    free = context.capacity.free_bytes(now)
    context.capacity.record_out_of_memory(free, 0, now)


@given(
    'it holds the results "{first}" of {one:d} and "{second}" of {two:d} bytes'
)
def hold_results(
    context: Any, first: str, one: int, second: str, two: int
) -> None:
    """Add two results at time 0."""
    context.capacity.add_result(first, one, 0)
    context.capacity.add_result(second, two, 0)


@when(
    'the call of {size:d} bytes that began at {began:g} ends at {now:g} with the result "{handle}" of {made:d} bytes, without room for the rest'
)
def end_without_room(
    context: Any, size: int, began: float, now: float, handle: str, made: int
) -> None:
    """End a call of which only a part found room."""
    context.capacity.end_call(size, now)
    context.capacity.add_result(handle, made, now)
    context.capacity.record_out_of_memory(context.free_at_call, made, began)


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


@given(
    'the drain of a group of {runners:d} runners with batches of {most:d} pieces'
)
def create_drain(context: Any, runners: int, most: int) -> None:
    """Start without measurements."""
    context.drain = DrainMeter(_create_limits(most))
    context.drain_runners = runners


@when(
    '{waiting:d} pieces wait for 6 s while {made:g} pieces are made each second'
)
def drain(context: Any, waiting: int, made: float) -> None:
    """Record the queue and the results ten times a second."""
    for tick in range(1, 61):
        now = tick / 10
        context.drain.record_made(made / 10, now)
        context.drain.record_queue(waiting, context.drain_runners, now)


@then('its pace is {pace:g} then and {later:g} after 10 s without a backlog')
def check_drain(context: Any, pace: float, later: float) -> None:
    """Compare the paces."""
    runners = context.drain_runners
    found = context.drain.find_pace(1, runners, 6)
    assert abs(found - pace) < _ABOUT, found
    context.drain.record_queue(0, runners, 6)
    found = context.drain.find_pace(1, runners, 16)
    assert abs(found - later) < _ABOUT, found
