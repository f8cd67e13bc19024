"""``python -m standins.bench``: experiments, side by side with a baseline."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
from typing import Final

from damaskpoint.load.plots import Curve, plot_attainment
from damaskpoint.load.profiles import PROFILES_BY_NAME
from standins.bench.addresses import pick_base_host
from standins.bench.deployment import MODULE_BY_SYSTEM, DeploymentOptions
from standins.bench.experiment import Result, run_experiment
from standins.bench.scenarios import SCENARIOS_BY_NAME, Scenario

# What the engines of a site serve of a profile's mix (requests a second).
_CAPACITY_PER_S: Final = 98.0
_ENTRIES: Final = 6
_RUNS: Final = 3


def main() -> None:
    """Run the experiments and print a table."""
    arguments = _create_parser().parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    for name in arguments.scenario or list(SCENARIOS_BY_NAME):
        scenario = SCENARIOS_BY_NAME[name]
        results = asyncio.run(_run_all(scenario, arguments))
        _report(scenario, results, arguments.out)


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='standins.bench', description=__doc__)
    parser.add_argument(
        '--scenario',
        action='append',
        choices=sorted(SCENARIOS_BY_NAME),
        help='which experiment; repeat it; all by default',
    )
    parser.add_argument(
        '--profile', choices=sorted(PROFILES_BY_NAME), default='lagos'
    )
    parser.add_argument(
        '--system',
        action='append',
        choices=sorted(MODULE_BY_SYSTEM),
        help='which system; repeat it; both by default',
    )
    parser.add_argument('--entries', type=int, default=_ENTRIES)
    parser.add_argument('--runs', type=int, default=_RUNS)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--out', type=pathlib.Path, default=pathlib.Path('out'))
    return parser


async def _run_all(
    scenario: Scenario, arguments: argparse.Namespace
) -> list[Result]:
    """Alternate the systems, so that a busy machine meets both."""
    results: list[Result] = []
    systems = arguments.system or list(MODULE_BY_SYSTEM)
    for number in range(arguments.runs):
        for system in systems:
            with tempfile.TemporaryDirectory() as folder:
                options = DeploymentOptions(
                    profile=arguments.profile,
                    system=system,
                    entries=arguments.entries,
                    base_host=pick_base_host(),
                    folder=pathlib.Path(folder),
                )
                results.append(
                    await run_experiment(
                        scenario,
                        options,
                        _CAPACITY_PER_S,
                        arguments.seed + number,
                    )
                )
    return results


def _report(
    scenario: Scenario, results: list[Result], out: pathlib.Path
) -> None:
    path = out / f'{scenario.name}.json'
    reports = [{'system': result.system, **result.report} for result in results]
    path.write_text(json.dumps(reports, indent=2) + '\n', encoding='utf-8')
    curves: list[Curve] = []
    for system in MODULE_BY_SYSTEM:
        own = [result for result in results if result.system == system]
        if not own:
            continue
        curves.append(Curve(system, own[0].seconds))
        sys.stdout.write(f'{_describe(scenario, system, own)}\n')
        sys.stdout.flush()
    marks_s = [action.at_s for action in scenario.zone_actions]
    plot_attainment(curves, marks_s, out / f'{scenario.name}.png')


def _describe(scenario: Scenario, system: str, results: list[Result]) -> str:
    """Return one line of a table: medians, with the spread."""
    attained = [_number(result, 'attainment') for result in results]
    cost = [result.report['cost'] for result in results]
    cells = [
        scenario.name,
        system,
        f'{statistics.median(attained):.3f}',
        f'{min(attained):.3f}-{max(attained):.3f}',
        _describe_last(results, 'verdicts'),
        _describe_last(results, 'whole_ms'),
        json.dumps(cost[-1]),
    ]
    return ' | '.join(cells)


def _describe_last(results: list[Result], name: str) -> str:
    return json.dumps(results[-1].report[name])


def _number(result: Result, name: str) -> float:
    return float(str(result.report[name]))


if __name__ == '__main__':
    main()
