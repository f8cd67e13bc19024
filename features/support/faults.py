"""Faults that a schedule can draw, and how each is brought about."""

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
    """A fault and the time at which it begins."""

    # Seconds after the traffic began.
    at_s: float
    name: str


def draw_schedule(
    draw: random.Random, names: tuple[str, ...], count: int, within_s: float
) -> list[PlannedFault]:
    """Return faults by time; some come two at once."""
    faults = []
    for _ in range(count):
        at_s = draw.uniform(0.2, within_s)
        faults.append(PlannedFault(at_s, draw.choice(names)))
        if draw.choice((True, False, False)):
            faults.append(PlannedFault(at_s, draw.choice(names)))
    return sorted(faults, key=lambda fault: fault.at_s)


def space_schedule(
    names: tuple[str, ...], within_s: float
) -> list[PlannedFault]:
    """Return the named faults, evenly over the time."""
    gap_s = within_s / (len(names) + 1)
    return [
        PlannedFault(gap_s * number, name)
        for number, name in enumerate(names, 1)
    ]


async def run_schedule(
    cluster: Cluster, draw: random.Random, faults: list[PlannedFault]
) -> None:
    """Bring the faults about at their times; wait until all are over."""
    running = []
    passed_s: float = 0
    for fault in faults:
        await asyncio.sleep(fault.at_s - passed_s)
        passed_s = fault.at_s
        cluster.operator.record('fault', name=fault.name, at_s=fault.at_s)
        action = ACTIONS_BY_NAME[fault.name](cluster, draw)
        running.append(asyncio.ensure_future(action))
    await asyncio.gather(*running)


async def _kill_entry(cluster: Cluster, draw: random.Random) -> None:
    name = _draw_running(cluster, draw, 'entry')
    if not name:
        return
    async with cluster.locks_by_name[name]:
        await cluster.kill_entry(name)
        await asyncio.sleep(draw.uniform(0.1, 1))
        cluster.start_entry(name)
        await cluster.wait_entry(name)


async def _freeze_entry(cluster: Cluster, draw: random.Random) -> None:
    await _freeze(cluster, _draw_running(cluster, draw, 'entry'), draw)


async def _kill_engine(cluster: Cluster, draw: random.Random) -> None:
    await _kill_upstream(cluster, _draw_running(cluster, draw, 'engines'), draw)


async def _kill_service(cluster: Cluster, draw: random.Random) -> None:
    await _kill_upstream(cluster, _draw_running(cluster, draw, 'orders'), draw)


async def _freeze_upstream(cluster: Cluster, draw: random.Random) -> None:
    pool = draw.choice(('engines', 'orders'))
    await _freeze(cluster, _draw_running(cluster, draw, pool), draw)


async def _return_zone(cluster: Cluster, draw: random.Random) -> None:
    """Kill all engines of a zone, and start them again cold, together."""
    zone = cluster.members_by_name[draw.choice(_names(cluster, 'engines'))].zone
    names = [
        name
        for name in _names(cluster, 'engines')
        if cluster.members_by_name[name].zone == zone
    ]
    kills = [_kill_upstream(cluster, name, draw) for name in names]
    await asyncio.gather(*kills)


async def _turn_cold(cluster: Cluster, draw: random.Random) -> None:
    await _control(cluster, draw, warmth='cold')


async def _drop_answers(cluster: Cluster, draw: random.Random) -> None:
    await _control(cluster, draw, drop_next=draw.randint(1, 3))


async def _cross_answers(cluster: Cluster, draw: random.Random) -> None:
    await _control(cluster, draw, cross_next=4)


async def _delay_answers(cluster: Cluster, draw: random.Random) -> None:
    late = {'count': 3, 'seconds': draw.uniform(0.2, 1.5)}
    await _control(cluster, draw, late=late)


async def _cut_streams(cluster: Cluster, draw: random.Random) -> None:
    cut = {'count': 2, 'tokens': draw.randint(0, 12)}
    await _control(cluster, draw, cut=cut)


async def _fail_calls(cluster: Cluster, draw: random.Random) -> None:
    fail = {
        'count': 3,
        'status': draw.choice((500, 502, 503)),
        'is_after_run': draw.choice((True, False)),
    }
    await _control(cluster, draw, fail=fail)


