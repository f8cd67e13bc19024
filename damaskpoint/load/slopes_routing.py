"""Measures the cost of choosing an upstream by the number of upstreams.

Run it with ``python -m damaskpoint.load.slopes_routing``.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, Final

from damaskpoint.config.model import Configuration, Pool, PoolKind, Zone
from damaskpoint.load.slope import SizeRow
from damaskpoint.platform.base import ListedInstance, Presence
from damaskpoint.routing.base import CallEnd, CallReport, RouteQuery
from damaskpoint.routing.choice import TwoChoices
from damaskpoint.routing.directory import UpstreamDirectory
from damaskpoint.routing.ranks import EntryRanks
from damaskpoint.routing.report import LoadReport
from damaskpoint.routing.wiring import Identity, create_core, create_warmth
from damaskpoint.settings import RoutingOptions

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.routing.core import RoutingCore

SIZES: Final = (10, 100, 1_000, 6_600)

_ZONES: Final = 5
_COLD_LIMIT: Final = 1
_WARM_LIMIT: Final = 8
_CALLS: Final = 5_000
_PREFIXES: Final = 500
_US_PER_S: Final = 1_000_000
_BYTES_PER_KB: Final = 1_000
_START_S: Final = 100.0
_SERVICE_S: Final = 0.05
_POOL: Final = 'model-pool'


def measure(sizes: Sequence[int] = SIZES) -> list[SizeRow]:
    """Return the time of routing operations and memory by upstreams."""
    rows: list[SizeRow] = []
    for size in sizes:
        tracemalloc.start()
        core = _create_warm_core(size)
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append(
            SizeRow(
                size,
                {
                    'choose_and_release_us': _time_calls(core, 0),
                    'with_prefix_us': _time_calls(core, _PREFIXES),
                    'report_us': _time_reports(core),
                    'tick_us': _time_tick(core),
                    'memory_kb': memory_bytes / _BYTES_PER_KB,
                },
            )
        )
    return rows


def _create_warm_core(size: int) -> RoutingCore:
    options = RoutingOptions()
    directory = UpstreamDirectory()
    core = create_core(
        Identity('entry-1', 'zone-0', '1'),
        options,
        directory,
        EntryRanks('entry-1'),
        create_warmth(options),
        TwoChoices('zone-0', random.Random(1)),
    )
    directory.apply_configuration(_create_configuration(), _START_S)
    instances = []
    for index in range(size):
        instances.append(_create_instance(index))
    directory.apply_list(instances, _START_S)
    core.tick(_START_S)
    _report_all(core)
    return core


def _create_configuration() -> Configuration:
    zones = {}
    for number in range(_ZONES):
        name = f'zone-{number}'
        zones[name] = Zone(name, is_out=False)
    pool = Pool(
        _POOL,
        PoolKind.MODEL,
        _COLD_LIMIT,
        _WARM_LIMIT,
        checks_fencing=True,
        reports_load=True,
    )
    return Configuration(1, '', zones, {}, {_POOL: pool})


def _create_instance(index: int) -> ListedInstance:
    return ListedInstance(
        f'upstream-{index}',
        _POOL,
        f'zone-{index % _ZONES}',
        '127.0.0.1',
        1,
        0,
        1,
        Presence.LIVE,
    )


def _report_all(core: RoutingCore) -> None:
    report = LoadReport(1, is_warm=True, in_flight=0, limit=_WARM_LIMIT)
    for name in core.fleet.nodes_by_name:
        core.observations.apply_report(name, report, _START_S, _START_S)


def _time_calls(core: RoutingCore, prefixes: int) -> float:
    """Return microseconds per choice and release of an upstream."""
    report = CallReport(CallEnd.SUCCEEDED, _SERVICE_S, 1, is_warm=True)
    queries = []
    for number in range(max(1, prefixes)):
        prefix = str(number).encode() if prefixes else b''
        queries.append(_create_query(prefix))
    started = time.perf_counter()
    for call in range(_CALLS):
        ticket = core.try_acquire(queries[call % len(queries)], _START_S)
        if ticket is not None:
            core.release(ticket, report, _START_S)
    return (time.perf_counter() - started) / _CALLS * _US_PER_S


def _create_query(prefix: bytes) -> RouteQuery:
    deadline = _START_S * 2
    return RouteQuery('', _POOL, '', '', prefix, frozenset(), deadline)


def _time_reports(core: RoutingCore) -> float:
    """Return microseconds per load report."""
    started = time.perf_counter()
    _report_all(core)
    elapsed_s = time.perf_counter() - started
    return elapsed_s / len(core.fleet.nodes_by_name) * _US_PER_S


def _time_tick(core: RoutingCore) -> float:
    """Return microseconds for one tick that has nothing to do."""
    started = time.perf_counter()
    core.tick(_START_S)
    return (time.perf_counter() - started) * _US_PER_S


def main() -> None:
    """Print a line for each size."""
    for row in measure():
        figures = []
        for name, figure in row.figures_by_name.items():
            figures.append(f'{name}={figure:.1f}')
        sys.stdout.write(f'{row.size} {" ".join(figures)}\n')


if __name__ == '__main__':
    main()
