"""Runs many trials with drawn faults and prints the totals.

``python -m features.long_run --schedules N --seed S [--promise NAME]``;
an interrupt ends the trials that run and prints the totals so far.
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

_AT_ONCE: Final = 2
# Violations of one trial that are printed; all are counted.
_SHOWN: Final = 4


def main() -> int:
    """Run the trials; the exit status is 1 if a promise was broken."""
    arguments = _create_parser().parse_args()
    return asyncio.run(_run(arguments))


async def _run(arguments: argparse.Namespace) -> int:
    names = [arguments.promise] if arguments.promise else list(PROMISES)
    planned = [
        TrialOptions(names[number % len(names)], arguments.seed + number)
        for number in range(arguments.schedules)
    ]
    totals = Totals()
    free = asyncio.Semaphore(arguments.at_once)
    works = [_run_one(options, totals, free) for options in planned]
    running = asyncio.gather(*works)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, running.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await running
    totals.show(arguments.seed, arguments.schedules)
    return 1 if totals.violated or totals.failed else 0


async def _run_one(
    options: TrialOptions, totals: Totals, free: asyncio.Semaphore
) -> None:
    async with free:
        started_at = time.monotonic()
        try:
            result = await run_trial(options)
        except Exception as error:
            totals.fail(options, error)
            return
        totals.add(options, result, time.monotonic() - started_at)


class Totals:
    """The counts of all trials."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.violated = 0
        self.failed = 0
        self._schedules: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()
        self._whole: collections.Counter[str] = collections.Counter()
        self._violations: collections.Counter[str] = collections.Counter()

    def add(
        self, options: TrialOptions, result: TrialResult, seconds: float
    ) -> None:
        """Count a trial that ran, and print it."""
        name = options.promise
        self._schedules[name] += 1
        self._sent[name] += result.sent
        self._whole[name] += result.whole
        self._violations[name] += len(result.violations)
        self.violated += len(result.violations)
        faults = ', '.join(fault.name for fault in result.faults)
        _print(
            f'{name}, seed {options.seed}: {result.sent} requests, '
            f'{result.whole} whole, {len(result.violations)} violations, '
            f'{seconds:.1f} s [{faults}] {result.counts_by_code}'
        )
        for violation in result.violations[:_SHOWN]:
            _print(f'  {violation}')

    def fail(self, options: TrialOptions, error: Exception) -> None:
        """Count a trial that could not be run to its end."""
        self.failed += 1
        _print(f'{options.promise}, seed {options.seed}: FAILED {error!r}')

    def show(self, seed: int, planned: int) -> None:
        """Print the totals by promise."""
        ran = self._schedules.total() + self.failed
        _print(f'seed {seed}, {planned - ran} schedules not run')
        for name, count in self._schedules.items():
            _print(
                f'{name}: {count} schedules, {self._sent[name]} requests, '
                f'{self._whole[name]} whole, '
                f'{self._violations[name]} violations'
            )
        _print(
            f'total: {self._schedules.total()} schedules, '
            f'{self._sent.total()} requests, {self.violated} violations, '
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
        '--at-once', type=int, default=_AT_ONCE, help='trials at a time'
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
