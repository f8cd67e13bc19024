"""A trial: a small deployment, traffic, drawn faults, and the checks."""

from __future__ import annotations

import asyncio
import random
import shutil
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from features.support import operators, sheets
from features.support.checker import check_all, count_codes, read_histories
from features.support.cluster import (
    ENTRY_MODULE,
    OPERATOR_PORT,
    Cluster,
    Sections,
)
from features.support.faults import draw_schedule, run_schedule, space_schedule
from features.support.launcher import ROOT
from features.support.traffic import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from features.support.faults import PlannedFault

    Operation = Coroutine[object, object, None]
    Operate = Callable[[Cluster, Traffic, random.Random], Operation]

_LIMIT_S: Final = 150.0
# Where the logs of failed trials are kept.
_KEPT: Final = ROOT / 'out' / 'trials'
_TRAFFIC_S: Final = 5.0
# Sheets up to this number can be applied.
_MODELS: Final = tuple(f'--model=model-{number}:1' for number in range(1, 9))
_ENTRY_SECTIONS: Final[Sections] = {'shutdown': {'notice_s': 0.6}}
_RECONCILER_SECTIONS: Final[Sections] = {
    'reconciler': {
        'operator_port': OPERATOR_PORT,
        'lease_s': 1.5,
        'lease_margin_s': 0.2,
        'order_timeout_s': 2,
        'state_poll_s': 0.3,
    }
}


@dataclass(frozen=True, slots=True)
class Promise:
    """What a trial sends, breaks and checks for one promise."""

    checks: tuple[str, ...]
    kinds: tuple[str, ...]
    faults: tuple[str, ...]
    requests: int = 40
    # Seconds over which requests and faults are spread.
    traffic_s: float = _TRAFFIC_S
    fault_count: int = 3
    cold_limit: int = 1
    engine_words: tuple[str, ...] = ('--starts=warm',)
    # What operators do during the traffic; None for nothing.
    operate: Operate | None = None
    # What runs on the system's instances, and its settings.
    module: str = ENTRY_MODULE
    sections: Sections = field(default_factory=lambda: _ENTRY_SECTIONS)
    has_models: bool = True
    # Whether relays stand in front of the engines.
    has_relays: bool = False
    # Whether callers go only to entries that say they are ready.
    heeds_readiness: bool = False


