"""Entries that share a journal, an upstream that counts, and the check."""

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
from features.support.fake_table import Fate, FakeObjectStore, FakeTable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from damaskpoint.platform.base import Row, RowKey, Write

    Send = Callable[[], Awaitable[StoredAnswer | Failure]]

ENTRIES = 3
_FAR_S = 1_000.0
_MAX_TURNS = 12
_LAST_START = 60


@dataclass(frozen=True, slots=True)
class Ask:
    """One request of a caller; times in turns of the loop."""

    entry: int
    key: str
    body: str
    starts: int
    # How long the entry stands still between intent and send.
    frozen: int
    # What the upstream does: run, lose, lose_unread or refuse.
    upstream: str
    # When the caller leaves; -1 for never.
    leaves: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that happens in one run."""

    asks: tuple[Ask, ...]
    fates: tuple[Fate, ...]
    # Turn in which each entry dies; -1 for never.
    deaths: tuple[int, ...]


def schedules() -> strategies.SearchStrategy[Schedule]:
    """Return the schedules to draw from."""
    turns = strategies.integers(0, _MAX_TURNS)
    some_turn = strategies.one_of(strategies.just(-1), turns)
    asks = strategies.builds(
        Ask,
        entry=strategies.integers(0, ENTRIES - 1),
        key=strategies.sampled_from(('k1', 'k1', 'k2')),
        body=strategies.sampled_from(('a', 'a', 'a', 'b')),
        starts=strategies.integers(0, _LAST_START),
        frozen=turns,
        upstream=strategies.sampled_from(
            ('run', 'run', 'lose', 'lose_unread', 'refuse')
        ),
        leaves=some_turn,
    )
    fates = strategies.builds(
        Fate,
        before=turns,
        lost_after=some_turn,
        is_refused=strategies.sampled_from((False, False, False, True)),
    )
    return strategies.builds(
        Schedule,
        asks=strategies.lists(asks, min_size=1, max_size=6).map(tuple),
        fates=strategies.lists(fates, max_size=12).map(tuple),
        deaths=strategies.tuples(some_turn, some_turn, some_turn),
    )


@dataclass(slots=True)
class Wiring:
    """How the entries are made; a test may leave a guard out."""

    trusts_lost_answers: bool = False
    says_not_run: bool = False
    ignores_bodies: bool = False


@dataclass(slots=True)
class World:
    """One run of a schedule."""

    schedule: Schedule
    wiring: Wiring
    table: FakeTable = field(init=False)
    object_store: FakeObjectStore = field(default_factory=FakeObjectStore)
    # Bodies that the upstream ran, by key.
    runs_by_key: dict[str, list[str]] = field(default_factory=dict)
    ran_asks: set[int] = field(default_factory=set)
    results: dict[int, StoredAnswer | Failure] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Make the table."""
        self.table = FakeTable(iter(self.schedule.fates))

    async def run(self) -> None:
        """Run all requests, then let everything come to rest."""
        entries = [self.create_entry(number) for number in range(ENTRIES)]
        with mock.patch.multiple(
            defaults, JOURNAL_PAUSE_S=0, JOURNAL_MAX_PAUSE_S=0
        ):
            deaths = [
                asyncio.ensure_future(_die(entry, turn))
                for entry, turn in zip(
                    entries, self.schedule.deaths, strict=True
                )
            ]
            asks = [
                asyncio.ensure_future(self._ask(number, ask, entries))
                for number, ask in enumerate(self.schedule.asks)
            ]
            await asyncio.gather(*deaths, *asks, return_exceptions=True)
            while any(entry.background.count for entry in entries):
                await asyncio.sleep(0)
            await asyncio.gather(*self.table.effects)

    def create_entry(self, number: int) -> WorldEntry:
        """Return an entry with a journal of its own."""
        background = BackgroundTasks()
        table: Table = self.table
        if self.wiring.trusts_lost_answers:
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
        """Return the promises that this run has broken."""
        broken = set()
        if any(len(runs) > 1 for runs in self.runs_by_key.values()):
            broken.add('runs at most once')
        for number, result in self.results.items():
            promise = self._judge(number, result)
            if promise:
                broken.add(promise)
        return broken

    def _judge(self, number: int, result: StoredAnswer | Failure) -> str:
        """Return the promise that one final answer breaks, or nothing."""
        ask = self.schedule.asks[number]
        if isinstance(result, Failure):
            is_lie = result.ran is Ran.NO and number in self.ran_asks
            return 'not run is true' if is_lie else ''
        if ask.key not in self.runs_by_key:
            return 'no answer without a run'
        is_own = result.body.decode() == f'{ask.key} {ask.body}'
        return '' if is_own else 'same key, same answer'

    async def _ask(
        self, number: int, ask: Ask, entries: Sequence[WorldEntry]
    ) -> None:
        await _wait_turns(ask.starts)
        entry = entries[ask.entry]
        digest = 'any' if self.wiring.ignores_bodies else ask.body
        request = GuardedRequest(
            'account', ask.key, digest, time.monotonic() + _FAR_S
        )
        send = functools.partial(self._run_upstream, number, ask)
        work = asyncio.ensure_future(entry.run(request, send))
        if ask.leaves >= 0:
            await _wait_turns(ask.leaves)
            work.cancel()
        self.results[number] = await work

    async def _run_upstream(
        self, number: int, ask: Ask
    ) -> StoredAnswer | Failure:
        await _wait_turns(ask.frozen)
        if ask.upstream == 'refuse':
            return Failure(Code.UPSTREAM_OVERLOADED, ran=Ran.NO)
        if ask.upstream != 'lose_unread':
            self.runs_by_key.setdefault(ask.key, []).append(ask.body)
            self.ran_asks.add(number)
        if ask.upstream == 'run':
            body = f'{ask.key} {ask.body}'.encode()
            return StoredAnswer(200, (), body)
        lost = Failure(Code.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)
        return replace(lost, ran=Ran.NO) if self.wiring.says_not_run else lost


@dataclass(slots=True)
class WorldEntry:
    """One entry of a run."""

    guard: Guard
    background: BackgroundTasks
    is_dead: bool = False

    async def run(
        self, request: GuardedRequest, send: Send
    ) -> StoredAnswer | Failure:
        """Run a request; a dead entry's caller gets no answer."""
        if self.is_dead:
            raise ConnectionError
        return await self.guard.run(request, send)


class _TrustingTable(Table):
    """Takes a lost answer for a success: what a careless client does."""

    def __init__(self, table: FakeTable) -> None:
        """Stand before a table."""
        self._table = table

    async def read(
        self, row_keys: Sequence[RowKey]
    ) -> tuple[Row | None, ...] | Failure:
        """Read as ever."""
        return await self._table.read(row_keys)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...] | Failure:
        """Scan as ever."""
        return await self._table.scan(table, prefix, after, limit)

    async def transact(
        self, writes: Sequence[Write]
    ) -> Committed | Conflicted | Failure:
        """Call every lost write a success."""
        outcome = await self._table.transact(writes)
        if isinstance(outcome, Failure):
            return Committed((1,) * len(writes))
        return outcome


async def _die(entry: WorldEntry, turn: int) -> None:
    if turn < 0:
        return
    await _wait_turns(turn)
    entry.is_dead = True
    entry.background.cancel_all()


async def _wait_turns(turns: int) -> None:
    for _ in range(turns):
        await asyncio.sleep(0)
