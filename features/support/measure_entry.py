"""Measures throughput and cost of one entry in front of engines of 0 ms.

``python -m features.support.measure_entry`` starts the stand-ins and one
entry. It calls a pipeline of four stages from one caller, then from many
concurrent callers, then with streams, and prints one line of JSON for each.
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

_ENGINE_COUNT: Final = 4
_ENGINE_LIMIT: Final = 64
_BODY: Final = b'{"input": {"question": "how much?", "tokens": 12}}'
_HEADERS: Final = {
    'X-Client-Account': ACCOUNT,
    'Authorization': f'Bearer {ACCOUNT}-secret',
}
_STAGE_BODY: Final = (
    b'{"model": "model-1", "adapter": "", "input": {"tokens": 12}}'
)
_KINDS: Final = ('encode', 'retrieve', 'rerank', 'generate')
_MS_PER_S: Final = 1_000
_US_PER_S: Final = 1_000_000
_STREAM_COUNT: Final = 4
_STREAM_BODY: Final = b'{"input": {"tokens": 1000}, "stream": true}'
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')


@dataclass(slots=True)
class RequestCounts:
    """Results of the requests of all callers."""

    # Latency of each answer with status 200.
    latencies_s: list[float] = field(default_factory=list)
    # Answers with a status other than 200.
    refused: int = 0


async def measure(run_s: float) -> list[dict[str, object]]:
    """Return one row of figures for each load, the streams last."""
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
        row = await _measure_requests(client, url, pid, callers, run_s)
        rows.append({**row, 'direct_chain_p50_ms': direct_ms})
    rows.append(await _measure_tokens(client, url, pid, run_s))
    return rows


async def _measure_tokens(
    client: SimpleAsyncHTTPClient, url: str, pid: int, run_s: float
) -> dict[str, object]:
    """Return the cost at the entry of forwarding one token of a stream."""
    end_at = time.monotonic() + run_s
    cpu_s = _read_cpu_s(pid)
    counts = await asyncio.gather(
        *[_stream_until(client, url, end_at) for _ in range(_STREAM_COUNT)]
    )
    cpu_s = _read_cpu_s(pid) - cpu_s
    tokens = sum(counts)
    return {
        'streams': _STREAM_COUNT,
        'tokens_per_s': round(tokens / run_s),
        'entry_cpu_us_per_token': round(cpu_s * _US_PER_S / tokens, 1),
        'entry_core_share': round(cpu_s / run_s, 2),
    }


async def _stream_until(
    client: SimpleAsyncHTTPClient, url: str, end_at: float
) -> int:
    tokens = 0
    while time.monotonic() < end_at:
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
    stage_times = [f'--{kind}-ms=0' for kind in _KINDS]
    arguments = (
        '--model=model-1:1',
        '--starts=warm',
        '--token-ms=0',
        *stage_times,
    )
    for number in range(_ENGINE_COUNT):
        await cluster.add_upstream(
            'engine',
            f'engine-{number}',
            MODEL_POOL,
            'zone-a',
            f'--warm-limit={_ENGINE_LIMIT}',
            *arguments,
        )
    entry = await cluster.add_entry('entry-1', 'zone-a')
    assert await cluster.apply(SheetOptions(warm_limit=_ENGINE_LIMIT)) == 0
    await cluster.wait_entry('entry-1')
    await asyncio.sleep(3)
    return entry.url


async def _measure_requests(
    client: SimpleAsyncHTTPClient,
    url: str,
    pid: int,
    callers: int,
    run_s: float,
) -> dict[str, object]:
    request_counts = RequestCounts()
    end_at = time.monotonic() + run_s
    cpu_s = _read_cpu_s(pid)
    await asyncio.gather(
        *[
            _request_until(client, url, request_counts, end_at)
            for _ in range(callers)
        ]
    )
    cpu_s = _read_cpu_s(pid) - cpu_s
    succeeded = len(request_counts.latencies_s)
    return {
        'callers': callers,
        'requests_per_s': round(succeeded / run_s, 1),
        'p50_ms': round(
            statistics.median(request_counts.latencies_s) * _MS_PER_S, 2
        ),
        'entry_cpu_ms_per_request': round(cpu_s * _MS_PER_S / succeeded, 2),
        'entry_core_share': round(cpu_s / run_s, 2),
        'refused': request_counts.refused,
    }


async def _request_until(
    client: SimpleAsyncHTTPClient,
    url: str,
    request_counts: RequestCounts,
    end_at: float,
) -> None:
    while time.monotonic() < end_at:
        started = time.monotonic()
        answer = await client.fetch(
            f'{url}{ANSWER_PATH}',
            method='POST',
            body=_BODY,
            headers=_HEADERS,
            raise_error=False,
        )
        if answer.code == 200:
            request_counts.latencies_s.append(time.monotonic() - started)
        else:
            request_counts.refused += 1
            await asyncio.sleep(0.05)


async def _measure_direct(
    cluster: Cluster, client: SimpleAsyncHTTPClient
) -> float:
    """Return the median time of four calls in a row to an engine, in ms."""
    url = cluster.members_by_name['engine-0'].url
    seconds = []
    for _ in range(100):
        started = time.monotonic()
        for kind in _KINDS:
            await client.fetch(
                f'{url}/v1/stages/{kind}',
                method='POST',
                body=_STAGE_BODY,
                headers={'X-Request-Id': 'r', 'X-Stage': kind},
            )
        seconds.append(time.monotonic() - started)
    return round(statistics.median(seconds) * _MS_PER_S, 2)


def _read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description='Measure one entry.')
    parser.add_argument('--seconds', type=float, default=8)
    arguments = parser.parse_args()
    for row in asyncio.run(measure(arguments.seconds)):
        sys.stdout.write(f'{json.dumps(row)}\n')


if __name__ == '__main__':
    main()
