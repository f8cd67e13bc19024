"""Steps on rollouts in virtual time."""

from __future__ import annotations

import logging
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any, Final

from behave import given, then, when

from damaskpoint.platform import names
from damaskpoint.rollout.exposure import Exposure
from features.support.good_rollouts import play_good
from features.support.rollout_fleet import (
    ORDERED_AT,
    RolloutWorld,
    find_excess,
    find_rollback_s,
)
from features.support.rollout_instance import BOUNDS
from features.support.rollout_parts import NEW, SERVICE, VersionFault

_PROCESSES: Final = 3


@given(
    '{count:d} instances, {per_s:g} requests a second and'
    ' {duration_s:g} s for the rollout'
)
def set_size(context: Any, count: int, per_s: float, duration_s: float) -> None:
    """Remember the size of the worlds."""
    context.options = {
        'count': count,
        'per_s': per_s,
        'duration_s': duration_s,
        'old_runners': 12,
    }
    context.prepare = lambda world: None


@given('a version of which {share:g} of the responses {how}')
def set_fault(context: Any, share: float, how: str) -> None:
    """Make the new version bad."""
    context.options['fault'] = VersionFault(share, how)


@given('it is bad {period}')
def set_fault_time(context: Any, period: str) -> None:
    """Set when the new version is bad."""
    fault = context.options['fault']
    if period.startswith('from'):
        fault.from_s = float(period.split()[1])
    elif period.startswith('on the route'):
        fault.route = period.split()[-1]
    elif period == 'under load':
        fault.load = 3


@given('instances that cannot see each other')
def separate_all(context: Any) -> None:
    """Let no gossip arrive."""
    context.options['sees'] = lambda *_: False


@given('instances that see half of the others')
def separate_halves(context: Any) -> None:
    """Let gossip arrive within two halves."""
    context.options['sees'] = lambda sender, receiver, now: (
        sender % 2 == receiver % 2
    )


@given('instances that are killed in turn')
def kill_in_turn(context: Any) -> None:
    """Restart an instance every 0.7 s."""

    def prepare(world: RolloutWorld) -> None:
        for turn in range(25):
            number = turn % world.count
            restart = partial(world.restart, number)
            world.at(ORDERED_AT + 0.7 * turn, restart)

    context.prepare = prepare


@given('instances that freeze for a while')
def freeze(context: Any) -> None:
    """Freeze each instance for 3 s at some time."""

    def prepare(world: RolloutWorld) -> None:
        for number in range(world.count):
            stop = partial(_freeze_one, world, number)
            world.at(ORDERED_AT + 1 + 1.5 * number, stop)

    context.prepare = prepare


def _freeze_one(world: RolloutWorld, number: int) -> None:
    world.instances[number].frozen_until = world.now + 3


@given('a store that is away from {start:g} to {end:g} s')
def remove_store(context: Any, start: float, end: float) -> None:
    """Let no call reach the store for a while."""
    context.options['reaches_store'] = lambda number, now: (
        not start <= now < end
    )


@given('half of the instances without a store')
def halve_store(context: Any) -> None:
    """Let half of the instances lose the store soon after the order."""
    context.options['reaches_store'] = lambda number, now: (
        number % 2 == 0 or now < ORDERED_AT + 2
    )


@given('new runners that appear after {seconds:g} s')
def delay_runners(context: Any, seconds: float) -> None:
    """Let the new runners appear late."""
    context.options['new_from_s'] = seconds


@when('{count:d} seeded rollouts are played')
def play(context: Any, count: int) -> None:
    """Play to the end."""
    logging.disable(logging.CRITICAL)
    context.closers.append(lambda: logging.disable(logging.NOTSET))
    context.worlds = []
    for seed in range(count):
        world = RolloutWorld(seed, **context.options)
        context.prepare(world)
        world.run()
        context.worlds.append(world)


@when('a rollout is played until {seconds:g} s')
def play_until(context: Any, seconds: float) -> None:
    """Play a part of a rollout."""
    logging.disable(logging.CRITICAL)
    context.closers.append(lambda: logging.disable(logging.NOTSET))
    context.world = RolloutWorld(1, **context.options)
    context.worlds = [context.world]
    context.world.run(seconds)


