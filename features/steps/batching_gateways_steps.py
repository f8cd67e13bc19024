"""Steps for gateways that batch for each other."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import logging
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient

from features.support.gateway_site import (
    HOST,
    KEY,
    Site,
    find_free_port,
    run,
    until,
)
from standins.runner import RunnerState

if TYPE_CHECKING:
    from damaskpoint.gateway.runtime import GatewayRuntime

_LOST: Final = 'batching instance lost, ordering from the next one'
_DIRECT: Final = 'no batching instance, calling runners directly'
# The wording before there was a next one.
_OLD_LOST: Final = 'batching instance lost, calling runners directly'
_READY: Final = 'batching for runners'
# Time between the stop of a gateway and the start of its successor (seconds).
_STEP_S: Final = 0.5
_SMALL_MACHINE: Final = {'link_mbps': 10, 'cpu_share': 0.5}
_LARGE_MACHINE: Final = {'link_mbps': 200, 'cpu_share': 0.7, 'core_speed': 3}


class _Counting(logging.Handler):
    """Counts log lines by their message."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: collections.Counter[str] = collections.Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Count one line."""
        self.counts[record.getMessage()] += 1


class _Gateways:
    """The running gateways, and the answers to requests."""

    def __init__(self, site: Site) -> None:
        self.ports: list[int] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        self.tasks: list[asyncio.Task[None]] = []
        self.runtimes: list[GatewayRuntime] = []
        self.site = site
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Start another gateway; callers use it once it knows runners."""
        port = find_free_port()
        name = f'g-{next(self._numbers)}'
        runtime = self.site.create_peer(name, port, find_free_port())
        self.tasks.append(asyncio.ensure_future(runtime.run()))
        await until(lambda: runtime.catalog.configuration)
        await until(lambda: runtime.catalog.runners.usable('model'))
        self.runtimes.append(runtime)
        self.ports.append(port)

    def stop_oldest(self) -> None:
        """Begin the shutdown of the oldest gateway; callers leave it."""
        self.ports.pop(0)
        self.runtimes.pop(0).begin_shutdown()

    async def ask(self, number: int) -> None:
        """Send one request and count its status."""
        port = self.ports[number % len(self.ports)]
        reader, writer = await asyncio.open_connection(HOST, port)
        lines = (
            f'POST /staged/{number} HTTP/1.1',
            'Host: host-1',
            f'Authorization: Bearer {KEY}',
            f'Damaskpoint-Request-Id: request-{number}',
            'Damaskpoint-Pieces: 2,3',
            'Damaskpoint-Piece-Key: key',
            'Content-Length: 0',
            'Connection: close',
            '',
            '',
        )
        writer.write('\r\n'.join(lines).encode())
        status = await reader.readline()
        await reader.read()
        writer.close()
        self.statuses[status.split()[1].decode()] += 1


@given(
    '{count:d} gateways and {runners:d} runners of a stage with calls of'
    ' {call_s:g} s'
)
def start_gateways(
    context: Any, count: int, runners: int, call_s: float
) -> None:
    """Start them, and wait until each batches for the others."""
    site = Site()
    context.closers.append(site.stop)
    site.start_store()
    site.configure(1)
    for number in range(runners):
        state = RunnerState(f'stage-{number}', service_time_s=call_s)
        site.start_runner(state, 'stage')
    site.start_runner(RunnerState('model-1', events=1), 'model')
    context.log = _Counting()
    root = logging.getLogger()
    root.addHandler(context.log)
    context.closers.append(lambda: root.removeHandler(context.log))
    context.gateways = _Gateways(site)
    run(context, _start(context, count))


@given(
    '{count:d} gateways and {runners:d} runners of a stage with calls of'
    ' {call_s:g} s, the first one on a large machine'
)
def start_uneven_gateways(
    context: Any, count: int, runners: int, call_s: float
) -> None:
    """Start them with the limits of their machines."""
    context.has_large_machine = True
    start_gateways(context, count, runners, call_s)


@then('all gateways order from the first one')
def check_batcher(context: Any) -> None:
    """Send a request to each; only the first one then has a queue."""
    gateways = context.gateways
    for number, _ in enumerate(gateways.ports):
        run(context, gateways.ask(number))
    check_statuses(context)
    batching = [
        name
        for name, port in gateways.site.operator_ports_by_name.items()
        if run(context, _fetch_groups(port))
    ]
    assert batching == ['g-0'], batching


async def _fetch_groups(port: int) -> dict[str, Any]:
    """Return the groups with a queue at the gateway with this port."""
    answer = await AsyncHTTPClient().fetch(f'http://{HOST}:{port}/state')
    groups: dict[str, Any] = json.loads(answer.body)['stages']
    return groups


async def _start(context: Any, count: int) -> None:
    settings = context.gateways.site.settings
    for number in range(count):
        if getattr(context, 'has_large_machine', False):
            settings['limits'] = _SMALL_MACHINE if number else _LARGE_MACHINE
        await context.gateways.start()
    await until(lambda: context.log.counts[_READY] == count)


@when(
    'callers send POST /staged/ with the pieces "2,3" every {every_s:g} s while'
    ' each gateway is replaced by a new one'
)
def replace_gateways(context: Any, every_s: float) -> None:
    """Send requests all the time, and wait for their answers."""
    run(context, _replace(context.gateways, every_s))


async def _replace(gateways: _Gateways, every_s: float) -> None:
    requests: list[asyncio.Task[None]] = []
    load = asyncio.ensure_future(_send(gateways, requests, every_s))
    for _ in tuple(gateways.ports):
        await asyncio.sleep(_STEP_S)
        gateways.stop_oldest()
        await asyncio.sleep(_STEP_S)
        await gateways.start()
    await asyncio.sleep(_STEP_S)
    load.cancel()
    await asyncio.gather(*requests)
    while gateways.runtimes:
        gateways.stop_oldest()
    await asyncio.gather(*gateways.tasks)


async def _send(
    gateways: _Gateways, requests: list[asyncio.Task[None]], every_s: float
) -> None:
    while True:
        requests.append(asyncio.ensure_future(gateways.ask(len(requests))))
        await asyncio.sleep(every_s)


@then('all answers to the callers are 200')
def check_statuses(context: Any) -> None:
    """Show the counts by status."""
    assert set(context.gateways.statuses) == {'200'}, context.gateways.statuses


@then(
    'no order was lost and no runner was called without the batching instance'
)
def check_orders(context: Any) -> None:
    """Show the lines on orders."""
    counts = context.log.counts
    lost = {text: counts[text] for text in (_LOST, _OLD_LOST, _DIRECT)}
    assert not any(lost.values()), lost
