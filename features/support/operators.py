"""Operations that operators carry out during a trial."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import time
from typing import TYPE_CHECKING, Final

from features.support import sheets
from features.support.caller import CallerRequest
from features.support.checker import PROPAGATION_BOUND_S
from features.support.launcher import fetch

if TYPE_CHECKING:
    import random

    from features.support.cluster import Cluster
    from features.support.traffic import Traffic

# Seconds of traffic after a zone or an upstream was excluded. New work may
# still reach it in the first five, which are the bound of the guarantee.
_OBSERVATION_S: Final = 9.0
_EXTRA_REQUESTS: Final = 60
_ACCEPTED_STATUSES: Final = frozenset((0, 7))
_PROBE_INTERVAL_S: Final = 0.2
_PROBED_SHEETS: Final = 3
_QUEUED_REQUESTS: Final = 12
_RECONCILED_SHEETS: Final = 6
# Bound for three engines to follow the last sheet after the last fault.
_CONVERGENCE_TIMEOUT_S: Final = 40.0
_MAX_ATTEMPTS: Final = 20


async def take_zone_out(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Take a zone out, send more traffic, and take the zone back in."""
    zone = rng.choice(sheets.ZONES)
    await asyncio.sleep(rng.uniform(0.3, 2))
    await _exclude_zone(cluster, zone)
    await _add_traffic(traffic)
    cluster.operator.record('included', name=zone)
    await _set_zone_state(cluster, 'in', zone)


