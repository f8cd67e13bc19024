"""Trials: a small deployment under traffic and random faults, then checks.

A promise is a guarantee of the system that a trial checks.
"""

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
from features.support.faults import (
    create_even_schedule,
    draw_schedule,
    run_schedule,
)
from features.support.launcher import ROOT
from features.support.traffic import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from features.support.faults import PlannedFault

    Operation = Coroutine[object, object, None]
    Operate = Callable[[Cluster, Traffic, random.Random], Operation]

_TRIAL_TIMEOUT_S: Final = 150.0
# Folder for the logs and histories of trials with violations.
_SAVED_TRIALS: Final = ROOT / 'out' / 'trials'
_TRAFFIC_S: Final = 5.0
# The engines serve these models, so sheets up to number 8 can be applied.
_MODEL_ARGUMENTS: Final = tuple(
    f'--model=model-{number}:1' for number in range(1, 9)
)
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
    """The traffic, faults and checks of a trial of one guarantee."""

    checks: tuple[str, ...]
    kinds: tuple[str, ...]
    faults: tuple[str, ...]
    requests: int = 40
    # Seconds over which requests and faults are spread.
    traffic_s: float = _TRAFFIC_S
    fault_count: int = 3
    cold_limit: int = 1
    engine_arguments: tuple[str, ...] = ('--starts=warm',)
    # Operation that runs beside the traffic; None for none.
    operate: Operate | None = None
    # Module that runs as the entries, and its settings.
    module: str = ENTRY_MODULE
    sections: Sections = field(default_factory=lambda: _ENTRY_SECTIONS)
    # Whether engines start with all models and the pool checks fencing
    # numbers; otherwise reconcilers have to order the models.
    has_models: bool = True
    # Whether relays stand in front of the engines.
    has_relays: bool = False
    # Whether callers choose only entries that report to be ready.
    respects_readiness: bool = False


@dataclass(frozen=True, slots=True)
class TrialOptions:
    """Selects a trial, and the module that runs as its entries."""

    promise: str
    seed: int
    # Replaces the module of the promise; empty to use that one.
    module: str = ''
    arguments: tuple[str, ...] = ()
    # Faults injected instead of random ones, in this order.
    faults: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TrialResult:
    """The result of a trial."""

    # Number of requests sent, and of complete answers to them.
    sent: int
    complete: int
    faults: list[PlannedFault]
    violations_by_check: dict[str, list[str]]
    # Number of requests by error code; '' for complete answers.
    counts_by_code: dict[str, int]

    @property
    def violations(self) -> list[str]:
        """Return all violations, each with the name of its check."""
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
        engine_arguments=('--starts=cold', '--warm-after-s=4'),
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
        operate=operators.mark_upstream_leaving,
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
        engine_arguments=('--starts=warm', '--token-ms=40'),
        operate=operators.replace_entries,
        respects_readiness=True,
    ),
    'orders to engines': Promise(
        ('orders to engines', 'engines converged'),
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
        engine_arguments=('--starts=warm', '--ignores-fencing', '--load-s=0.3'),
        operate=operators.reconcile_sheets,
        module='damaskpoint.main.reconciler',
        sections=_RECONCILER_SECTIONS,
        has_models=False,
    ),
    'overtaken holder': Promise(
        ('orders to engines', 'engines converged'),
        (),
        (),
        requests=0,
        fault_count=0,
        engine_arguments=('--starts=warm', '--ignores-fencing', '--load-s=0.3'),
        operate=operators.overtake_holder,
        module='damaskpoint.main.reconciler',
        sections=_RECONCILER_SECTIONS,
        has_models=False,
    ),
}


