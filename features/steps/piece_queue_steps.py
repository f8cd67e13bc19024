"""Steps on the queue, the room and the times of a group of runners."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final, final

from behave import given, then, when

from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.batching.base import PieceCaller
from damaskpoint.batching.estimate import GroupLoad, estimate_end_s
from damaskpoint.batching.group import RunnerGroup
from damaskpoint.batching.model import Piece, PieceOutcome
from damaskpoint.batching.pledges import PledgeBoard
from damaskpoint.batching.queue import PieceQueue, Taker
from damaskpoint.batching.room import RunnerRoom
from damaskpoint.catalog.model import BatchLimits, Runner
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import PledgeFact

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
        self._works_at = time.monotonic() + refusing_s

    async def make_pieces(
        self, runner: Runner, pieces: Sequence[Piece], limit_s: float
    ) -> tuple[PieceOutcome, ...] | Failure:
        """Fail at once, as a closed port does, or make all pieces."""
        self.calls += 1
        if time.monotonic() < self._works_at:
            return Failure(Code.UPSTREAM_UNREACHABLE, 'refused')
        made = PieceOutcome('handle', None, runner.name)
        return (made,) * len(pieces)

    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Take no note of it."""


def _create_limits(most: int = 10, room: float = 1e9) -> BatchLimits:
    return BatchLimits(
        max_concurrent_calls=1,
        max_pieces=most,
        call_s=0.2,
        piece_s=0.01,
        result_capacity_bytes=room,
        result_ttl_s=4,
    )


def _names(text: str) -> list[str]:
    return [] if text == _NONE else text.split()


@given('a queue for calls of {most:d} pieces')
def create_queue(context: Any, most: int) -> None:
    """Start with an empty queue."""
    context.queue = PieceQueue(_create_limits(most))


@given('these pieces wait')
def add_pieces(context: Any) -> None:
    """Add a piece for each row, all at 0."""
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


def _take(context: Any, zone: str, room: int, now: float, any_: bool) -> None:
    taker = Taker(zone, frozenset(('y', 'z')), room, any_)
    tickets = context.queue.take(taker, now)
    context.taken = [ticket.piece.request_id for ticket in tickets]


@when(
    'a runner of zone {zone} with room for {room:d} bytes takes a call at {now:g}'
)
def take(context: Any, zone: str, room: int, now: float) -> None:
    """Take a call that may be small."""
    _take(context, zone, room, now, any_=True)


@when(
    'a {patience} runner of zone {zone} with room for {room:d} bytes takes a call at {now:g}'
)
def take_patiently(
    context: Any, patience: str, zone: str, room: int, now: float
) -> None:
    """Take a call that may have to wait."""
    _take(context, zone, room, now, any_=patience == 'impatient')


@then('the call has the pieces {names}')
def check_taken(context: Any, names: str) -> None:
    """Compare the pieces in order."""
    assert context.taken == _names(names), context.taken


@when('late pieces are dropped at {now:g}')
def drop_late(context: Any, now: float) -> None:
    """Drop what is not worth making."""
    late = context.queue.take_late(1, now)
    context.dropped = [ticket.piece.request_id for ticket in late]


@then('the pieces {names} are dropped')
def check_dropped(context: Any, names: str) -> None:
    """Compare the pieces."""
    assert context.dropped == _names(names), context.dropped


@given('a runner with room for {room:d} bytes')
def create_room(context: Any, room: int) -> None:
    """Start idle."""
    context.room = RunnerRoom(_create_limits(room=room))


@when('a call for {size:d} bytes begins at {now:g}')
def begin_call(context: Any, size: int, now: float) -> None:
    """Begin a call of one piece."""
    context.room.begin_call(1, size, now)


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
    context.room.end_call(size, now)
    context.room.hold_result(first, one, now)
    context.room.hold_result(second, two, now)


@when('the result "{handle}" is given up')
def give_up(context: Any, handle: str) -> None:
    """Release a result, and one that is not known."""
    context.room.release((handle, 'unknown'))


@when('the runner says at {now:g} that it has no room')
def refuse(context: Any, now: float) -> None:
    """Take the runner's word for it."""
    context.room.note_no_room(now)


@then('{free:d} bytes are free at {now:g}')
def check_free(context: Any, free: int, now: float) -> None:
    """Compare the room."""
    found = context.room.free_bytes(now)
    assert abs(found - free) < 1, found


@given(
    'a group of {runners:d} runners with {ahead:d} pieces ahead and pace {pace:g}'
)
def create_load(context: Any, runners: int, ahead: int, pace: float) -> None:
    """Keep what lies before new pieces."""
    context.load = GroupLoad(_create_limits(), runners, ahead, pace)


@then('{pieces:d} pieces that can begin at {begin:g} end at {end:g}')
def check_end(context: Any, pieces: int, begin: float, end: float) -> None:
    """Compare the estimate."""
    found = estimate_end_s(context.load, pieces, begin)
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
    """Pledge pieces of one group."""
    context.pledges = PledgeBoard()
    context.pledges.add('group', urgent, is_deferred=False)
    context.pledges.add('group', deferred, is_deferred=True)
    told = PledgeFact('group', peer_urgent, peer_deferred)
    context.pledges.hear('peer', (told,), 0)


@then('{ahead:d} pieces lie ahead of one that is {kind}')
def check_ahead(context: Any, ahead: int, kind: str) -> None:
    """Compare the count."""
    is_deferred = kind == 'deferred'
    found = context.pledges.count_ahead('group', is_deferred=is_deferred)
    assert found == ahead, found


@given('a group whose runners have the paces {paces}')
def create_group(context: Any, paces: str) -> None:
    """Create the group, and let each runner be seen to work so fast."""
    runners = _create_runners(len(_names(paces)))
    context.group = RunnerGroup(
        _create_limits(), lambda: runners, RunnerHealth(), _RefusingCaller(0)
    )
    for runner, pace in zip(runners, _names(paces), strict=True):
        context.group._find_room(runner.name).pace = float(pace)


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
def create_refused(context: Any, refusing: float) -> None:
    """Create the group."""
    context.caller = _RefusingCaller(refusing)
    context.group = RunnerGroup(
        _create_limits(),
        lambda: _create_runners(1),
        RunnerHealth(),
        context.caller,
    )


@when('{count:d} pieces are ordered')
def order(context: Any, count: int) -> None:
    """Wait for their outcomes."""
    far = time.monotonic() + 9
    pieces = [
        Piece('r', 0, index, '', (), 'z', 0, 0, far, far, 0, 1, False, False)
        for index in range(count)
    ]
    context.outcomes = context.loop.run_until_complete(
        context.group.make(pieces)
    )


@then('they are made, after at most {calls:d} calls')
def check_made(context: Any, calls: int) -> None:
    """See the handles, and how often the runner was called."""
    assert all(outcome.handle for outcome in context.outcomes)
    assert context.caller.calls <= calls, context.caller.calls
