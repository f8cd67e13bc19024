"""Runs many trials with random faults and prints the totals.

``python -m features.long_run --schedules N --seed S [--promise NAME]``;
an interrupt cancels the running trials and prints the totals so far.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import signal
import sys
import time
from typing import Final

from features.support.trials import (
    PROMISES,
    TrialOptions,
    TrialResult,
    run_trial,
)

_CONCURRENT_TRIALS: Final = 2
# Violations printed for each trial; all are counted.
_MAX_PRINTED: Final = 4


def main() -> int:
    """Run the trials; return 1 if one had violations or failed."""
    arguments = _create_parser().parse_args()
    return asyncio.run(_run(arguments))


async def _run(arguments: argparse.Namespace) -> int:
    names = [arguments.promise] if arguments.promise else list(PROMISES)
    planned = [
        TrialOptions(names[number % len(names)], arguments.seed + number)
        for number in range(arguments.schedules)
    ]
    totals = Totals()
    slots = asyncio.Semaphore(arguments.at_once)
    trials = [_run_one(options, totals, slots) for options in planned]
    running = asyncio.gather(*trials)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, running.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await running
    totals.print_totals(arguments.seed, arguments.schedules)
    return 1 if totals.violation_count or totals.failed else 0


async def _run_one(
    options: TrialOptions, totals: Totals, slots: asyncio.Semaphore
) -> None:
    async with slots:
        started_at = time.monotonic()
        try:
            result = await run_trial(options)
        except Exception as error:
            totals.add_failure(options, error)
            return
        totals.add(options, result, time.monotonic() - started_at)


class Totals:
    """Counts over all trials, by promise."""

    def __init__(self) -> None:
        """Set all counts to 0."""
        self.violation_count = 0
        self.failed = 0
        self._schedules: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()
        self._complete: collections.Counter[str] = collections.Counter()
        self._violations: collections.Counter[str] = collections.Counter()

    def add(
        self, options: TrialOptions, result: TrialResult, seconds: float
    ) -> None:
        """Count a completed trial and print its result."""
        name = options.promise
        self._schedules[name] += 1
        self._sent[name] += result.sent
        self._complete[name] += result.complete
        self._violations[name] += len(result.violations)
        self.violation_count += len(result.violations)
        faults = ', '.join(fault.name for fault in result.faults)
        _print(
            f'{name}, seed {options.seed}: {result.sent} requests, '
            f'{result.complete} complete, {len(result.violations)} violations, '
            f'{seconds:.1f} s [{faults}] {result.counts_by_code}'
        )
        for violation in result.violations[:_MAX_PRINTED]:
            _print(f'  {violation}')

    def add_failure(self, options: TrialOptions, error: Exception) -> None:
        """Count a trial that raised an error, and print the error."""
        self.failed += 1
        _print(f'{options.promise}, seed {options.seed}: FAILED {error!r}')

    def print_totals(self, seed: int, planned: int) -> None:
        """Print the totals by promise."""
        ran = self._schedules.total() + self.failed
        _print(f'seed {seed}, {planned - ran} schedules not run')
        for name, count in self._schedules.items():
            _print(
                f'{name}: {count} schedules, {self._sent[name]} requests, '
                f'{self._complete[name]} complete, '
                f'{self._violations[name]} violations'
            )
        _print(
            f'total: {self._schedules.total()} schedules, '
            f'{self._sent.total()} requests, '
            f'{self.violation_count} violations, '
            f'{self.failed} not run to their end'
        )


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='features.long_run')
    parser.add_argument('--schedules', type=int, default=len(PROMISES))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--promise', choices=tuple(PROMISES), default='')
    parser.add_argument(
        '--at-once',
        type=int,
        default=_CONCURRENT_TRIALS,
        help='trials at a time',
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