async def run_trial(options: TrialOptions) -> TrialResult:
    """Run one trial from its seed, then stop all of its processes."""
    promise = PROMISES[options.promise]
    rng = random.Random(f'{options.promise} {options.seed}')
    cluster = Cluster(
        sections=promise.sections,
        entry_module=options.module or promise.module,
        entry_arguments=options.arguments,
    )
    try:
        result = await asyncio.wait_for(
            _run(cluster, promise, rng, options.faults), _TRIAL_TIMEOUT_S
        )
        if result.violations and not options.module:
            _save_folder(cluster, options)
        return result
    finally:
        cluster.close()


def _save_folder(cluster: Cluster, options: TrialOptions) -> None:
    """Copy the logs and histories of a trial out of its temporary folder."""
    name = f'{options.promise}-{options.seed}-{time.time_ns()}'
    saved = _SAVED_TRIALS / name.replace(' ', '-')
    shutil.copytree(cluster.launcher.folder, saved)
    sys.stdout.write(f'logs and histories saved in {saved}\n')


async def _run(
    cluster: Cluster,
    promise: Promise,
    rng: random.Random,
    fixed_faults: tuple[str, ...],
) -> TrialResult:
    await start_deployment(cluster, rng, promise)
    traffic = Traffic(cluster, rng, promise.respects_readiness)
    await traffic.check_readiness()
    readiness_watch = asyncio.ensure_future(traffic.watch())
    faults = draw_schedule(
        rng, promise.faults, promise.fault_count, promise.traffic_s
    )
    if fixed_faults:
        faults = create_even_schedule(fixed_faults, promise.traffic_s)
    activities = [
        traffic.run(promise.kinds, promise.requests, promise.traffic_s),
        run_schedule(cluster, rng, faults),
    ]
    if promise.operate is not None:
        activities.append(promise.operate(cluster, traffic, rng))
    await asyncio.gather(*activities)
    await traffic.finish()
    readiness_watch.cancel()
    events = read_histories(cluster.launcher.folder)
    violations_by_check = check_all(events, sheets.WORKLOAD, promise.checks)
    return TrialResult(
        traffic.sent,
        traffic.complete,
        faults,
        violations_by_check,
        count_codes(events),
    )


async def start_deployment(
    cluster: Cluster, rng: random.Random, promise: Promise
) -> None:
    """Start three engines, two services and two or three entries."""
    await cluster.start_platform()
    await asyncio.gather(*_start_upstreams(cluster, promise))
    if promise.has_relays:
        for member in list(cluster.members_by_name.values()):
            member.advertised_host = await cluster.add_relay(
                member.name, member.host, member.port
            )
    names = ('entry-1', 'entry-2', 'entry-3')[: rng.randint(2, 3)]
    for entry, zone in zip(names, sheets.ZONES, strict=False):
        await cluster.add_entry(entry, zone)
    options = sheets.SheetOptions(
        cold_limit=promise.cold_limit, checks_fencing=promise.has_models
    )
    status = await cluster.apply(options, '--wait-s=0')
    assert status in {0, 7}, status
    cluster.operator.record('accepted', number=1)
    waiting = [cluster.wait_entry(entry_name) for entry_name in names]
    await asyncio.gather(*waiting)


def _start_upstreams(
    cluster: Cluster, promise: Promise
) -> list[Coroutine[object, object, object]]:
    limit_argument = f'--cold-limit={promise.cold_limit}'
    starts = []
    for number, zone in enumerate(sheets.ZONES, 1):
        location = (f'engine-{number}', sheets.MODEL_POOL, zone)
        model_arguments = _MODEL_ARGUMENTS if promise.has_models else ()
        arguments = (
            limit_argument,
            *model_arguments,
            *promise.engine_arguments,
        )
        starts.append(cluster.add_upstream('engine', *location, *arguments))
    for position, service_zone in enumerate(sheets.ZONES[:2], 1):
        location = (f'service-{position}', sheets.SERVICE_POOL, service_zone)
        arguments = (limit_argument, '--starts=warm')
        starts.append(cluster.add_upstream('service', *location, *arguments))
    return list(starts)
