"""The command line of ``damaskpoint-load``: runs a load, writes a report."""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import random
import sys
from typing import TYPE_CHECKING, Final

from damaskpoint.errors import Failure
from damaskpoint.load.arrivals import LoadShape, plan_arrivals
from damaskpoint.load.plots import Curve, plot_attainment
from damaskpoint.load.profiles import PROFILES_BY_NAME
from damaskpoint.load.runner import Plan, RunResult, run_plan
from damaskpoint.load.script import Step, load_script
from damaskpoint.load.summary import count_by_second, summarize

if TYPE_CHECKING:
    import argparse

EXIT_DONE: Final = 0
EXIT_BAD_INPUT: Final = 2

_RATE_PER_S: Final = 20
_DURATION_S: Final = 10


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of the load tool to a parser."""
    parser.add_argument(
        '--entry',
        action='append',
        required=True,
        metavar='URL',
        help='base URL of an entry; may be repeated',
    )
    parser.add_argument(
        '--profile',
        choices=sorted(PROFILES_BY_NAME),
        default='lagos',
        help='deployment whose traffic is generated',
    )
    _add_load_shape(parser)
    parser.add_argument(
        '--script',
        type=pathlib.Path,
        help='JSON5 list of timed faults: at_s, method, url, body',
    )
    parser.add_argument(
        '--report', type=pathlib.Path, help='file for the JSON report'
    )
    parser.add_argument(
        '--plot',
        type=pathlib.Path,
        help='PNG file for a plot of attainment over time',
    )


def _add_load_shape(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--rate', type=float, default=_RATE_PER_S, help='requests per second'
    )
    parser.add_argument(
        '--duration',
        type=float,
        default=_DURATION_S,
        help='length of the load in seconds',
    )
    parser.add_argument(
        '--burst-every',
        type=float,
        default=0,
        help='seconds between bursts; 0 for none',
    )
    parser.add_argument(
        '--burst-length',
        type=float,
        default=1,
        help='seconds',
    )
    parser.add_argument(
        '--burst-factor', type=float, default=3, help='multiple of the rate'
    )
    parser.add_argument(
        '--seed', type=int, default=1, help='random seed; a seed fixes the load'
    )


def run_command(arguments: argparse.Namespace) -> int:
    """Run the load, write the report and return the exit status."""
    logging.basicConfig(level=logging.WARNING)
    steps: list[Step] | Failure = []
    if arguments.script:
        steps = load_script(arguments.script)
    if isinstance(steps, Failure):
        sys.stderr.write(f'{steps.code.value}: {steps.detail}\n')
        return EXIT_BAD_INPUT
    plan = _create_plan(arguments, steps)
    run = asyncio.run(run_plan(plan))
    _write_report(arguments, plan, run)
    return EXIT_DONE


def _create_plan(arguments: argparse.Namespace, steps: list[Step]) -> Plan:
    profile = PROFILES_BY_NAME[arguments.profile]
    shape = LoadShape(
        rate_per_s=arguments.rate,
        duration_s=arguments.duration,
        burst_every_s=arguments.burst_every,
        burst_length_s=arguments.burst_length,
        burst_factor=arguments.burst_factor,
    )
    # Not used for security: the seed makes runs reproducible.
    rng = random.Random(arguments.seed)
    return Plan(
        profile=profile,
        arrivals=plan_arrivals(profile, shape, rng),
        entry_urls=tuple(arguments.entry),
        steps=tuple(steps),
    )


def _write_report(
    arguments: argparse.Namespace, plan: Plan, run: RunResult
) -> None:
    seconds = count_by_second(run.samples)
    report = summarize(run.samples)
    report['seed'] = arguments.seed
    report['worst_send_delay_s'] = round(run.worst_send_delay_s, 3)
    report['by_second'] = [
        [second.at_s, second.offered, second.whole] for second in seconds
    ]
    text = json.dumps(report, indent=2)
    if arguments.report:
        arguments.report.write_text(text + '\n', encoding='utf-8')
    else:
        sys.stdout.write(text + '\n')
    if arguments.plot:
        fault_times_s = [step.at_s for step in plan.steps]
        curve = Curve(plan.profile.name, seconds)
        plot_attainment([curve], fault_times_s, arguments.plot)
