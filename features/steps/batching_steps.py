"""Steps for the batching instances of a group of runners."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from damaskpoint.balancing import rendezvous
from damaskpoint.membership.facts import Phase
from features.support.batching_fleet import BatchingFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable

_GROUP: Final = 'stage#0'
_STARTED: Final = 'started'
# Pieces per second that machines can batch.
_LARGE_RATE: Final = 10_000
_SMALL_RATE: Final = 2_000
# Time after which an instance selects the machines again (seconds).
_SELECTED_AFTER_S: Final = 1.0
# Time after its start at which an instance has heard of the others (seconds).
_HEARD_AFTER_S: Final = 0.3


def _run(context: Any, work: Awaitable[Any]) -> Any:
    return context.loop.run_until_complete(work)


@given('{instances:d} instances that batch for {runners:d} runner')
@given('{instances:d} instances that batch for {runners:d} runners')
@given('{instances:d} instance that batches for {runners:d} runner')
def create_fleet(context: Any, instances: int, runners: int) -> None:
    """Create a fleet in which all know each other."""
    context.fleet = BatchingFleet(instances, runners)
    context.outcomes = []
    context.subject = 'i-0'


@given(
    '{instances:d} instances that batch for {runners:d} runners, of which'
    ' {large:d} have large machines'
)
def create_uneven_fleet(
    context: Any, instances: int, runners: int, large: int
) -> None:
    """Create a fleet; machines of its first instances are large."""
    create_fleet(context, instances, runners)
    context.large = frozenset(tuple(context.fleet.by_name)[:large])
    for name, instance in context.fleet.by_name.items():
        is_large = name in context.large
        instance.batch_rate = _LARGE_RATE if is_large else _SMALL_RATE


@when('the large machines are lost')
def lose_large(context: Any) -> None:
    """Let the others hear of their loss."""
    for instance in context.fleet.by_name.values():
        instance.known -= context.large


@then(
    'each {who} chooses a {size} one for each of {count:d} groups, and all'
    ' the same'
)
def check_chosen(context: Any, who: str, size: str, count: int) -> None:
    """Compare the choices of all instances, or of all but the large ones."""
    asked = set(context.fleet.by_name)
    if who == 'other instance':
        asked -= context.large
    for number in range(count):
        group = f'stage#{number}'
        pools = [context.fleet.by_name[name].pool for name in asked]
        now = time.monotonic() + _SELECTED_AFTER_S
        chosen = {pool.find_batcher(group, now) for pool in pools}
        assert len(chosen) == 1, chosen
        assert (chosen <= context.large) == (size == 'large'), chosen


@when('an instance starts that has heard of nobody')
def start_instance(context: Any) -> None:
    """Start an instance that knows only the platform's list."""
    context.fleet.start(_STARTED)
    context.subject = _STARTED


@when('the batching instance of the group {group} begins its shutdown')
def begin_shutdown(context: Any, group: str) -> None:
    """Let the batching instance leave."""
    context.subject = context.fleet.find_batcher(group)
    context.fleet.leave(context.subject)


@when('it orders {count:d} pieces of the group {group}')
def order(context: Any, count: int, group: str) -> None:
    """Order as the subject, and wait for the outcomes."""
    context.outcomes.extend(
        _run(context, context.fleet.order(context.subject, group, count))
    )


@when('all instances order {count:d} pieces of the group {group}')
def order_everywhere(context: Any, count: int, group: str) -> None:
    """Order as each instance, without waiting."""
    fleet = context.fleet
    context.subject = fleet.find_batcher(group)
    context.orders = {
        name: context.loop.create_task(fleet.order(name, group, count))
        for name in fleet.by_name
    }


@when('its batching instance begins its shutdown after {after_s:g} s')
def leave_later(context: Any, after_s: float) -> None:
    """Let the batching instance leave while pieces wait."""
    _run(context, asyncio.sleep(after_s))
    context.fleet.leave(context.subject)
    _collect(context)


@when('its batching instance is killed after {after_s:g} s')
def kill_later(context: Any, after_s: float) -> None:
    """Kill the batching instance while pieces wait."""
    _run(context, asyncio.sleep(after_s))
    context.fleet.kill(context.subject)
    context.orders.pop(context.subject).cancel()
    _collect(context)


def _collect(context: Any) -> None:
    gathered = _run(context, _gather(context.orders.values()))
    for outcomes in gathered:
        context.outcomes.extend(outcomes)


async def _gather(orders: Any) -> Any:
    return await asyncio.gather(*orders)


@when(
    'the batching instance of the group {group} answers no order and is {state}'
)
def freeze(context: Any, group: str, state: str) -> None:
    """Let it answer nothing; its heartbeats may still arrive."""
    fleet = context.fleet
    context.subject = fleet.find_batcher(group)
    instance = fleet.by_name[context.subject]
    instance.is_frozen = True
    instance.is_heard = state == 'heard'


@when(
    'another instance orders {count:d} pieces for {first_s:g} s, and then'
    ' {more:d} more for {then_s:g} s'
)
def order_twice(
    context: Any, count: int, first_s: float, more: int, then_s: float
) -> None:
    """Order from an instance that is not the batching one."""
    fleet = context.fleet
    name = next(name for name in fleet.by_name if name != context.subject)
    _run(context, fleet.order(name, _GROUP, count, first_s))
    orders_before = fleet.by_name[context.subject].orders
    context.outcomes = _run(context, fleet.order(name, _GROUP, more, then_s))
    instance = fleet.by_name[context.subject]
    context.is_ordered_again = instance.orders > orders_before


