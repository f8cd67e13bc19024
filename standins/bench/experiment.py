"""Runs one scenario against one system and collects the measurements."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.load.arrivals import LoadShape, plan_arrivals
from damaskpoint.load.model import Verdict
from damaskpoint.load.profiles import PROFILES_BY_NAME
from damaskpoint.load.runner import Plan, RunResult, run_plan
from damaskpoint.load.script import Step
from damaskpoint.load.summary import SecondCounts, count_by_second, summarize
from standins.bench.cost import read_cost
from standins.bench.deployment import (
    Deployment,
    DeploymentOptions,
    run_sheet,
    start_deployment,
    stop_deployment,
)

if TYPE_CHECKING:
    from standins.bench.scenarios import Scenario, SheetStep

_BURST_EVERY_S: Final = 5.0
_SETTLE_S: Final = 3.0


@final
@dataclass(frozen=True, slots=True)
class Result:
    """The measurements of one run."""

    system: str
    report: dict[str, object]
    seconds: tuple[SecondCounts, ...]


async def run_experiment(
    scenario: Scenario,
    options: DeploymentOptions,
    rate_per_s: float,
    seed: int,
) -> Result:
    """Run the scenario's load against a new deployment, then stop it."""
    deployment = await start_deployment(options)
    # Load reports and gossip need this time to reach every entry.
    await asyncio.sleep(_SETTLE_S)
    try:
        run = await _offer_load(scenario, deployment, rate_per_s, seed)
    finally:
        await stop_deployment(deployment)
    return _collect_result(options, deployment, run)


async def _offer_load(
    scenario: Scenario, deployment: Deployment, rate_per_s: float, seed: int
) -> RunResult:
    profile = PROFILES_BY_NAME[deployment.options.profile]
    shape = LoadShape(
        rate_per_s=rate_per_s * scenario.load,
        duration_s=scenario.duration_s,
        burst_every_s=_BURST_EVERY_S if scenario.burst_factor > 1 else 0,
        burst_factor=scenario.burst_factor,
    )
    # A seed makes runs comparable; no security depends on it.
    arrivals = plan_arrivals(profile, shape, random.Random(seed))
    plan = Plan(
        profile=profile,
        arrivals=arrivals,
        entry_urls=deployment.entry_urls,
        steps=tuple(_create_steps(scenario, deployment)),
    )
    sheet_task = asyncio.ensure_future(_run_sheet_steps(scenario, deployment))
    run = await run_plan(plan)
    await sheet_task
    return run


async def _run_sheet_steps(scenario: Scenario, deployment: Deployment) -> None:
    """Run each command of the sheet tool at its time."""
    started = time.monotonic()
    for step in scenario.sheet_steps:
        await asyncio.sleep(max(0, started + step.at_s - time.monotonic()))
        await _run_sheet_step(step, scenario, deployment)


async def _run_sheet_step(
    step: SheetStep, scenario: Scenario, deployment: Deployment
) -> None:
    zone = _zone_name(deployment, scenario.zone)
    await run_sheet(deployment, *step.arguments, zone, '--wait-s', '0')


def _create_steps(scenario: Scenario, deployment: Deployment) -> list[Step]:
    steps: list[Step] = []
    for control in scenario.zone_controls:
        zone = _zone_name(deployment, control.zone)
        for url in deployment.urls_in_zone(zone):
            steps.append(
                Step(
                    at_s=control.at_s,
                    url=f'{url}/control',
                    body=control.control,
                )
            )
    for action in scenario.zone_actions:
        zone = _zone_name(deployment, action.zone)
        steps.append(
            Step(
                at_s=action.at_s,
                url=f'{deployment.platform_url}/control/site',
                body={'zone': zone, 'action': action.action},
            )
        )
    for fault in scenario.platform_controls:
        target = f'{deployment.platform_url}/control/faults'
        steps.append(Step(at_s=fault.at_s, url=target, body=fault.faults))
    return sorted(steps, key=lambda step: step.at_s)


def _zone_name(deployment: Deployment, position: int) -> str:
    """Return the zone at a position, ordered by each zone's first upstream."""
    zones: list[str] = []
    for upstream in deployment.upstreams:
        zone = str(upstream['zone'])
        if zone not in zones:
            zones.append(zone)
    return zones[position]


def _collect_result(
    options: DeploymentOptions, deployment: Deployment, run: RunResult
) -> Result:
    whole_answer_ids = frozenset(
        sample.request_id
        for sample in run.samples
        if sample.verdict is Verdict.WHOLE
    )
    report = summarize(run.samples)
    cost = read_cost(deployment.history_folder, whole_answer_ids)
    report['cost'] = cost.as_json()
    report['worst_send_delay_s'] = round(run.worst_send_delay_s, 3)
    return Result(options.system, report, count_by_second(run.samples))
