"""What operators do during a trial."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Final

from features.support import sheets
from features.support.caller import CallerRequest
from features.support.launcher import fetch

if TYPE_CHECKING:
    import random

    from features.support.cluster import Cluster
    from features.support.traffic import Traffic

# Time that new work must not reach what was taken out (seconds); the first
# five of them are the promise's own bound.
_WATCHED_S: Final = 9.0
_MORE_REQUESTS: Final = 60
_ACCEPTED_STATUSES: Final = frozenset((0, 7))
_PROBE_GAP_S: Final = 0.2
_SHEETS: Final = 3
_ORDERED_SHEETS: Final = 6
# Bound on bringing three engines into line, after the last fault (seconds).
_IN_LINE_S: Final = 40.0
_PATIENCE: Final = 20


async def take_zone_out(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Take a zone out, watch, and bring it back in."""
    zone = draw.choice(sheets.ZONES)
    await asyncio.sleep(draw.uniform(0.3, 2))
    await _change_zone(cluster, 'out', zone)
    cluster.operator.record('excluded', name=zone)
    await _add_traffic(traffic)
    cluster.operator.record('included', name=zone)
    await _change_zone(cluster, 'in', zone)


async def let_upstream_leave(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Mark an engine as leaving; then the list lags and steps back."""
    name = draw.choice(('engine-1', 'engine-2', 'engine-3'))
    await asyncio.sleep(draw.uniform(0.3, 2))
    cluster.members_by_name[name].presence = 'leaving'
    await cluster.publish(lag_s=draw.choice((0, 1)))
    cluster.operator.record('excluded', name=name)
    going_back = asyncio.ensure_future(_step_back(cluster, draw))
    await _add_traffic(traffic)
    await going_back


async def apply_sheets(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Apply sheet after sheet while probes ask every entry."""
    probing = [
        asyncio.ensure_future(_probe(cluster, name))
        for name in cluster.members_by_name
        if name.startswith('entry')
    ]
    for number in range(2, 2 + _SHEETS):
        await asyncio.sleep(draw.uniform(0.3, 1.5))
        await _apply(cluster, number)
    # Right after the acceptance the platform may go down, and all entries
    # may be replaced.
    if draw.choice((True, False)):
        down = {'mode': 'refuse'}
        await cluster.control(
            'platform', table=down, object_store=down, instances=down
        )
    if draw.choice((True, False)):
        await replace_entries(cluster, traffic, draw)
    await asyncio.sleep(_WATCHED_S)
    for task in probing:
        task.cancel()
    await asyncio.gather(*probing, return_exceptions=True)


async def replace_entries(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Terminate every entry and start it again, one by one."""
    await asyncio.sleep(draw.uniform(0.5, 1.5))
    names = [name for name in cluster.members_by_name if 'entry' in name]
    for name in names:
        async with cluster.locks_by_name[name]:
            await cluster.terminate_entry(name)
            cluster.start_entry(name)
            await cluster.wait_entry(name)


async def order_sheets(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Apply sheet after sheet; at the end, wait for the engines."""
    last = 1 + _ORDERED_SHEETS
    for number in range(2, last + 1):
        await asyncio.sleep(draw.uniform(0.3, 1.5))
        await _apply(cluster, number, checks_fencing=False)
    give_up_at = time.monotonic() + _IN_LINE_S
    while time.monotonic() < give_up_at:
        if await _are_in_line(cluster, f'model-{last}'):
            return
        await asyncio.sleep(_PROBE_GAP_S)


async def _are_in_line(cluster: Cluster, model: str) -> bool:
    for member in cluster.members_by_name.values():
        if member.pool != sheets.MODEL_POOL:
            continue
        _status, said = await fetch(f'{member.url}/v1/state')
        if f'"{model}"' not in said:
            return False
    return True


async def _add_traffic(traffic: Traffic) -> None:
    await traffic.run(('answer', 'stream'), _MORE_REQUESTS, _WATCHED_S)


async def _change_zone(cluster: Cluster, state: str, zone: str) -> None:
    for _ in range(_PATIENCE):
        status = await cluster.run_sheet_tool('zone', state, zone, '--wait-s=0')
        if status in _ACCEPTED_STATUSES:
            return
    raise RuntimeError(f'zone {state} was never accepted')


async def _apply(
    cluster: Cluster, number: int, *, checks_fencing: bool = True
) -> None:
    options = sheets.SheetOptions(number, checks_fencing=checks_fencing)
    for _ in range(_PATIENCE):
        status = await cluster.apply(options, '--wait-s=0')
        if status in _ACCEPTED_STATUSES:
            cluster.operator.record('accepted', number=number)
            return
    raise RuntimeError(f'sheet {number} was never accepted')


async def _step_back(cluster: Cluster, draw: random.Random) -> None:
    await asyncio.sleep(draw.uniform(1, 5))
    await cluster.publish(steps_back=draw.randint(1, 3))


async def _probe(cluster: Cluster, name: str) -> None:
    """Ask one entry again and again, one request at a time."""
    for number in itertools.count(1):
        request = CallerRequest(
            f'probe-{name}-{number}',
            sheets.ANSWER_PATH,
            {'input': {'tokens': 1}},
        )
        url = cluster.members_by_name[name].url
        await cluster.caller.call(name, url, request)
        await asyncio.sleep(_PROBE_GAP_S)
