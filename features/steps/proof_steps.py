"""Steps that run trials of a promise, with or without a guard."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import replace
from typing import Any

from behave import given, then, when

from features.support.trials import TrialOptions, TrialResult, run_trial

_UNGUARDED = 'features.support.unguarded'


@given('a trial of the promise "{promise}"')
def plan_trial(context: Any, promise: str) -> None:
    """Prepare a trial of the unmodified product."""
    context.trial = TrialOptions(promise, 0)


@given('its processes run without the guard "{guard}"')
def drop_guard(context: Any, guard: str) -> None:
    """Run the processes with one guard removed."""
    context.trial = replace(
        context.trial,
        module=_UNGUARDED,
        arguments=(f'--unguard={guard}',),
    )


@given('these faults, in this order')
def choose_faults(context: Any) -> None:
    """Inject the faults of the table instead of random ones."""
    names = tuple(row['fault'] for row in context.table)
    context.trial = replace(context.trial, faults=names)


@when('the trial runs with the seed {seed:d}')
def run_one(context: Any, seed: int) -> None:
    """Run the trial and print its result."""
    _run(context, (seed,))


@when('the trial runs concurrently with the seeds {first:d} and {second:d}')
def run_two(context: Any, first: int, second: int) -> None:
    """Run the trial with two seeds, each with processes of its own."""
    _run(context, (first, second))


def _run(context: Any, seeds: tuple[int, ...]) -> None:
    async def run_all() -> list[TrialResult]:
        trials = [replace(context.trial, seed=seed) for seed in seeds]
        return await asyncio.gather(*[run_trial(trial) for trial in trials])

    context.results = context.loop.run_until_complete(run_all())
    for seed, result in zip(seeds, context.results, strict=True):
        sys.stdout.write(
            f'{context.trial.promise}, seed {seed}: {result.sent} requests, '
            f'{result.complete} complete, {len(result.violations)} violations\n'
        )


@then('the check "{check}" finds a violation')
def check_violation(context: Any, check: str) -> None:
    """Assert that the check fails, and print its first violation."""
    for result in context.results:
        violations = result.violations_by_check[check]
        assert violations, result
        sys.stdout.write(f'{check}: {violations[0]}\n')


@then('no check finds a violation')
def check_no_violation(context: Any) -> None:
    """Assert that no check of any trial fails."""
    for result in context.results:
        assert not result.violations, result


@then('at least {count:d} requests of each trial got complete answers')
def check_complete_answers(context: Any, count: int) -> None:
    """Assert that the trials were not empty."""
    for result in context.results:
        assert result.complete >= count, result
