"""Measures what one entry costs and sustains, against engines of 0 ms.

``python -m features.support.measure_entry`` starts the stand-ins and one
entry, asks a pipeline of four stages first one at a time, then from many
callers at once, and prints one line of JSON for each.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pathlib
import statistics
import sys
import time
from dataclasses import dataclass, field
from typing import Final

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from features.support.cluster import Cluster
from features.support.sheets import (
    ACCOUNT,
    ANSWER_PATH,
    MODEL_POOL,
    SheetOptions,
)

_ENGINES: Final = 4
_LIMIT: Final = 64
_BODY: Final = b'{"input": {"question": "how much?", "tokens": 12}}'
_HEADERS: Final = {
    'X-Client-Account': ACCOUNT,
    'Authorization': f'Bearer {ACCOUNT}-secret',
}
_CALL: Final = b'{"model": "model-1", "adapter": "", "input": {"tokens": 12}}'
_KINDS: Final = ('encode', 'retrieve', 'rerank', 'generate')
_MS: Final = 1_000
_US: Final = 1_000_000
_STREAMS: Final = 4
_STREAM_BODY: Final = b'{"input": {"tokens": 1000}, "stream": true}'
_TICKS: Final = os.sysconf('SC_CLK_TCK')


@dataclass(slots=True)
class Tally:
    """What callers saw."""

    seconds: list[float] = field(default_factory=list)
    refused: int = 0


async def measure(run_s: float) -> list[dict[str, object]]:
    """Return one row of figures for each number of callers."""
    cluster = Cluster()
    try:
        return await _measure(cluster, run_s)
    finally:
        cluster.close()


async def _measure(cluster: Cluster, run_s: float) -> list[dict[str, object]]:
    url = await _start(cluster)
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
    pid = cluster.launcher.find_pid('entry-1')
    direct_ms = await _measure_direct(cluster, client)
    rows = []
    for callers in (1, 8, 32):
        row = await _load(client, url, pid, callers, run_s)
        rows.append({**row, 'direct_chain_p50_ms': direct_ms})
    rows.append(await _measure_tokens(client, url, pid, run_s))
    return rows


async def _measure_tokens(
    client: SimpleAsyncHTTPClient, url: str, pid: int, run_s: float
) -> dict[str, object]:
    """Return what passing on one token of a stream costs the entry."""
    end = time.monotonic() + run_s
    used_s = _read_cpu_s(pid)
    counts = await asyncio.gather(
        *[_stream_until(client, url, end) for _ in range(_STREAMS)]
    )
    used_s = _read_cpu_s(pid) - used_s
    tokens = sum(counts)
    return {
        'streams': _STREAMS,
        'tokens_per_s': round(tokens / run_s),
        'entry_cpu_us_per_token': round(used_s * _US / tokens, 1),
        'entry_core_share': round(used_s / run_s, 2),
    }


async def _stream_until(
    client: SimpleAsyncHTTPClient, url: str, end: float
) -> int:
    tokens = 0
    while time.monotonic() < end:
        answer = await client.fetch(
            f'{url}{ANSWER_PATH}',
            method='POST',
            body=_STREAM_BODY,
            headers=_HEADERS,
            raise_error=False,
        )
        tokens += answer.body.count(b'event: token')
    return tokens


async def _start(cluster: Cluster) -> str:
    await cluster.start_platform()
    zero = [f'--{kind}-ms=0' for kind in _KINDS]
    words = ('--model=model-1:1', '--starts=warm', '--token-ms=0', *zero)
    for number in range(_ENGINES):
        await cluster.add_upstream(
            'engine',
            f'engine-{number}',
            MODEL_POOL,
            'zone-a',
            f'--warm-limit={_LIMIT}',
            *words,
        )
    entry = await cluster.add_entry('entry-1', 'zone-a')
    assert await cluster.apply(SheetOptions(warm_limit=_LIMIT)) == 0
    await cluster.wait_entry('entry-1')
    await asyncio.sleep(3)
    return entry.url


async def _load(
    client: SimpleAsyncHTTPClient,
    url: str,
    pid: int,
    callers: int,
    run_s: float,
) -> dict[str, object]:
    tally = Tally()
    end = time.monotonic() + run_s
    used_s = _read_cpu_s(pid)
    await asyncio.gather(
        *[_call_until(client, url, tally, end) for _ in range(callers)]
    )
    used_s = _read_cpu_s(pid) - used_s
    done = len(tally.seconds)
    return {
        'callers': callers,
        'requests_per_s': round(done / run_s, 1),
        'p50_ms': round(statistics.median(tally.seconds) * _MS, 2),
        'entry_cpu_ms_per_request': round(used_s * _MS / done, 2),
        'entry_core_share': round(used_s / run_s, 2),
        'refused': tally.refused,
    }


async def _call_until(
    client: SimpleAsyncHTTPClient, url: str, tally: Tally, end: float
) -> None:
    while time.monotonic() < end:
        started = time.monotonic()
        answer = await client.fetch(
            f'{url}{ANSWER_PATH}',
            method='POST',
            body=_BODY,
            headers=_HEADERS,
            raise_error=False,
        )
        if answer.code == 200:
            tally.seconds.append(time.monotonic() - started)
        else:
            tally.refused += 1
            await asyncio.sleep(0.05)


async def _measure_direct(
    cluster: Cluster, client: SimpleAsyncHTTPClient
) -> float:
    """Return the median of four calls in a row without an entry, in ms."""
    url = cluster.members_by_name['engine-0'].url
    seconds = []
    for _ in range(100):
        started = time.monotonic()
        for kind in _KINDS:
            await client.fetch(
                f'{url}/v1/stages/{kind}',
                method='POST',
                body=_CALL,
                headers={'X-Request-Id': 'r', 'X-Stage': kind},
            )
        seconds.append(time.monotonic() - started)
    return round(statistics.median(seconds) * _MS, 2)


def _read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description='Measure one entry.')
    parser.add_argument('--seconds', type=float, default=8)
    arguments = parser.parse_args()
    for row in asyncio.run(measure(arguments.seconds)):
        sys.stdout.write(f'{json.dumps(row)}\n')


if __name__ == '__main__':
    main()