@then('the later pieces are {outcome}')
def check_later(context: Any, outcome: str) -> None:
    """Compare where the later order went, and that it was made."""
    assert context.is_ordered_again == (outcome == 'ordered there again')
    if context.is_ordered_again:
        return
    check_made(context)
    assert len(set(context.fleet.callers)) == 1, context.fleet.callers


@when('others occupy the runner with {count:d} calls')
def occupy(context: Any, count: int) -> None:
    """Start calls of instances that are not in the fleet."""
    runner = context.fleet.runners_by_name['r-0']
    context.others = [
        context.loop.create_task(runner.run('other', 1)) for _ in range(count)
    ]
    _run(context, asyncio.sleep(0))


@when(
    'each is stopped and started in turn, one each {step_s:g} s, with shutdowns'
    ' of {shutdown_s:g} s'
)
def restart_in_turn(context: Any, step_s: float, shutdown_s: float) -> None:
    """Let all order all the time while one after the other restarts."""
    _run(context, _restart_in_turn(context, step_s, shutdown_s))


async def _restart_in_turn(
    context: Any, step_s: float, shutdown_s: float
) -> None:
    """Restart in order of rank: each one that leaves ranks before the rest."""
    fleet = context.fleet
    load = [
        asyncio.ensure_future(_order_repeatedly(context, name))
        for name in fleet.by_name
    ]
    restarts = []
    for name in rendezvous.order(fleet.by_name, _GROUP):
        restarts.append(
            asyncio.ensure_future(_restart(fleet, name, shutdown_s))
        )
        await asyncio.sleep(step_s)
    await asyncio.gather(*restarts)
    for task in load:
        task.cancel()
    await asyncio.gather(*load, return_exceptions=True)


async def _restart(fleet: Any, name: str, shutdown_s: float) -> None:
    """Stop an instance, start it, and let it hear of the others."""
    fleet.leave(name)
    await asyncio.sleep(shutdown_s)
    instance = fleet.by_name[name]
    instance.phase = Phase.STARTING
    instance.known = set()
    await asyncio.sleep(_HEARD_AFTER_S)
    instance.known = set(fleet.by_name) - {name}
    instance.phase = Phase.SERVING


async def _order_repeatedly(context: Any, name: str) -> None:
    """Order one piece after the other."""
    while True:
        outcomes = await context.fleet.order(name, _GROUP, 1)
        context.outcomes.extend(outcomes)
        await asyncio.sleep(0.02)


@when(
    'all start together, order {count:d} pieces each and hear of each other'
    ' after {heard:g} s'
)
def start_together(context: Any, count: int, heard: float) -> None:
    """Order while no instance knows another, until all orders have ended."""
    _run(context, _start_together(context, count, heard))


async def _start_together(context: Any, count: int, heard_s: float) -> None:
    by_name = context.fleet.by_name
    for instance in by_name.values():
        instance.phase = Phase.STARTING
        instance.known = set()
    orders = [
        asyncio.ensure_future(context.fleet.order(name, _GROUP, count))
        for name in by_name
    ]
    await asyncio.sleep(heard_s)
    for name, instance in by_name.items():
        instance.known = set(by_name) - {name}
        instance.phase = Phase.SERVING
    context.heard_at = time.monotonic()
    for instance in by_name.values():
        instance.pool.hand_back(context.heard_at)
    for outcomes in await asyncio.gather(*orders):
        context.outcomes.extend(outcomes)


@then(
    'from {after:g} s after they have heard of each other {count:d} instance'
    ' calls runners'
)
def check_later_callers(context: Any, after: float, count: int) -> None:
    """Show the instances of the calls from then on."""
    found = set()
    for runner in context.fleet.runners_by_name.values():
        for instance, called_at in runner.calls:
            if called_at > context.heard_at + after:
                found.add(instance)
    assert len(found) == count, found


@then('all pieces are made')
@then('all pieces of the others are made')
def check_made(context: Any) -> None:
    """Show the outcomes without a handle."""
    assert context.outcomes
    missing = [item for item in context.outcomes if item.handle is None]
    assert not missing, missing


@then('it has called no runner itself')
def check_not_called(context: Any) -> None:
    """Show which instances called."""
    assert context.subject not in context.fleet.callers, context.fleet.callers


@then('the leaving instance has called a runner once')
def check_called_once(context: Any) -> None:
    """Show which instances called; its call in flight is the one."""
    calls = context.fleet.callers.count(context.subject)
    assert calls == 1, context.fleet.callers


@then('{count:d} other instance has called runners')
def check_callers(context: Any, count: int) -> None:
    """Show which instances called."""
    others = set(context.fleet.callers) - {context.subject}
    assert len(others) == count, context.fleet.callers


@then('at most {count:d} calls were refused')
def check_refused(context: Any, count: int) -> None:
    """Show how many were refused."""
    assert len(context.fleet.refused) <= count, len(context.fleet.refused)


@then('at most {percent:g} percent of the calls were refused')
def check_refused_share(context: Any, percent: float) -> None:
    """Show how many were refused."""
    refused = len(context.fleet.refused)
    calls = refused + len(context.fleet.callers)
    assert refused <= calls * percent / 100, (refused, calls)
