"""A simulation of entries that share a journal table.

A schedule drawn by hypothesis decides when requests arrive, what the table
does with each write, and which entries crash. The simulated upstream records
what it runs, and ``World.find_violations`` checks the results against it.
"""

from __future__ import annotations

import asyncio
import functools
import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING
from unittest import mock

from hypothesis import strategies

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.journal.base import GuardedRequest, StoredAnswer
from damaskpoint.journal.guard import Guard
from damaskpoint.journal.table_journal import create_table_journal
from damaskpoint.pipeline.background import BackgroundTasks
from damaskpoint.pipeline.call import AttemptIdGenerator
from damaskpoint.platform.base import Committed, Conflicted, Table
from damaskpoint.settings import JournalOptions
from features.support.fake_table import CallFault, FakeObjectStore, FakeTable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from damaskpoint.platform.base import Row, RowKey, Write

    Send = Callable[[], Awaitable[StoredAnswer | Failure]]

ENTRIES = 3
_FAR_S = 1_000.0
_MAX_TURNS = 12
_LAST_START_TURN = 60


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """One request of a caller; times are in turns of the event loop."""

    entry: int
    key: str
    body: str
    start_turn: int
    # How long the entry pauses between intent and send.
    pause_turns: int
    # What the upstream does: run, lose (run without an answer), lose_unread
    # (neither run nor answer) or refuse.
    upstream: str
    # How long after the start the caller disconnects; -1 for never.
    leaves_after: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """All events of one run."""

    requests: tuple[ScheduledRequest, ...]
    call_faults: tuple[CallFault, ...]
    # Turn in which each entry crashes; -1 for never.
    crashes: tuple[int, ...]


def schedules() -> strategies.SearchStrategy[Schedule]:
    """Return the strategy that draws schedules."""
    turns = strategies.integers(0, _MAX_TURNS)
    some_turn = strategies.one_of(strategies.just(-1), turns)
    requests = strategies.builds(
        ScheduledRequest,
        entry=strategies.integers(0, ENTRIES - 1),
        key=strategies.sampled_from(('k1', 'k1', 'k2')),
        body=strategies.sampled_from(('a', 'a', 'a', 'b')),
        start_turn=strategies.integers(0, _LAST_START_TURN),
        pause_turns=turns,
        upstream=strategies.sampled_from(
            ('run', 'run', 'lose', 'lose_unread', 'refuse')
        ),
        leaves_after=some_turn,
    )
    call_faults = strategies.builds(
        CallFault,
        effect_delay=turns,
        lost_after=some_turn,
        is_refused=strategies.sampled_from((False, False, False, True)),
    )
    return strategies.builds(
        Schedule,
        requests=strategies.lists(requests, min_size=1, max_size=6).map(tuple),
        call_faults=strategies.lists(call_faults, max_size=12).map(tuple),
        crashes=strategies.tuples(some_turn, some_turn, some_turn),
    )


@dataclass(slots=True)
class DisabledGuards:
    """The guards that the entries lack in a test."""

    trusts_lost_answers: bool = False
    says_not_run: bool = False
    ignores_bodies: bool = False