@when('the store is restored at {seconds:g} s to its copy of 5 s')
def restore_store(context: Any, seconds: float) -> None:
    """Restore a copy made now; the operator writes its order again."""
    world = context.world
    rows = dict(world.store.rows)
    assert world.state == 'running', world.state
    world.run(seconds)
    assert world.state == 'rolled_back', world.state
    world.store.restore(rows)
    world.run(seconds + 1)
    world.order()
    world.run()


@when('the order is removed and {seconds:g} s pass')
def withdraw(context: Any, seconds: float) -> None:
    """Remove the row of the order."""
    world = context.world
    key = f'{names.KEY_PREFIX_ROLLOUT}{SERVICE}'
    world.store.rows.pop((names.TABLE_OPERATOR, key))
    world.store.version += 1
    world.run(world.now + seconds)


@when(
    '{count:d} seeded good rollouts are played under bursts, crashes and'
    ' slow zones'
)
def play_all_good(context: Any, count: int) -> None:
    """Play them in some processes, as they take minutes of CPU time."""
    with ProcessPoolExecutor(_PROCESSES) as executor:
        context.ends = list(executor.map(play_good, range(count), chunksize=10))
    context.worlds = []


@then('all of them are {state}')
def check_state(context: Any, state: str) -> None:
    """Check what the platform reads."""
    state = state.replace(' ', '_')
    for world in context.worlds:
        assert world.state == state, (world.seed, world.state)
    for seed, ended, _ in getattr(context, 'ends', ()):
        assert ended == state, (seed, ended)


@then('no request that must not be repeated is cut')
def check_cut(context: Any) -> None:
    """Check the requests at old runners at the end."""
    for seed, _, cut in context.ends:
        assert not cut, (seed, cut)


@then('no rollout exceeds the exposure')
def check_exposure(context: Any) -> None:
    """Check the requests at the new version."""
    for world in context.worlds:
        assert world.sent_new_at, world.seed
        excess = find_excess(world)
        assert excess <= 0, (world.seed, excess)


@then('requests end {seconds:g} s after the 50th bad response')
def check_rollback(context: Any, seconds: float) -> None:
    """Check when the last request was sent to the new version."""
    for world in context.worlds:
        late_s = find_rollback_s(world)
        assert late_s <= seconds, (world.seed, late_s)


@then('the new version got no request')
def check_unused(context: Any) -> None:
    """Check that nothing was sent."""
    for world in context.worlds:
        assert not world.sent_new_at, world.seed


@when('{count:d} instances take all their starting credit on {routes:d} routes')
def take_start(context: Any, count: int, routes: int) -> None:
    """Take canaries until there is no credit."""
    context.taken = _take_all(count, routes, count)


@when(
    '{count:d} instances that start late take all their starting credit on'
    ' {routes:d} routes'
)
def take_late_start(context: Any, count: int, routes: int) -> None:
    """Take canaries as a process that finds the rollout begun."""
    context.taken = _take_all(count, routes, None)


def _take_all(count: int, routes: int, known: int | None) -> float:
    taken = float(0)
    for number in range(count):
        exposure = Exposure(f'i-{number}', BOUNDS)
        exposure.begin(SERVICE, 1, known, routes)
        requests = 0
        for request in range(2000):
            route = f'route-{request % routes}'
            exposure.add(SERVICE, route, 1)
            requests += 1
            taken += int(exposure.take(SERVICE, route))
        taken -= requests * exposure.share
    return taken


@then('they have sent at most {count:g} canaries')
def check_taken(context: Any, count: float) -> None:
    """Check the canaries beside the share of the requests."""
    assert context.taken <= count, context.taken


@then('no instance selects a new runner for {count:d} retries')
def check_retries(context: Any, count: int) -> None:
    """Select for retries."""
    assert not _count_new(context.world, count, is_retry=True)


@then('some instance selects a new runner for {count:d} first requests')
def check_first(context: Any, count: int) -> None:
    """Select for first sends."""
    assert _count_new(context.world, count, is_retry=False)


def _count_new(world: RolloutWorld, count: int, *, is_retry: bool) -> int:
    found = 0
    for number in range(count):
        instance = world.instances[number % world.count]
        selected = instance.gate.select(
            SERVICE, 'quick', world.list_usable(), world.now, is_retry=is_retry
        )
        found += any(runner.version == NEW for runner in selected)
    return found


@then('the last request to the new version was sent before {seconds:g} s')
def check_last(context: Any, seconds: float) -> None:
    """Check when the last canary was sent."""
    last = max(context.world.sent_new_at)
    assert last < seconds, last