@dataclass(frozen=True, slots=True)
class TrialOptions:
    """Which trial is run, and over which entry."""

    promise: str
    seed: int
    # Module that runs in place of the promise's own; empty for none.
    module: str = ''
    words: tuple[str, ...] = ()
    # Faults to bring about instead of drawn ones, in this order.
    faults: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What came of a trial."""

    sent: int
    whole: int
    faults: list[PlannedFault]
    violations_by_check: dict[str, list[str]]
    # Number of final answers by code; '' for a whole one.
    counts_by_code: dict[str, int]

    @property
    def violations(self) -> list[str]:
        """Return all violations, with their checks."""
        return [
            f'{check}: {text}'
            for check, texts in self.violations_by_check.items()
            for text in texts
        ]


PROMISES: Final[dict[str, Promise]] = {
    'at most once': Promise(
        ('at most once', 'not run is true', 'same outcome', 'own answer'),
        ('order', 'service'),
        (
            'kill entry',
            'freeze entry',
            'lose writes',
            'stop table',
            'slow table',
            'kill service',
            'kill engine',
            'drop answers',
            'fail calls',
            'part entry',
        ),
    ),
    'own answers': Promise(
        ('own answer', 'own stages', 'one answer'),
        ('answer', 'stream'),
        (
            'cross answers',
            'delay answers',
            'drop answers',
            'cut streams',
            'fail calls',
            'kill engine',
            'kill entry',
            'freeze upstream',
            'cut wire',
            'cross wires',
        ),
        fault_count=5,
        has_relays=True,
    ),
    'cold start': Promise(
        ('cold start',),
        ('answer', 'stream'),
        (
            'return zone',
            'turn cold',
            'freeze entry',
            'slow table',
            'stop table',
            'kill engine',
            'kill entry',
            'part entry',
        ),
        requests=240,
        traffic_s=3 * _TRAFFIC_S,
        fault_count=8,
        engine_words=('--starts=cold', '--warm-after-s=4'),
    ),
    'zone out': Promise(
        ('zone out and leaving', 'own answer'),
        ('answer', 'stream'),
        (
            'freeze entry',
            'slow table',
            'kill entry',
            'cut streams',
            'fail calls',
            'stop platform',
            'part entry',
        ),
        requests=100,
        operate=operators.take_zone_out,
    ),
    'frozen entry': Promise(
        ('zone out and leaving', 'own answer'),
        ('answer',),
        (),
        requests=20,
        fault_count=0,
        operate=operators.freeze_through_change,
    ),
    'leaving upstream': Promise(
        ('zone out and leaving', 'own answer'),
        ('answer', 'stream'),
        (
            'freeze entry',
            'kill entry',
            'cut streams',
            'fail calls',
            'part entry',
        ),
        requests=100,
        operate=operators.let_upstream_leave,
    ),
    'accepted configuration': Promise(
        ('accepted configuration',),
        ('answer',),
        (
            'lose writes',
            'slow table',
            'freeze entry',
            'kill entry',
            'part entry',
        ),
        requests=20,
        operate=operators.apply_sheets,
    ),
    'start in an outage': Promise(
        ('accepted configuration', 'own answer'),
        ('answer',),
        (),
        requests=20,
        fault_count=0,
        operate=operators.replace_in_outage,
    ),
    'graceful shutdown': Promise(
        ('graceful shutdown', 'own answer', 'one answer', 'at most once'),
        ('stream', 'stream', 'answer', 'order', 'service'),
        ('slow table', 'delay answers', 'lose writes'),
        requests=60,
        fault_count=2,
        engine_words=('--starts=warm', '--token-ms=40'),
        operate=operators.replace_entries,
        heeds_readiness=True,
    ),
    'orders to engines': Promise(
        ('orders to engines', 'fleet in line'),
        (),
        (
            'freeze entry',
            'freeze entry',
            'kill entry',
            'lose writes',
            'slow table',
            'stop table',
        ),
        requests=0,
        fault_count=4,
        engine_words=('--starts=warm', '--ignores-fencing', '--load-s=0.3'),
        operate=operators.order_sheets,
        module='damaskpoint.main.reconciler',
        sections=_RECONCILER_SECTIONS,
        has_models=False,
    ),
    'overtaken holder': Promise(
        ('orders to engines', 'fleet in line'),
        (),
        (),
        requests=0,
        fault_count=0,
        engine_words=('--starts=warm', '--ignores-fencing', '--load-s=0.3'),
        operate=operators.overtake_holder,
        module='damaskpoint.main.reconciler',
        sections=_RECONCILER_SECTIONS,
        has_models=False,
    ),
}


async def run_trial(options: TrialOptions) -> TrialResult:
    """Run one trial from its seed; everything is ended afterwards."""
    promise = PROMISES[options.promise]
    draw = random.Random(f'{options.promise} {options.seed}')
    cluster = Cluster(
        sections=promise.sections,
        entry_module=options.module or promise.module,
        entry_words=options.words,
    )
    try:
        result = await asyncio.wait_for(
            _run(cluster, promise, draw, options.faults), _LIMIT_S
        )
        if result.violations and not options.module:
            _keep_folder(cluster, options)
        return result
    finally:
        cluster.close()


def _keep_folder(cluster: Cluster, options: TrialOptions) -> None:
    """Keep logs and histories of a trial of the product that failed."""
    name = f'{options.promise}-{options.seed}-{time.time_ns()}'
    kept = _KEPT / name.replace(' ', '-')
    shutil.copytree(cluster.launcher.folder, kept)
    sys.stdout.write(f'logs and histories are in {kept}\n')


async def _run(
    cluster: Cluster,
    promise: Promise,
    draw: random.Random,
    chosen: tuple[str, ...],
) -> TrialResult:
    await start_deployment(cluster, draw, promise)
    traffic = Traffic(cluster, draw, promise.heeds_readiness)
    await traffic.look()
    watching = asyncio.ensure_future(traffic.watch())
    faults = draw_schedule(
        draw, promise.faults, promise.fault_count, promise.traffic_s
    )
    if chosen:
        faults = space_schedule(chosen, promise.traffic_s)
    works = [
        traffic.run(promise.kinds, promise.requests, promise.traffic_s),
        run_schedule(cluster, draw, faults),
    ]
    if promise.operate is not None:
        works.append(promise.operate(cluster, traffic, draw))
    await asyncio.gather(*works)
    await traffic.finish()
    watching.cancel()
    events = read_histories(cluster.launcher.folder)
    found = check_all(events, sheets.PLAN, promise.checks)
    return TrialResult(
        traffic.sent, traffic.whole, faults, found, count_codes(events)
    )


async def start_deployment(
    cluster: Cluster, draw: random.Random, promise: Promise
) -> None:
    """Start three engines, two services and two or three entries."""
    await cluster.start_platform()
    await asyncio.gather(*_start_upstreams(cluster, promise))
    if promise.has_relays:
        for member in list(cluster.members_by_name.values()):
            member.listed_host = await cluster.add_relay(
                member.name, member.host, member.port
            )
    names = ('entry-1', 'entry-2', 'entry-3')[: draw.randint(2, 3)]
    for entry, zone in zip(names, sheets.ZONES, strict=False):
        await cluster.add_entry(entry, zone)
    options = sheets.SheetOptions(
        cold_limit=promise.cold_limit, checks_fencing=promise.has_models
    )
    status = await cluster.apply(options, '--wait-s=0')
    assert status in {0, 7}, status
    cluster.operator.record('accepted', number=1)
    waiting = [cluster.wait_entry(waited) for waited in names]
    await asyncio.gather(*waiting)


def _start_upstreams(
    cluster: Cluster, promise: Promise
) -> list[Coroutine[object, object, object]]:
    limit = f'--cold-limit={promise.cold_limit}'
    starting = []
    for number, zone in enumerate(sheets.ZONES, 1):
        place = (f'engine-{number}', sheets.MODEL_POOL, zone)
        models = _MODELS if promise.has_models else ()
        words = (limit, *models, *promise.engine_words)
        starting.append(cluster.add_upstream('engine', *place, *words))
    for position, service_zone in enumerate(sheets.ZONES[:2], 1):
        place = (f'service-{position}', sheets.SERVICE_POOL, service_zone)
        words = (limit, '--starts=warm')
        starting.append(cluster.add_upstream('service', *place, *words))
    return list(starting)