@dataclass(slots=True)
class World:
    """One run of a schedule."""

    schedule: Schedule
    disabled_guards: DisabledGuards
    table: FakeTable = field(init=False)
    object_store: FakeObjectStore = field(default_factory=FakeObjectStore)
    # Bodies that the upstream ran, by key.
    runs_by_key: dict[str, list[str]] = field(default_factory=dict)
    run_requests: set[int] = field(default_factory=set)
    results: dict[int, StoredAnswer | Failure] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the table."""
        self.table = FakeTable(iter(self.schedule.call_faults))

    async def run(self) -> None:
        """Run all requests, then wait until no task or write is left."""
        entries = [self.create_entry(number) for number in range(ENTRIES)]
        with mock.patch.multiple(
            defaults, JOURNAL_RETRY_PAUSE_S=0, JOURNAL_MAX_RETRY_PAUSE_S=0
        ):
            crashes = [
                asyncio.ensure_future(_crash(entry, turn))
                for entry, turn in zip(
                    entries, self.schedule.crashes, strict=True
                )
            ]
            requests = [
                asyncio.ensure_future(
                    self._send_request(number, scheduled, entries)
                )
                for number, scheduled in enumerate(self.schedule.requests)
            ]
            await asyncio.gather(*crashes, *requests, return_exceptions=True)
            while any(entry.background.count for entry in entries):
                await asyncio.sleep(0)
            await asyncio.gather(*self.table.effects)

    def create_entry(self, number: int) -> WorldEntry:
        """Create an entry with a journal of its own."""
        background = BackgroundTasks()
        table: Table = self.table
        if self.disabled_guards.trusts_lost_answers:
            table = _TrustingTable(self.table)
        journal = create_table_journal(
            f'entry-{number}',
            table,
            self.object_store,
            JournalOptions(),
            background,
            AttemptIdGenerator(),
        )
        return WorldEntry(Guard(journal, background), background)

    def find_violations(self) -> set[str]:
        """Return the invariants that this run has violated."""
        violations = set()
        if any(len(runs) > 1 for runs in self.runs_by_key.values()):
            violations.add('runs at most once')
        for number, result in self.results.items():
            invariant = self._find_violation(number, result)
            if invariant:
                violations.add(invariant)
        return violations

    def _find_violation(
        self, number: int, result: StoredAnswer | Failure
    ) -> str:
        """Return the invariant that one result violates; empty if none."""
        scheduled = self.schedule.requests[number]
        if isinstance(result, Failure):
            is_false = result.ran is Ran.NO and number in self.run_requests
            return 'not run is true' if is_false else ''
        if scheduled.key not in self.runs_by_key:
            return 'no answer without a run'
        is_own = result.body.decode() == f'{scheduled.key} {scheduled.body}'
        return '' if is_own else 'same key, same answer'

    async def _send_request(
        self,
        number: int,
        scheduled: ScheduledRequest,
        entries: Sequence[WorldEntry],
    ) -> None:
        await _wait_turns(scheduled.start_turn)
        entry = entries[scheduled.entry]
        digest = (
            'any' if self.disabled_guards.ignores_bodies else scheduled.body
        )
        request = GuardedRequest(
            'account', scheduled.key, digest, time.monotonic() + _FAR_S
        )
        send = functools.partial(self._run_upstream, number, scheduled)
        task = asyncio.ensure_future(entry.run(request, send))
        if scheduled.leaves_after >= 0:
            await _wait_turns(scheduled.leaves_after)
            task.cancel()
        self.results[number] = await task

    async def _run_upstream(
        self, number: int, scheduled: ScheduledRequest
    ) -> StoredAnswer | Failure:
        await _wait_turns(scheduled.pause_turns)
        if scheduled.upstream == 'refuse':
            return Failure(Code.UPSTREAM_OVERLOADED, ran=Ran.NO)
        if scheduled.upstream != 'lose_unread':
            self.runs_by_key.setdefault(scheduled.key, []).append(
                scheduled.body
            )
            self.run_requests.add(number)
        if scheduled.upstream == 'run':
            body = f'{scheduled.key} {scheduled.body}'.encode()
            return StoredAnswer(200, (), body)
        lost = Failure(Code.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)
        return (
            replace(lost, ran=Ran.NO)
            if self.disabled_guards.says_not_run
            else lost
        )


@dataclass(slots=True)
class WorldEntry:
    """One entry of a run."""

    guard: Guard
    background: BackgroundTasks
    is_crashed: bool = False

    async def run(
        self, request: GuardedRequest, send: Send
    ) -> StoredAnswer | Failure:
        """Run a request; the caller of a crashed entry gets no answer."""
        if self.is_crashed:
            raise ConnectionError
        return await self.guard.run(request, send)


class _TrustingTable(Table):
    """Treats a lost answer as a success, as a faulty client would."""

    def __init__(self, table: FakeTable) -> None:
        """Wrap a table."""
        self._table = table

    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        """Read unchanged."""
        return await self._table.read(row_keys)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        """Scan unchanged."""
        return await self._table.scan(table, prefix, after, limit)

    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        """Report every failed write as a success."""
        outcome = await self._table.transact(writes)
        if isinstance(outcome, Failure):
            return Committed((1,) * len(writes))
        return outcome


async def _crash(entry: WorldEntry, turn: int) -> None:
    if turn < 0:
        return
    await _wait_turns(turn)
    entry.is_crashed = True
    entry.background.cancel_all()


async def _wait_turns(turns: int) -> None:
    for _ in range(turns):
        await asyncio.sleep(0)
