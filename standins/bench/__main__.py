"""``python -m standins.bench``: compares damaskpoint with a baseline."""

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

# Requests per second that a site's engines can serve of a profile's mix.
_CAPACITY_PER_S: Final = 98.0
_DEFAULT_ENTRIES: Final = 6
_DEFAULT_RUNS: Final = 3


def main() -> None:
    """Run the chosen experiments and print one table row per system."""
    arguments = _create_parser().parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    for name in arguments.scenario or list(SCENARIOS_BY_NAME):
        scenario = SCENARIOS_BY_NAME[name]
        results = asyncio.run(_run_all(scenario, arguments))
        _write_report(scenario, results, arguments.out)


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='standins.bench', description=__doc__)
    parser.add_argument(
        '--scenario',
        action='append',
        choices=sorted(SCENARIOS_BY_NAME),
        help='experiment to run; repeatable; default: all',
    )
    parser.add_argument(
        '--profile', choices=sorted(PROFILES_BY_NAME), default='lagos'
    )
    parser.add_argument(
        '--system',
        action='append',
        choices=sorted(MODULE_BY_SYSTEM),
        help='system to run; repeatable; default: both',
    )
    parser.add_argument('--entries', type=int, default=_DEFAULT_ENTRIES)
    parser.add_argument('--runs', type=int, default=_DEFAULT_RUNS)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--out', type=pathlib.Path, default=pathlib.Path('out'))
    return parser


async def _run_all(
    scenario: Scenario, arguments: argparse.Namespace
) -> list[Result]:
    """Alternate the systems, so that other load on the machine hits both."""
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


def _write_report(
    scenario: Scenario, results: list[Result], out: pathlib.Path
) -> None:
    path = out / f'{scenario.name}.json'
    reports = [{'system': result.system, **result.report} for result in results]
    path.write_text(json.dumps(reports, indent=2) + '\n', encoding='utf-8')
    curves: list[Curve] = []
    for system in MODULE_BY_SYSTEM:
        system_results = [
            result for result in results if result.system == system
        ]
        if not system_results:
            continue
        curves.append(Curve(system, system_results[0].seconds))
        sys.stdout.write(f'{_format_row(scenario, system, system_results)}\n')
        sys.stdout.flush()
    action_times_s = [action.at_s for action in scenario.zone_actions]
    plot_attainment(curves, action_times_s, out / f'{scenario.name}.png')


def _format_row(scenario: Scenario, system: str, results: list[Result]) -> str:
    """Return one table row; attainment as median and as range over runs.

    Verdicts, durations and cost are those of the last run.
    """
    attainments = [_read_float(result, 'attainment') for result in results]
    cost = [result.report['cost'] for result in results]
    columns = [
        scenario.name,
        system,
        f'{statistics.median(attainments):.3f}',
        f'{min(attainments):.3f}-{max(attainments):.3f}',
        _format_last(results, 'verdicts'),
        _format_last(results, 'whole_ms'),
        json.dumps(cost[-1]),
    ]
    return ' | '.join(columns)


def _format_last(results: list[Result], name: str) -> str:
    return json.dumps(results[-1].report[name])


def _read_float(result: Result, name: str) -> float:
    return float(str(result.report[name]))


if __name__ == '__main__':
    main()
