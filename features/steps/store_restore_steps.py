"""Steps for a store that is restored from a copy."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final
from unittest import mock

from behave import given, then, when
from tornado import httpserver, netutil, web

from damaskpoint.catalog.follower import OperatorSink, RunnerSink
from damaskpoint.catalog.start_memory import StartMemory
from damaskpoint.errors import Failure
from damaskpoint.platform.store import Rows, create_store
from features.support.gateway_site import HOST, run
from features.support.restored_store import DirectStore, RestoredStoreTrial
from standins.row_store import StoreCopy
from standins.runner import RunnerState

if TYPE_CHECKING:
    from collections.abc import Iterator

_POLL_S: Final = 0.05


class _EraHandler(web.RequestHandler):
    """Serves an empty table with one era after the other."""

    def initialize(self, eras: Iterator[int]) -> None:
        """Take the eras of the answers in order."""
        self._eras = eras

    def get(self) -> None:
        """Answer with the next era."""
        self.set_header('Store-Era', str(next(self._eras)))
        self.finish({'Rows': [], 'Ver': 1, 'NowMs': 1})


def _patch(context: Any, target: object, name: str, value: object) -> None:
    patcher = mock.patch.object(target, name, value)
    patcher.start()
    context.closers.append(patcher.stop)


@given('followers without the era of answers')
def ignore_era(context: Any) -> None:
    """Make the store's answers hide their era."""
    _patch(context, DirectStore, 'has_era', False)


@given('followers without the time to write rows again')
def ignore_grace(context: Any) -> None:
    """Apply a restored table like any other."""
    _patch(context, OperatorSink, 'restore', OperatorSink.replace)
    _patch(context, RunnerSink, 'restore', RunnerSink.replace)


@given('followers without the memory of runners that leave')
def forget_leaving(context: Any) -> None:
    """Forget starts at once."""
    _patch(context, StartMemory, 'covers', lambda *_: False)


@when('{count:d} seeded histories with restores are played')
def play(context: Any, count: int) -> None:
    """Play one history for each seed."""
    context.violations_by_seed = {}
    for seed in range(count):
        violations = RestoredStoreTrial(seed).run()
        if violations:
            context.violations_by_seed[seed] = violations


@then('no history violates a promise')
def check_none(context: Any) -> None:
    """Show the first violations."""
    shown = list(context.violations_by_seed.items())[:3]
    assert not shown, shown


@then('some history violates a promise')
def check_some(context: Any) -> None:
    """Check that the histories would show the fault."""
    assert context.violations_by_seed


@given('a copy of the store')
def take_copy(context: Any) -> None:
    """Keep a copy of the present content."""
    context.copy = context.site.store.copy()


@given('a copy of the store without its row')
def take_copy_without_row(context: Any) -> None:
    """Wait for the gateway's row; keep a copy without it."""
    store = context.site.store

    async def wait() -> None:
        while not store.read('peers'):
            await asyncio.sleep(_POLL_S)

    run(context, wait())
    copied = store.copy()
    rows = {key: row for key, row in copied.rows.items() if key[0] != 'peers'}
    context.copy = StoreCopy(copied.version - 1, rows)


@given('a configuration with another key is applied')
def apply_other_key(context: Any) -> None:
    """Apply a configuration whose account has another key."""
    context.execute_steps('When a configuration with another key is applied')


@given('{count:d} further versions of the store')
def write_versions(context: Any, count: int) -> None:
    """Write rows of another table."""
    for number in range(count):
        context.site.store.put('other', f'key-{number}', {})
    run(context, asyncio.sleep(_POLL_S))


@when('the store is restored from its copy')
def restore(context: Any) -> None:
    """Restore the store; wait until the gateway has read it again."""
    store = context.site.store
    store.restore(context.copy)
    calls = store.calls

    async def wait() -> None:
        while store.calls < calls + 4:
            await asyncio.sleep(_POLL_S)

    run(context, asyncio.wait_for(wait(), 5))


@when(
    'the store is restored from its copy, with {count:d} versions assigned again'
)
def restore_and_write(context: Any, count: int) -> None:
    """Restore and write in one step, before a watch can answer."""
    store = context.site.store
    store.restore(context.copy)
    site = context.site
    site.start_runner(RunnerState('plain-2'), 'plain')
    for number in range(count - 1):
        store.put('other', f'again-{number}', {})


@when('the runner "{name}" is registered within the first of them')
def check_registered(context: Any, name: str) -> None:
    """Check that the previous step registered it."""
    assert context.site.store.read('servers', name, f'{name}~')


@then('the row of the gateway is in the store within {seconds:g} s')
def check_row(context: Any, seconds: float) -> None:
    """Wait until the gateway has written its row again."""
    store = context.site.store

    async def wait() -> None:
        while not store.read('peers'):
            await asyncio.sleep(_POLL_S)

    began_at = time.monotonic()
    run(context, asyncio.wait_for(wait(), seconds))
    assert time.monotonic() - began_at <= seconds


@given(
    'a store of era {era:d} whose first answer is of era {first:d} and later'
    ' ones of era {later:d}'
)
def start_store_of_eras(context: Any, era: int, first: int, later: int) -> None:
    """Serve an empty table with one era after the other."""
    eras = iter((first, later, era))
    server = httpserver.HTTPServer(
        web.Application(
            [('/.*', _EraHandler, {'eras': eras})],
            log_function=lambda _: None,
        )
    )
    sockets = netutil.bind_sockets(0, HOST)
    server.add_sockets(sockets)
    context.closers.append(server.stop)
    port = sockets[0].getsockname()[1]
    context.store = create_store(f'http://{HOST}:{port}', 1)


@then('a second read of a table fails and a third of era {era:d} succeeds')
def check_reads(context: Any, era: int) -> None:
    """Read three times."""
    reads = [run(context, context.store.read_table('op')) for _ in range(3)]
    assert isinstance(reads[0], Rows)
    assert isinstance(reads[1], Failure), reads[1]
    assert isinstance(reads[2], Rows), reads[2]
    assert reads[2].era == era