async def _cut_wire(cluster: Cluster, draw: random.Random) -> None:
    """Cut connections to an engine at drawn bytes of their answers."""
    relay = cluster.relays_by_name[draw.choice(_names(cluster, 'engines'))]
    for _ in range(draw.randint(1, 4)):
        relay.cut_next(draw.randint(0, 1500))


async def _cross_wires(cluster: Cluster, draw: random.Random) -> None:
    """Swap the answers of connections to an engine, two by two."""
    relay = cluster.relays_by_name[draw.choice(_names(cluster, 'engines'))]
    relay.cross_next = 4
    relay.close_links()


async def _part_entry(cluster: Cluster, draw: random.Random) -> None:
    """Cut an entry from the platform for some seconds."""
    name = _draw_running(cluster, draw, 'entry')
    if not name:
        return
    relay = cluster.relays_by_name[name]
    relay.silence()
    await asyncio.sleep(draw.choice((1, 3, 7)))
    relay.restore()


async def _lose_writes(cluster: Cluster, draw: random.Random) -> None:
    table = {
        'lose_probability': draw.choice((0.2, 0.6)),
        'seed': draw.randint(0, 99),
    }
    await _break_table(cluster, draw, table)


async def _stop_table(cluster: Cluster, draw: random.Random) -> None:
    await _break_table(
        cluster, draw, {'mode': draw.choice(('refuse', 'close'))}
    )


async def _slow_table(cluster: Cluster, draw: random.Random) -> None:
    await _break_table(cluster, draw, {'slow_s': draw.uniform(0.2, 2.5)})


async def _stop_platform(cluster: Cluster, draw: random.Random) -> None:
    down = {'mode': 'refuse'}
    await cluster.control('platform', object_store=down, instances=down)
    await _break_table(cluster, draw, down)
    up = {'mode': 'up'}
    await cluster.control('platform', object_store=up, instances=up)


async def _break_table(
    cluster: Cluster, draw: random.Random, fault: Mapping[str, object]
) -> None:
    await cluster.control('platform', table=fault)
    await asyncio.sleep(draw.uniform(0.5, 3))
    await cluster.control('platform', table={})


async def _freeze(cluster: Cluster, name: str, draw: random.Random) -> None:
    if not name:
        return
    async with cluster.locks_by_name[name]:
        cluster.launcher.send(name, signal.SIGSTOP)
        cluster.operator.record('frozen', name=name)
        await asyncio.sleep(draw.choice((0.3, 1, 2, 5)))
        cluster.launcher.send(name, signal.SIGCONT)
        cluster.operator.record('continued', name=name)


async def _kill_upstream(
    cluster: Cluster, name: str, draw: random.Random
) -> None:
    if not name:
        return
    async with cluster.locks_by_name[name]:
        cluster.launcher.kill(name)
        # A machine takes longer than this to come back (seconds).
        await asyncio.sleep(draw.uniform(1.5, 2.5))
        await cluster.restart_upstream(name)


async def _control(
    cluster: Cluster, draw: random.Random, **control: object
) -> None:
    name = _draw_running(cluster, draw, draw.choice(('engines', 'orders')))
    if name:
        await cluster.control(name, **control)


def _names(cluster: Cluster, pool: str) -> list[str]:
    members = cluster.members_by_name.values()
    return [member.name for member in members if member.pool == pool]


def _draw_running(cluster: Cluster, draw: random.Random, pool: str) -> str:
    """Return a member that no fault holds; empty if it is the last."""
    names = [
        name
        for name in _names(cluster, pool)
        if not cluster.locks_by_name[name].locked()
    ]
    return draw.choice(names) if len(names) > 1 else ''


ACTIONS_BY_NAME: dict[str, Action] = {
    'kill entry': _kill_entry,
    'freeze entry': _freeze_entry,
    'kill engine': _kill_engine,
    'kill service': _kill_service,
    'freeze upstream': _freeze_upstream,
    'return zone': _return_zone,
    'turn cold': _turn_cold,
    'drop answers': _drop_answers,
    'cross answers': _cross_answers,
    'delay answers': _delay_answers,
    'cut streams': _cut_streams,
    'fail calls': _fail_calls,
    'cut wire': _cut_wire,
    'cross wires': _cross_wires,
    'part entry': _part_entry,
    'lose writes': _lose_writes,
    'stop table': _stop_table,
    'slow table': _slow_table,
    'stop platform': _stop_platform,
}
