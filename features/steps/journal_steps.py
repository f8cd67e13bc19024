"""Steps that check the journal of non-idempotent requests."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any
from unittest import mock

from behave import given, then, when
from hypothesis import HealthCheck
from hypothesis import given as draw
from hypothesis import settings as hypothesis_settings

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.journal import rows, table_journal
from damaskpoint.journal.base import GuardedRequest, StoredAnswer
from damaskpoint.journal.commit_queue import CommitEnd, CommitQueue
from damaskpoint.journal.sweeper import Sweeper
from damaskpoint.platform.base import Conflicted, RowKey, Write
from features.support.fake_table import FakeTable
from features.support.journal_world import (
    Schedule,
    Wiring,
    World,
    schedules,
)

_EMPTY = Schedule((), (), (-1, -1, -1))
_KEEP_S = 86_400


@given('a journal as the entries have it')
def make_journal(context: Any) -> None:
    """Leave every guard in place."""
    context.wiring = Wiring()
    context.patch = contextlib.nullcontext()


@given('a journal that takes over open rows')
def make_taking_journal(context: Any) -> None:
    """Treat a row of another attempt as free."""
    context.wiring = Wiring()
    context.patch = mock.patch.object(table_journal, 'judge_row', _take_over)


@given('a journal that sends when the answer of a write is lost')
def make_trusting_journal(context: Any) -> None:
    """Take every lost answer for a success."""
    context.wiring = Wiring(trusts_lost_answers=True)
    context.patch = contextlib.nullcontext()


@given('a journal that says not run of an unknown outcome')
def make_lying_journal(context: Any) -> None:
    """Claim that a lost call did not run."""
    context.wiring = Wiring(says_not_run=True)
    context.patch = contextlib.nullcontext()


@given('a journal that answers a key whatever its request was')
def make_mixing_journal(context: Any) -> None:
    """Leave the digest of the request out."""
    context.wiring = Wiring(ignores_bodies=True)
    context.patch = contextlib.nullcontext()


@when('{count:d} schedules of at-most-once requests are run')
def run_schedules(context: Any, count: int) -> None:
    """Run them all and gather what was broken, with its first schedule."""
    context.broken = {}

    @hypothesis_settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @draw(schedules())
    def run_one(schedule: Schedule) -> None:
        world = World(schedule, context.wiring)
        asyncio.run(world.run())
        for promise in world.find_violations():
            context.broken.setdefault(promise, schedule)

    with context.patch:
        run_one()


@then('no schedule breaks a promise')
def check_all_kept(context: Any) -> None:
    """Show each broken promise with a schedule."""
    assert not context.broken, context.broken


@then('a schedule breaks the promise "{promise}"')
def check_broken(context: Any, promise: str) -> None:
    """Show that the check sees what the guard prevents."""
    assert promise in context.broken, sorted(context.broken)


@when('an entry dies after its intent and another gets the same key')
def let_entry_die(context: Any) -> None:
    """Open a row at one entry, end it, and ask at another."""
    context.result = asyncio.run(_die_and_ask())


@then('the other says that it is unknown whether the request ran')
def check_unknown(context: Any) -> None:
    """Neither run it again nor call it not run."""
    result = context.result
    assert isinstance(result, Failure), result
    assert result.ran is Ran.UNKNOWN, result
    assert result.code in {Code.KEY_IN_PROGRESS, Code.OUTCOME_UNKNOWN}


@given('{count:d} writes in one transaction')
def submit_writes(context: Any, count: int) -> None:
    """Fill a queue and begin its transaction."""
    context.queue = CommitQueue(max_batch=count, max_waiting=count)
    for number in range(count):
        row_key = RowKey('journal', str(number))
        context.queue.submit(Write(row_key, 0, {}))
    context.batch = context.queue.take_batch()
    assert len(context.batch) == count


@when('the table says that {count:d} of them conflict')
def answer_conflict(context: Any, count: int) -> None:
    """Answer with the first positions."""
    context.conflicting = tuple(range(count))
    context.receipts = context.queue.settle(Conflicted(context.conflicting))


@then('the other {count:d} are in the next transaction')
def check_next_batch(context: Any, count: int) -> None:
    """Check receipts and the next transaction."""
    ends = {receipt.end for receipt in context.receipts}
    assert ends == {CommitEnd.CONFLICTED}
    expected = context.batch[len(context.conflicting) :]
    assert context.queue.take_batch() == expected
    assert len(expected) == count


@when('an answer of {size:d} bytes is recorded at one entry')
def record_large(context: Any, size: int) -> None:
    """Record it, and ask for the same key at another entry."""
    context.answer = StoredAnswer(200, (('X-Kind', 'a'),), b'x' * size)
    context.result = asyncio.run(_record_and_ask(context.answer))


@then('another entry gives the same answer to the same key')
def check_same(context: Any) -> None:
    """Compare status, headers and bytes."""
    assert context.result == context.answer


@given('a journal with rows of these ages')
def make_rows(context: Any) -> None:
    """Write the rows, named by their place in the table."""
    context.rows = [row.as_dict() for row in context.table]
    context.journal_table = FakeTable(iter(()))
    now_wall = time.time()
    for number, row in enumerate(context.rows):
        opened_at = now_wall - float(row['age_s'])
        data = rows.RowData(
            state=rows.RowState(row['state']),
            attempt='a',
            entry='e',
            digest='d',
            opened_at=opened_at,
            ends_at=opened_at,
        )
        row_key = RowKey(rows.TABLE, str(number))
        context.journal_table.apply([Write(row_key, 0, data.encode())])


@when('the sweeper has gone through the journal')
def sweep_journal(context: Any) -> None:
    """Go through it twice, since the second round starts anew."""
    sweeper = Sweeper('entry-1', context.journal_table, _KEEP_S)
    asyncio.run(_sweep_twice(sweeper))


@then('only the rows to be kept are left')
def check_swept(context: Any) -> None:
    """Compare the names."""
    left = {
        row_key.key
        for row_key in context.journal_table.rows_by_key
        if row_key.table == rows.TABLE
    }
    kept = set()
    for number, row in enumerate(context.rows):
        if row['kept'] == 'yes':
            kept.add(str(number))
    assert left == kept, (left, kept)


async def _sweep_twice(sweeper: Sweeper) -> None:
    await sweeper.sweep()
    await sweeper.sweep()


def _make_request() -> GuardedRequest:
    return GuardedRequest('account', 'k', 'd', time.monotonic() + 100)


async def _die_and_ask() -> StoredAnswer | Failure | None:
    world = World(_EMPTY, Wiring())
    first = world.create_entry(0)
    opened = asyncio.Event()

    async def send() -> StoredAnswer | Failure:
        opened.set()
        await asyncio.Event().wait()
        return await _fail()

    work = asyncio.ensure_future(first.guard.run(_make_request(), send))
    await opened.wait()
    first.background.cancel_all()
    await asyncio.gather(work, return_exceptions=True)
    return await world.create_entry(1).guard.run(_make_request(), _fail)


async def _record_and_ask(answer: StoredAnswer) -> StoredAnswer | Failure:
    world = World(_EMPTY, Wiring())

    async def send() -> StoredAnswer | Failure:
        return answer

    await world.create_entry(0).guard.run(_make_request(), send)
    return await world.create_entry(1).guard.run(_make_request(), _fail)


async def _fail() -> StoredAnswer | Failure:
    raise AssertionError('the request was sent a second time')


def _take_over(row: Any, request: Any, attempt: str, now_wall: float) -> Any:
    """Judge as the journal does, but open rows are there for the taking."""
    verdict = rows.judge_row(row, request, attempt, now_wall)
    if isinstance(verdict, Failure) and verdict.code is Code.KEY_IN_PROGRESS:
        return rows.Free(row.version)
    return verdict
