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
    DisabledGuards,
    World,
    schedules,
)

_EMPTY_SCHEDULE = Schedule((), (), (-1, -1, -1))
_KEEP_S = 86_400


@given('a journal with all its guards')
def make_journal(context: Any) -> None:
    """Disable no guard."""
    context.disabled_guards = DisabledGuards()
    context.patch = contextlib.nullcontext()


@given('a journal that takes over open rows')
def make_takeover_journal(context: Any) -> None:
    """Treat an open row of another attempt as free."""
    context.disabled_guards = DisabledGuards()
    context.patch = mock.patch.object(
        table_journal, 'interpret_row', _take_over
    )


@given('a journal that sends when the answer to a write is lost')
def make_trusting_journal(context: Any) -> None:
    """Treat every lost answer as a success."""
    context.disabled_guards = DisabledGuards(trusts_lost_answers=True)
    context.patch = contextlib.nullcontext()


@given('a journal that reports an unknown outcome as not run')
def make_misreporting_journal(context: Any) -> None:
    """Report a call whose answer was lost as not run."""
    context.disabled_guards = DisabledGuards(says_not_run=True)
    context.patch = contextlib.nullcontext()


@given('a journal that ignores whether the request of a key differs')
def make_body_ignoring_journal(context: Any) -> None:
    """Use the same digest for all requests."""
    context.disabled_guards = DisabledGuards(ignores_bodies=True)
    context.patch = contextlib.nullcontext()


@when('{count:d} schedules of at-most-once requests are run')
def run_schedules(context: Any, count: int) -> None:
    """Run all schedules; keep the first one that violates each invariant."""
    context.violations = {}

    @hypothesis_settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @draw(schedules())
    def run_one(schedule: Schedule) -> None:
        world = World(schedule, context.disabled_guards)
        asyncio.run(world.run())
        for invariant in world.find_violations():
            context.violations.setdefault(invariant, schedule)

    with context.patch:
        run_one()


@then('no schedule violates an invariant')
def check_no_violation(context: Any) -> None:
    """Check that there is none; the assertion lists the schedules."""
    assert not context.violations, context.violations


@then('a schedule violates the invariant "{invariant}"')
def check_violation(context: Any, invariant: str) -> None:
    """Check that the test detects what the guard prevents."""
    assert invariant in context.violations, sorted(context.violations)


@when('an entry crashes after its intent and another gets the same key')
def crash_entry(context: Any) -> None:
    """Open a row at one entry, crash it, and retry at another entry."""
    context.result = asyncio.run(_crash_and_retry())


@then('the other reports that it is unknown whether the request ran')
def check_unknown(context: Any) -> None:
    """Check that the request is neither run again nor reported as not run."""
    result = context.result
    assert isinstance(result, Failure), result
    assert result.ran is Ran.UNKNOWN, result
    assert result.code in {Code.KEY_IN_PROGRESS, Code.OUTCOME_UNKNOWN}


@given('{count:d} writes in one transaction')
def submit_writes(context: Any, count: int) -> None:
    """Fill a queue, and start its transaction."""
    context.queue = CommitQueue(max_batch=count, max_waiting=count)
    for number in range(count):
        row_key = RowKey('journal', str(number))
        context.queue.submit(Write(row_key, 0, {}))
    context.batch = context.queue.take_batch()
    assert len(context.batch) == count


@when('the table reports that {count:d} of them conflict')
def answer_conflict(context: Any, count: int) -> None:
    """Report conflicts at the first positions."""
    context.conflicting = tuple(range(count))
    context.receipts = context.queue.complete_batch(
        Conflicted(context.conflicting)
    )


@then('the other {count:d} are in the next transaction')
def check_next_batch(context: Any, count: int) -> None:
    """Check the receipts and the next transaction."""
    ends = {receipt.end for receipt in context.receipts}
    assert ends == {CommitEnd.CONFLICTED}
    expected = context.batch[len(context.conflicting) :]
    assert context.queue.take_batch() == expected
    assert len(expected) == count


@when('an answer of {size:d} bytes is recorded at one entry')
def record_large(context: Any, size: int) -> None:
    """Record an answer at one entry, and retry the key at another one."""
    context.answer = StoredAnswer(200, (('X-Kind', 'a'),), b'x' * size)
    context.result = asyncio.run(_record_and_retry(context.answer))


@then('another entry returns the same answer for the same key')
def check_same(context: Any) -> None:
    """Compare status, headers and bytes."""
    assert context.result == context.answer


@given('a journal with rows of these ages')
def make_rows(context: Any) -> None:
    """Write the rows; their keys are their positions."""
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


@when('the sweeper has scanned the journal')
def sweep_journal(context: Any) -> None:
    """Sweep twice; the second sweep starts again at the first row."""
    sweeper = Sweeper('entry-1', context.journal_table, _KEEP_S)
    asyncio.run(_sweep_twice(sweeper))


@then('only the rows to be kept remain')
def check_swept(context: Any) -> None:
    """Compare the keys of the remaining rows."""
    remaining = {
        row_key.key
        for row_key in context.journal_table.rows_by_key
        if row_key.table == rows.TABLE
    }
    expected = set()
    for number, row in enumerate(context.rows):
        if row['kept'] == 'yes':
            expected.add(str(number))
    assert remaining == expected, (remaining, expected)


async def _sweep_twice(sweeper: Sweeper) -> None:
    await sweeper.sweep()
    await sweeper.sweep()


def _make_request() -> GuardedRequest:
    return GuardedRequest('account', 'k', 'd', time.monotonic() + 100)


async def _crash_and_retry() -> StoredAnswer | Failure | None:
    world = World(_EMPTY_SCHEDULE, DisabledGuards())
    first = world.create_entry(0)
    opened = asyncio.Event()

    async def send() -> StoredAnswer | Failure:
        opened.set()
        await asyncio.Event().wait()
        return await _fail()

    task = asyncio.ensure_future(first.guard.run(_make_request(), send))
    await opened.wait()
    first.background.cancel_all()
    await asyncio.gather(task, return_exceptions=True)
    return await world.create_entry(1).guard.run(_make_request(), _fail)


async def _record_and_retry(answer: StoredAnswer) -> StoredAnswer | Failure:
    world = World(_EMPTY_SCHEDULE, DisabledGuards())

    async def send() -> StoredAnswer | Failure:
        return answer

    await world.create_entry(0).guard.run(_make_request(), send)
    return await world.create_entry(1).guard.run(_make_request(), _fail)


async def _fail() -> StoredAnswer | Failure:
    raise AssertionError('the request was sent a second time')


def _take_over(row: Any, request: Any, attempt: str, now_wall: float) -> Any:
    """Interpret a row as the journal does, but an open row as free."""
    verdict = rows.interpret_row(row, request, attempt, now_wall)
    if isinstance(verdict, Failure) and verdict.code is Code.KEY_IN_PROGRESS:
        return rows.Free(row.version)
    return verdict
