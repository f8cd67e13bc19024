"""What operators do during a trial."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import time
from typing import TYPE_CHECKING, Final

from features.support import sheets
from features.support.caller import CallerRequest
from features.support.checker import BOUND_S
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
_WAITING_REQUESTS: Final = 12
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
    await _take_out(cluster, zone)
    await _add_traffic(traffic)
    cluster.operator.record('included', name=zone)
    await _change_zone(cluster, 'in', zone)


async def freeze_through_change(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Take a zone out and let an engine leave while an entry is frozen.

    Callers go on to the frozen entry; it finds their requests when it is
    continued, before anything that it could learn of the change.
    """
    name = draw.choice(('entry-1', 'entry-2'))
    zone, leaving = draw.choice(
        (('zone-a', 'engine-2'), ('zone-c', 'engine-1'))
    )
    await asyncio.sleep(draw.uniform(0.5, 1.5))
    async with cluster.locks_by_name[name]:
        cluster.launcher.send(name, signal.SIGSTOP)
        await _mark_leaving(cluster, leaving)
        await _take_out(cluster, zone)
        await asyncio.sleep(BOUND_S + draw.uniform(0.1, 1))
        await _let_wait(traffic, name)
        cluster.launcher.send(name, signal.SIGCONT)
    await traffic.finish()


async def let_upstream_leave(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Mark an engine as leaving; then the list lags and steps back."""
    name = draw.choice(('engine-1', 'engine-2', 'engine-3'))
    await asyncio.sleep(draw.uniform(0.3, 2))
    await _mark_leaving(cluster, name, lag_s=draw.choice((0, 1)))
    going_back = asyncio.ensure_future(_step_back(cluster, draw))
    await _add_traffic(traffic)
    await going_back


async def apply_sheets(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Apply sheet after sheet while probes ask every entry."""
    probing = _start_probes(cluster)
    for number in range(2, 2 + _SHEETS):
        await asyncio.sleep(draw.uniform(0.3, 1.5))
        await _apply(cluster, number)
    # Right after the acceptance the platform may go down, and all entries
    # may be replaced.
    if draw.choice((True, False)):
        await _stop_platform(cluster)
    if draw.choice((True, False)):
        await replace_entries(cluster, traffic, draw)
    await asyncio.sleep(_WATCHED_S)
    await _end_probes(probing)


async def replace_in_outage(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Replace all entries while the whole platform is down.

    The last sheet has reached the entries before; new processes can learn
    of it from each other alone.
    """
    probing = _start_probes(cluster)
    await _apply(cluster, 2)
    await asyncio.sleep(BOUND_S)
    await _stop_platform(cluster)
    await replace_entries(cluster, traffic, draw)
    await asyncio.sleep(_PROBE_GAP_S)
    await _end_probes(probing)


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


async def overtake_holder(
    cluster: Cluster, traffic: Traffic, draw: random.Random
) -> None:
    """Let a frozen holder of the lease go on after another has ordered.

    Each step waits for what it needs to see, so the order of events does
    not depend on the speed of the machine.
    """
    await _order_and_wait(cluster, 2)
    entries = [name for name in cluster.members_by_name if 'entry' in name]
    terms_by_name = await _read_terms(cluster, entries)
    holder = max(entries, key=lambda name: terms_by_name[name])
    others = [name for name in entries if name != holder]
    _signal_all(cluster, [holder], signal.SIGSTOP)
    await _wait_for_term(cluster, others, terms_by_name[holder] + 1)
    await _order_and_wait(cluster, 3)
    _signal_all(cluster, others, signal.SIGSTOP)
    _signal_all(cluster, [holder], signal.SIGCONT)
    await _order_and_wait(cluster, 4)
    _signal_all(cluster, others, signal.SIGCONT)


def _signal_all(
    cluster: Cluster, names: list[str], number: signal.Signals
) -> None:
    for name in names:
        cluster.launcher.send(name, number)


async def _order_and_wait(cluster: Cluster, number: int) -> None:
    """Apply a sheet and wait until all engines obey it."""
    await _apply(cluster, number, checks_fencing=False)
    await _wait_in_line(cluster, f'model-{number}')


async def _read_terms(cluster: Cluster, entries: list[str]) -> dict[str, int]:
    """Return the fencing number of the last term of each reconciler."""
    terms_by_name = {}
    for name in entries:
        url = cluster.members_by_name[name].operator_url
        _status, said = await fetch(f'{url}/state')
        pool = json.loads(said).get(f'pool {sheets.MODEL_POOL}', {})
        terms_by_name[name] = pool.get('lease', {}).get('fencing', 0)
    return terms_by_name


async def _wait_for_term(
    cluster: Cluster, entries: list[str], fencing: int
) -> None:
    """Wait until one of these reconcilers has taken a term this late."""
    give_up_at = time.monotonic() + _IN_LINE_S
    while time.monotonic() < give_up_at:
        terms_by_name = await _read_terms(cluster, entries)
        if max(terms_by_name.values()) >= fencing:
            return
        await asyncio.sleep(_PROBE_GAP_S)
    raise TimeoutError(f'no term {fencing} at {entries}')


async def _wait_in_line(cluster: Cluster, model: str) -> None:
    give_up_at = time.monotonic() + _IN_LINE_S
    while time.monotonic() < give_up_at:
        if await _are_in_line(cluster, model):
            return
        await asyncio.sleep(_PROBE_GAP_S)
    raise TimeoutError(f'engines are not in line with {model}')


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


async def _let_wait(traffic: Traffic, name: str) -> None:
    """Put requests into the socket of an entry that does not read."""
    for _ in range(_WAITING_REQUESTS):
        traffic.start_at(name)
    await asyncio.sleep(_PROBE_GAP_S)


def _start_probes(cluster: Cluster) -> list[asyncio.Task[None]]:
    return [
        asyncio.ensure_future(_probe(cluster, name))
        for name in cluster.members_by_name
        if name.startswith('entry')
    ]


async def _end_probes(probing: list[asyncio.Task[None]]) -> None:
    for task in probing:
        task.cancel()
    await asyncio.gather(*probing, return_exceptions=True)


async def _stop_platform(cluster: Cluster) -> None:
    down = {'mode': 'refuse'}
    await cluster.control(
        'platform', table=down, object_store=down, instances=down
    )


async def _mark_leaving(cluster: Cluster, name: str, lag_s: float = 0) -> None:
    cluster.members_by_name[name].presence = 'leaving'
    await cluster.publish(lag_s=lag_s)
    cluster.operator.record('excluded', name=name)


async def _take_out(cluster: Cluster, zone: str) -> None:
    await _change_zone(cluster, 'out', zone)
    cluster.operator.record('excluded', name=zone)


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