async def freeze_through_change(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Take a zone out and mark an engine as leaving while an entry is frozen.

    Callers keep sending to the frozen entry. When it continues, it reads
    their requests before it can receive any news of the change.
    """
    name = rng.choice(('entry-1', 'entry-2'))
    zone, leaving = rng.choice((('zone-a', 'engine-2'), ('zone-c', 'engine-1')))
    await asyncio.sleep(rng.uniform(0.5, 1.5))
    async with cluster.locks_by_name[name]:
        cluster.launcher.send(name, signal.SIGSTOP)
        await _mark_leaving(cluster, leaving)
        await _exclude_zone(cluster, zone)
        await asyncio.sleep(PROPAGATION_BOUND_S + rng.uniform(0.1, 1))
        await _queue_requests(traffic, name)
        cluster.launcher.send(name, signal.SIGCONT)
    await traffic.finish()


async def mark_upstream_leaving(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Mark an engine as leaving while the instance list lags and reverts."""
    name = rng.choice(('engine-1', 'engine-2', 'engine-3'))
    await asyncio.sleep(rng.uniform(0.3, 2))
    await _mark_leaving(cluster, name, lag_s=rng.choice((0, 1)))
    reverting = asyncio.ensure_future(_revert_list(cluster, rng))
    await _add_traffic(traffic)
    await reverting


async def apply_sheets(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Apply several sheets in a row while probes call every entry."""
    probes = _start_probes(cluster)
    for number in range(2, 2 + _PROBED_SHEETS):
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        await _apply(cluster, number)
    # Right after a sheet was accepted, the platform may go down and all
    # entries may be replaced.
    if rng.choice((True, False)):
        await _stop_platform(cluster)
    if rng.choice((True, False)):
        await replace_entries(cluster, traffic, rng)
    await asyncio.sleep(_OBSERVATION_S)
    await _stop_probes(probes)


async def replace_in_outage(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Replace all entries while the whole platform is down.

    All entries have the last sheet by then; new processes can get it only
    from each other.
    """
    probes = _start_probes(cluster)
    await _apply(cluster, 2)
    await asyncio.sleep(PROPAGATION_BOUND_S)
    await _stop_platform(cluster)
    await replace_entries(cluster, traffic, rng)
    await asyncio.sleep(_PROBE_INTERVAL_S)
    await _stop_probes(probes)


async def replace_entries(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Terminate and restart all entries, one after another."""
    await asyncio.sleep(rng.uniform(0.5, 1.5))
    names = [name for name in cluster.members_by_name if 'entry' in name]
    for name in names:
        async with cluster.locks_by_name[name]:
            await cluster.terminate_entry(name)
            cluster.start_entry(name)
            await cluster.wait_entry(name)


async def reconcile_sheets(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Apply several sheets in a row, then wait until the engines follow."""
    last = 1 + _RECONCILED_SHEETS
    for number in range(2, last + 1):
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        await _apply(cluster, number, checks_fencing=False)
    deadline = time.monotonic() + _CONVERGENCE_TIMEOUT_S
    while time.monotonic() < deadline:
        if await _have_converged(cluster, f'model-{last}'):
            return
        await asyncio.sleep(_PROBE_INTERVAL_S)


async def overtake_holder(
    cluster: Cluster, traffic: Traffic, rng: random.Random
) -> None:
    """Let a frozen lease holder continue after another one has sent orders.

    Each step waits for the result of the one before, so the order of events
    does not depend on the speed of the machine.
    """
    await _apply_and_wait(cluster, 2)
    entries = [name for name in cluster.members_by_name if 'entry' in name]
    fencing_by_name = await _read_fencing(cluster, entries)
    holder = max(entries, key=lambda name: fencing_by_name[name])
    others = [name for name in entries if name != holder]
    _signal_all(cluster, [holder], signal.SIGSTOP)
    await _wait_fencing(cluster, others, fencing_by_name[holder] + 1)
    await _apply_and_wait(cluster, 3)
    _signal_all(cluster, others, signal.SIGSTOP)
    _signal_all(cluster, [holder], signal.SIGCONT)
    await _apply_and_wait(cluster, 4)
    _signal_all(cluster, others, signal.SIGCONT)


def _signal_all(
    cluster: Cluster, names: list[str], signal_number: signal.Signals
) -> None:
    for name in names:
        cluster.launcher.send(name, signal_number)


async def _apply_and_wait(cluster: Cluster, number: int) -> None:
    """Apply a sheet and wait until all engines follow it."""
    await _apply(cluster, number, checks_fencing=False)
    await _wait_converged(cluster, f'model-{number}')


async def _read_fencing(cluster: Cluster, entries: list[str]) -> dict[str, int]:
    """Return the last fencing number of each reconciler's lease, by name."""
    fencing_by_name = {}
    for name in entries:
        url = cluster.members_by_name[name].operator_url
        _status, body = await fetch(f'{url}/state')
        pool = json.loads(body).get(f'pool {sheets.MODEL_POOL}', {})
        fencing_by_name[name] = pool.get('lease', {}).get('fencing', 0)
    return fencing_by_name


async def _wait_fencing(
    cluster: Cluster, entries: list[str], fencing: int
) -> None:
    """Wait until a reconciler has a lease with at least this fencing number."""
    deadline = time.monotonic() + _CONVERGENCE_TIMEOUT_S
    while time.monotonic() < deadline:
        fencing_by_name = await _read_fencing(cluster, entries)
        if max(fencing_by_name.values()) >= fencing:
            return
        await asyncio.sleep(_PROBE_INTERVAL_S)
    raise TimeoutError(f'no lease with fencing {fencing} at {entries}')


async def _wait_converged(cluster: Cluster, model: str) -> None:
    deadline = time.monotonic() + _CONVERGENCE_TIMEOUT_S
    while time.monotonic() < deadline:
        if await _have_converged(cluster, model):
            return
        await asyncio.sleep(_PROBE_INTERVAL_S)
    raise TimeoutError(f'not all engines serve {model}')


async def _have_converged(cluster: Cluster, model: str) -> bool:
    for member in cluster.members_by_name.values():
        if member.pool != sheets.MODEL_POOL:
            continue
        _status, body = await fetch(f'{member.url}/v1/state')
        if f'"{model}"' not in body:
            return False
    return True


async def _add_traffic(traffic: Traffic) -> None:
    await traffic.run(('answer', 'stream'), _EXTRA_REQUESTS, _OBSERVATION_S)


async def _queue_requests(traffic: Traffic, name: str) -> None:
    """Queue requests in the socket of an entry that is not reading."""
    for _ in range(_QUEUED_REQUESTS):
        traffic.start_at_entry(name)
    await asyncio.sleep(_PROBE_INTERVAL_S)


def _start_probes(cluster: Cluster) -> list[asyncio.Task[None]]:
    return [
        asyncio.ensure_future(_probe(cluster, name))
        for name in cluster.members_by_name
        if name.startswith('entry')
    ]


async def _stop_probes(probes: list[asyncio.Task[None]]) -> None:
    for task in probes:
        task.cancel()
    await asyncio.gather(*probes, return_exceptions=True)


async def _stop_platform(cluster: Cluster) -> None:
    down = {'mode': 'refuse'}
    await cluster.control(
        'platform', table=down, object_store=down, instances=down
    )


async def _mark_leaving(cluster: Cluster, name: str, lag_s: float = 0) -> None:
    cluster.members_by_name[name].presence = 'leaving'
    await cluster.publish(lag_s=lag_s)
    cluster.operator.record('excluded', name=name)


async def _exclude_zone(cluster: Cluster, zone: str) -> None:
    await _set_zone_state(cluster, 'out', zone)
    cluster.operator.record('excluded', name=zone)


async def _set_zone_state(cluster: Cluster, state: str, zone: str) -> None:
    for _ in range(_MAX_ATTEMPTS):
        status = await cluster.run_sheet_tool('zone', state, zone, '--wait-s=0')
        if status in _ACCEPTED_STATUSES:
            return
    raise RuntimeError(f'zone {state} not accepted')


async def _apply(
    cluster: Cluster, number: int, *, checks_fencing: bool = True
) -> None:
    options = sheets.SheetOptions(number, checks_fencing=checks_fencing)
    for _ in range(_MAX_ATTEMPTS):
        status = await cluster.apply(options, '--wait-s=0')
        if status in _ACCEPTED_STATUSES:
            cluster.operator.record('accepted', number=number)
            return
    raise RuntimeError(f'sheet {number} not accepted')


async def _revert_list(cluster: Cluster, rng: random.Random) -> None:
    await asyncio.sleep(rng.uniform(1, 5))
    await cluster.publish(steps_back=rng.randint(1, 3))


async def _probe(cluster: Cluster, name: str) -> None:
    """Call one entry repeatedly, one request at a time."""
    for number in itertools.count(1):
        request = CallerRequest(
            f'probe-{name}-{number}',
            sheets.ANSWER_PATH,
            {'input': {'tokens': 1}},
        )
        url = cluster.members_by_name[name].url
        await cluster.caller.call(name, url, request)
        await asyncio.sleep(_PROBE_INTERVAL_S)
