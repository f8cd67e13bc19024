"""``python -m standins.bench.idle``: the cost of the control plane when idle.

Starts deployments of several sizes, sends them no requests, and measures
each entry's CPU time, memory, gossip traffic and calls to the platform.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pathlib
import re
import sys
import tempfile
from dataclasses import dataclass
from typing import Final, final

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from damaskpoint.load.fetching import fetch
from standins.bench.addresses import pick_base_host
from standins.bench.deployment import (
    Deployment,
    DeploymentOptions,
    start_deployment,
    stop_deployment,
)

_SIZES: Final = (1, 2, 4, 8)
_SETTLE_S: Final = 8.0
_MEASURE_S: Final = 15.0
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
_BYTES_PER_MB: Final = 1_000_000
# Positions of fields in /proc/PID/stat after the name in parentheses.
_USER_TICKS: Final = 11
_SYSTEM_TICKS: Final = 12
_RESIDENT_PAGES: Final = 21

_GOSSIP_BYTES_METRIC: Final = 'damaskpoint_gossip_bytes_sent_total'
_PLATFORM_CALLS_METRIC: Final = 'damaskpoint_platform_calls_total'
_LOAD_POLLS_METRIC: Final = 'damaskpoint_routing_load_polls_total'


@final
@dataclass(frozen=True, slots=True)
class Reading:
    """Sums over all entries at one point in time."""

    processor_s: float
    resident_bytes: float
    # Sums of counters by metric name and service label.
    counters_by_name: dict[str, float]


def main() -> None:
    """Measure each deployment size and print one line of JSON for it."""
    parser = argparse.ArgumentParser(
        prog='standins.bench.idle', description=__doc__
    )
    parser.add_argument('--profile', default='lagos')
    parser.add_argument('--entries', type=int, nargs='*', default=_SIZES)
    parser.add_argument('--seconds', type=float, default=_MEASURE_S)
    arguments = parser.parse_args()
    for entries in arguments.entries:
        row = asyncio.run(
            _measure(arguments.profile, entries, arguments.seconds)
        )
        sys.stdout.write(f'{json.dumps(row)}\n')
        sys.stdout.flush()


async def _measure(
    profile: str, entries: int, seconds: float
) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        options = DeploymentOptions(
            profile=profile,
            system='damaskpoint',
            entries=entries,
            base_host=pick_base_host(),
            folder=pathlib.Path(folder),
        )
        deployment = await start_deployment(options)
        try:
            row = await _measure_deployment(deployment, seconds)
        finally:
            await stop_deployment(deployment)
    return row


async def _measure_deployment(
    deployment: Deployment, seconds: float
) -> dict[str, float]:
    await asyncio.sleep(_SETTLE_S)
    before = await _take_reading(deployment)
    await asyncio.sleep(seconds)
    after = await _take_reading(deployment)
    return _compare(before, after, deployment.options.entries, seconds)


def _compare(
    before: Reading, after: Reading, entries: int, seconds: float
) -> dict[str, float]:
    """Return the averages per entry; counters as increase per second."""
    processor_s = after.processor_s - before.processor_s
    row = {
        'entries': entries,
        'core_percent': round(100 * processor_s / seconds / entries, 2),
        'memory_mb': round(after.resident_bytes / _BYTES_PER_MB / entries, 1),
    }
    for name, total in after.counters_by_name.items():
        increase = total - before.counters_by_name.get(name, 0)
        row[f'{name}_per_s'] = round(increase / seconds / entries, 2)
    return row


async def _take_reading(deployment: Deployment) -> Reading:
    processor_s: float = 0
    resident_bytes: float = 0
    # The first process is the site.
    for process in deployment.processes[1:]:
        fields = _read_stat(process.pid)
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        processor_s += ticks / _TICKS_PER_S
        resident_bytes += int(fields[_RESIDENT_PAGES]) * _PAGE_BYTES
    counters: dict[str, float] = {}
    client = AsyncHTTPClient()
    for url in deployment.operator_urls():
        answer = await fetch(client, HTTPRequest(f'{url}/metrics'))
        if answer is not None:
            _add_counters(counters, answer.body.decode())
    return Reading(processor_s, resident_bytes, counters)


def _read_stat(pid: int) -> list[str]:
    """Return the fields of /proc/PID/stat after the process name."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    return text.rpartition(')')[2].split()


def _add_counters(counters: dict[str, float], text: str) -> None:
    """Add the counters of control traffic in a metrics page to the sums."""
    for line in text.splitlines():
        name = line.partition(' ')[0].partition('{')[0]
        if name not in {
            _GOSSIP_BYTES_METRIC,
            _PLATFORM_CALLS_METRIC,
            _LOAD_POLLS_METRIC,
        }:
            continue
        service_match = re.search('service="([^"]*)"', line)
        key = f'{name}_{service_match.group(1)}' if service_match else name
        counters[key] = counters.get(key, 0) + float(line.split()[-1])


if __name__ == '__main__':
    main()
