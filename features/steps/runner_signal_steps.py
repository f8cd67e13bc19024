"""Steps for announced exits of runners and the pauses that they ask for."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

from behave import given, then, when

from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.catalog.model import Runner
from features.support.gateway_site import find_free_port, run, until

_STARTED_MS: Final = 1_700_000_000_000
_NONE: Final = 'none'


@given('the runner "{name}" announces its exit')
def announce_exit(context: Any, name: str) -> None:
    """Give the runner a start time and let it announce its exit."""
    site = context.site
    service = name.partition('-')[0]
    site.register(name, service, born=_STARTED_MS)
    runners = site.gateway.catalog.runners
    run(
        context,
        until(lambda: runners.find(name).started_ms == _STARTED_MS),
    )
    site.runners_by_name[name].is_leaving = True


@when('the entry of "{name}" is written again with the same start')
def write_again(context: Any, name: str) -> None:
    """Write the entry with another version of the software."""
    site = context.site
    site.register(name, name.partition('-')[0], born=_STARTED_MS, Version='v2')
    run(context, asyncio.sleep(0.1))


@when('the runner "{name}" starts again')
def start_again(context: Any, name: str) -> None:
    """Write the entry of a later start."""
    site = context.site
    site.runners_by_name[name].is_leaving = False
    site.register(name, name.partition('-')[0], born=_STARTED_MS + 1)


@then('the gateway uses the runner "{name}"')
def check_used(context: Any, name: str) -> None:
    """Wait until requests may go to the runner."""
    runners = context.site.gateway.catalog.runners
    run(context, until(lambda: runners.find(name) is not None))


@then('the runner "{name}" received at most {most:d} calls')
def check_calls(context: Any, name: str, most: int) -> None:
    """Compare the number of all its calls, refused ones included."""
    calls = context.site.runners_by_name[name].calls
    assert calls <= most, calls


@given('a second gateway that knows all runners')
def start_second(context: Any) -> None:
    """Start a gateway with the same store; wait until both are peers."""

    async def start() -> None:
        site = context.site
        second = site.create_peer('g-2', find_free_port(), find_free_port())
        context.second = second
        running = asyncio.ensure_future(second.run())
        context.closers.append(running.cancel)
        known = len(site.runners_by_name)
        await until(lambda: len(second.catalog.runners) == known)
        # Peers find each other in the store.
        await until(
            lambda: second.has_live_peers and site.gateway.has_live_peers
        )

    run(context, start())


@then('the second gateway no longer uses "{name}" within {seconds:g} s')
def check_told(context: Any, name: str, seconds: float) -> None:
    """Wait for the mark of the first gateway."""
    began_at = time.monotonic()
    runners = context.second.catalog.runners
    run(context, until(lambda: runners.find(name) is None))
    assert time.monotonic() - began_at <= seconds


@given('the runner "{name}" is full and asks for a pause of {pause:g} s')
def ask_for_pause(context: Any, name: str, pause: float) -> None:
    """Make the runner refuse with a Retry-After header."""
    state = context.site.runners_by_name[name]
    state.is_full = True
    state.pause_s = pause


@when('the runner "{name}" is no longer full, {pause:g} s later')
def end_pause(context: Any, name: str, pause: float) -> None:
    """Wait for the end of the pause."""
    context.site.runners_by_name[name].is_full = False
    run(context, asyncio.sleep(pause))


@then('each answer asks the caller to come back within {pause:g} s')
def check_retry_after(context: Any, pause: float) -> None:
    """Check the Retry-After headers against the end of the pause."""
    for answer in context.answers:
        retry_after_s = float(answer.headers['Retry-After'])
        assert 0 < retry_after_s <= pause, retry_after_s


@given('the pauses {pauses} of runners a, b and c at 0')
def record_pauses(context: Any, pauses: str) -> None:
    """Record a pause of each runner; a dash stands for none."""
    context.health = RunnerHealth()
    for name, pause in zip('abc', pauses.split(), strict=True):
        if pause != '-':
            context.health.record_pause(name, float(pause), 0)


@then('at {now:g} the first pause ends in {left} s, and {usable} may be called')
def check_pauses(context: Any, now: float, left: str, usable: str) -> None:
    """Compare the earliest end and the runners that are left."""
    runners = [Runner(name, 's', 'h', 1, 'z', 1, False, 0) for name in 'abc']
    left_s = context.health.pause_left_s(runners, now)
    shown = _NONE if left_s is None else f'{left_s:g}'
    assert shown == left, left_s
    chosen = context.health.select_retryable(runners, now)
    assert ' '.join(runner.name for runner in chosen) == usable.strip('-')
