"""Faults of a trial: random schedules, and how each fault is injected."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Mapping

    from features.support.cluster import Cluster

    Action = Callable[[Cluster, random.Random], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault and the time at which it starts."""

    # Seconds after the start of the traffic.
    at_s: float
    name: str


def draw_schedule(
    rng: random.Random, names: tuple[str, ...], count: int, duration_s: float
) -> list[PlannedFault]:
    """Return random faults ordered by time; some come in pairs."""
    faults = []
    for _ in range(count):
        at_s = rng.uniform(0.2, duration_s)
        faults.append(PlannedFault(at_s, rng.choice(names)))
        if rng.choice((True, False, False)):
            faults.append(PlannedFault(at_s, rng.choice(names)))
    return sorted(faults, key=lambda fault: fault.at_s)


def create_even_schedule(
    names: tuple[str, ...], duration_s: float
) -> list[PlannedFault]:
    """Return the named faults, spread evenly over the duration."""
    interval_s = duration_s / (len(names) + 1)
    return [
        PlannedFault(interval_s * number, name)
        for number, name in enumerate(names, 1)
    ]


async def run_schedule(
    cluster: Cluster, rng: random.Random, faults: list[PlannedFault]
) -> None:
    """Inject the faults at their times and wait until all are over."""
    running = []
    elapsed_s: float = 0
    for fault in faults:
        await asyncio.sleep(fault.at_s - elapsed_s)
        elapsed_s = fault.at_s
        cluster.operator.record('fault', name=fault.name, at_s=fault.at_s)
        action = ACTIONS_BY_NAME[fault.name](cluster, rng)
        running.append(asyncio.ensure_future(action))
    await asyncio.gather(*running)


async def _kill_entry(cluster: Cluster, rng: random.Random) -> None:
    name = _draw_available(cluster, rng, 'entry')
    if not name:
        return
    async with cluster.locks_by_name[name]:
        await cluster.kill_entry(name)
        await asyncio.sleep(rng.uniform(0.1, 1))
        cluster.start_entry(name)
        await cluster.wait_entry(name)


async def _freeze_entry(cluster: Cluster, rng: random.Random) -> None:
    await _freeze(cluster, _draw_available(cluster, rng, 'entry'), rng)


async def _kill_engine(cluster: Cluster, rng: random.Random) -> None:
    await _kill_upstream(cluster, _draw_available(cluster, rng, 'engines'), rng)


async def _kill_service(cluster: Cluster, rng: random.Random) -> None:
    await _kill_upstream(cluster, _draw_available(cluster, rng, 'orders'), rng)


async def _freeze_upstream(cluster: Cluster, rng: random.Random) -> None:
    pool = rng.choice(('engines', 'orders'))
    await _freeze(cluster, _draw_available(cluster, rng, pool), rng)


async def _restart_zone(cluster: Cluster, rng: random.Random) -> None:
    """Kill all engines of a zone and restart them together, cold."""
    zone = cluster.members_by_name[
        rng.choice(_list_names(cluster, 'engines'))
    ].zone
    names = [
        name
        for name in _list_names(cluster, 'engines')
        if cluster.members_by_name[name].zone == zone
    ]
    kills = [_kill_upstream(cluster, name, rng) for name in names]
    await asyncio.gather(*kills)


async def _turn_cold(cluster: Cluster, rng: random.Random) -> None:
    await _control_upstream(cluster, rng, warmth='cold')


async def _drop_answers(cluster: Cluster, rng: random.Random) -> None:
    await _control_upstream(cluster, rng, drop_next=rng.randint(1, 3))


async def _swap_answers(cluster: Cluster, rng: random.Random) -> None:
    await _control_upstream(cluster, rng, cross_next=4)


async def _delay_answers(cluster: Cluster, rng: random.Random) -> None:
    late = {'count': 3, 'seconds': rng.uniform(0.2, 1.5)}
    await _control_upstream(cluster, rng, late=late)


async def _cut_streams(cluster: Cluster, rng: random.Random) -> None:
    cut = {'count': 2, 'tokens': rng.randint(0, 12)}
    await _control_upstream(cluster, rng, cut=cut)


async def _fail_calls(cluster: Cluster, rng: random.Random) -> None:
    fail = {
        'count': 3,
        'status': rng.choice((500, 502, 503)),
        'is_after_run': rng.choice((True, False)),
    }
    await _control_upstream(cluster, rng, fail=fail)


