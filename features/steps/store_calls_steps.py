"""Steps that count the calls of a gateway to the store."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final
from unittest import mock

from behave import given, then, when

from damaskpoint.catalog.watch_schedule import WatchSchedule
from features.support.gateway_site import run, until
from standins.runner import RunnerState

# Time for the first reads of a gateway, the last of its peers at 2.5 s.
_SETTLE_S: Final = 8.0


@when('the entries of {count:d} runners change within {seconds:g} s')
def change_entries(context: Any, count: int, seconds: float) -> None:
    """Register runners one after the other; wait until all are known."""

    async def change() -> None:
        site = context.site
        await asyncio.sleep(_SETTLE_S)
        context.calls = site.store.calls
        context.names = [f'plain-9{number}' for number in range(count)]
        for name in context.names:
            site.start_runner(RunnerState(name), 'plain')
            await asyncio.sleep(seconds / count)
        runners = site.gateway.catalog.runners
        await until(lambda: runners.find(context.names[-1]) is not None)

    run(context, change())


@then('the gateway knows all of them after at most {most:d} calls')
def check_known(context: Any, most: int) -> None:
    """Check each runner, and the calls since the first change."""
    runners = context.site.gateway.catalog.runners
    for name in context.names:
        assert runners.find(name) is not None, name
    calls = context.site.store.calls - context.calls
    assert calls <= most, calls


@when('the gateway has settled, and nothing changes for {seconds:g} s')
def wait_unchanged(context: Any, seconds: float) -> None:
    """Count the calls of a quiet time."""

    async def wait() -> None:
        store = context.site.store
        await asyncio.sleep(_SETTLE_S)
        context.calls = store.calls
        await asyncio.sleep(seconds)
        context.made = store.calls - context.calls

    run(context, wait())


@then('it made no call in that time')
def check_no_call(context: Any) -> None:
    """Compare the count."""
    check_few_calls(context, 0)


@then('it made at most {most:d} calls in that time')
def check_few_calls(context: Any, most: int) -> None:
    """Compare the count."""
    assert context.made <= most, context.made


@when(
    'the gateway has settled, and the store refuses all calls for {seconds:g} s'
)
def refuse_calls(context: Any, seconds: float) -> None:
    """Count the calls during an outage."""

    async def wait() -> None:
        store = context.site.store
        await asyncio.sleep(_SETTLE_S)
        store.error_status = 503
        store.discard_changes()
        calls = store.calls
        await asyncio.sleep(seconds)
        context.made = store.calls - calls
        store.error_status = 0

    run(context, wait())


@given('pauses between failed calls that are as long as they can be')
def lengthen_pauses(context: Any) -> None:
    """Draw the upper end of each random pause."""
    patcher = mock.patch(
        'damaskpoint.catalog.watch_schedule.random.uniform',
        lambda _, most: most,
    )
    patcher.start()
    context.closers.append(patcher.stop)


@then('it knows a new runner within {seconds:g} s')
def check_new_runner(context: Any, seconds: float) -> None:
    """Register a runner and wait until the gateway knows it."""
    site = context.site
    site.start_runner(RunnerState('plain-9'), 'plain')
    runners = site.gateway.catalog.runners
    began_at = time.monotonic()
    run(context, until(lambda: runners.find('plain-9') is not None))
    took_s = time.monotonic() - began_at
    assert took_s <= seconds, took_s


@when(
    'a table changes for {seconds:g} s without a break, followed by'
    ' {instances:d} instances'
)
def change_without_break(context: Any, seconds: float, instances: int) -> None:
    """Count the calls of one instance if each call has changes at once."""
    schedule = WatchSchedule()
    elapsed_s = float(0)
    context.made = 0
    while elapsed_s < seconds:
        context.made += 1
        schedule.record_answer(True, instances)
        elapsed_s += schedule.pause_s


@then('each makes at most {most:d} calls')
def check_calls_of_each(context: Any, most: int) -> None:
    """Compare the count."""
    assert context.made <= most, context.made