async def _cut_connections(cluster: Cluster, rng: random.Random) -> None:
    """Cut connections to an engine after a random number of answer bytes."""
    relay = cluster.relays_by_name[rng.choice(_list_names(cluster, 'engines'))]
    for _ in range(rng.randint(1, 4)):
        relay.cut_next(rng.randint(0, 1500))


async def _swap_connections(cluster: Cluster, rng: random.Random) -> None:
    """Swap the answers of connections to an engine, in pairs."""
    relay = cluster.relays_by_name[rng.choice(_list_names(cluster, 'engines'))]
    relay.cross_next = 4
    relay.close_links()


async def _partition_entry(cluster: Cluster, rng: random.Random) -> None:
    """Partition an entry from the platform for some seconds."""
    name = _draw_available(cluster, rng, 'entry')
    if not name:
        return
    relay = cluster.relays_by_name[name]
    relay.block()
    await asyncio.sleep(rng.choice((1, 3, 7)))
    relay.unblock()


async def _lose_writes(cluster: Cluster, rng: random.Random) -> None:
    table = {
        'lose_probability': rng.choice((0.2, 0.6)),
        'seed': rng.randint(0, 99),
    }
    await _disturb_table(cluster, rng, table)


async def _stop_table(cluster: Cluster, rng: random.Random) -> None:
    await _disturb_table(
        cluster, rng, {'mode': rng.choice(('refuse', 'close'))}
    )


async def _slow_table(cluster: Cluster, rng: random.Random) -> None:
    await _disturb_table(cluster, rng, {'slow_s': rng.uniform(0.2, 2.5)})


async def _stop_platform(cluster: Cluster, rng: random.Random) -> None:
    down = {'mode': 'refuse'}
    await cluster.control('platform', object_store=down, instances=down)
    await _disturb_table(cluster, rng, down)
    up = {'mode': 'up'}
    await cluster.control('platform', object_store=up, instances=up)


async def _disturb_table(
    cluster: Cluster, rng: random.Random, fault: Mapping[str, object]
) -> None:
    await cluster.control('platform', table=fault)
    await asyncio.sleep(rng.uniform(0.5, 3))
    await cluster.control('platform', table={})


async def _freeze(cluster: Cluster, name: str, rng: random.Random) -> None:
    if not name:
        return
    async with cluster.locks_by_name[name]:
        cluster.launcher.send(name, signal.SIGSTOP)
        cluster.operator.record('frozen', name=name)
        await asyncio.sleep(rng.choice((0.3, 1, 2, 5)))
        cluster.launcher.send(name, signal.SIGCONT)
        cluster.operator.record('continued', name=name)


async def _kill_upstream(
    cluster: Cluster, name: str, rng: random.Random
) -> None:
    if not name:
        return
    async with cluster.locks_by_name[name]:
        cluster.launcher.kill(name)
        # A real machine takes longer than these seconds to restart.
        await asyncio.sleep(rng.uniform(1.5, 2.5))
        await cluster.restart_upstream(name)


async def _control_upstream(
    cluster: Cluster, rng: random.Random, **control: object
) -> None:
    name = _draw_available(cluster, rng, rng.choice(('engines', 'orders')))
    if name:
        await cluster.control(name, **control)


def _list_names(cluster: Cluster, pool: str) -> list[str]:
    members = cluster.members_by_name.values()
    return [member.name for member in members if member.pool == pool]


def _draw_available(cluster: Cluster, rng: random.Random, pool: str) -> str:
    """Return a random member of a pool that no other fault has stopped.

    Empty if fewer than two are left.
    """
    names = [
        name
        for name in _list_names(cluster, pool)
        if not cluster.locks_by_name[name].locked()
    ]
    return rng.choice(names) if len(names) > 1 else ''


ACTIONS_BY_NAME: dict[str, Action] = {
    'kill entry': _kill_entry,
    'freeze entry': _freeze_entry,
    'kill engine': _kill_engine,
    'kill service': _kill_service,
    'freeze upstream': _freeze_upstream,
    'return zone': _restart_zone,
    'turn cold': _turn_cold,
    'drop answers': _drop_answers,
    'cross answers': _swap_answers,
    'delay answers': _delay_answers,
    'cut streams': _cut_streams,
    'fail calls': _fail_calls,
    'cut wire': _cut_connections,
    'cross wires': _swap_connections,
    'part entry': _partition_entry,
    'lose writes': _lose_writes,
    'stop table': _stop_table,
    'slow table': _slow_table,
    'stop platform': _stop_platform,
}
