"""Steps that run trials of a promise, guarded or not."""

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
    """Plan a trial over the product as it is."""
    context.trial = TrialOptions(promise, 0)


@given('its processes run without the guard "{guard}"')
def drop_guard(context: Any, guard: str) -> None:
    """Run the entries with one guard taken out."""
    context.trial = replace(
        context.trial,
        module=_UNGUARDED,
        words=(f'--unguard={guard}',),
    )


@given('these faults, one after the other')
def choose_faults(context: Any) -> None:
    """Bring about the faults of the table instead of drawn ones."""
    names = tuple(row['fault'] for row in context.table)
    context.trial = replace(context.trial, faults=names)


@when('the trial runs with the seed {seed:d}')
def run_one(context: Any, seed: int) -> None:
    """Run it, and print what came of it."""
    _run(context, (seed,))


@when('the trial runs with the seeds {first:d}, {second:d}, two at once')
def run_two(context: Any, first: int, second: int) -> None:
    """Run it under two seeds, each with processes of its own."""
    _run(context, (first, second))


def _run(context: Any, seeds: tuple[int, ...]) -> None:
    async def run_all() -> list[TrialResult]:
        trials = [replace(context.trial, seed=seed) for seed in seeds]
        return await asyncio.gather(*[run_trial(trial) for trial in trials])

    context.results = context.loop.run_until_complete(run_all())
    for seed, result in zip(seeds, context.results, strict=True):
        sys.stdout.write(
            f'{context.trial.promise}, seed {seed}: {result.sent} requests, '
            f'{result.whole} whole, {len(result.violations)} violations\n'
        )


@then('the check "{check}" finds a violation')
def see_violation(context: Any, check: str) -> None:
    """The check is seen to fail; its finding is printed."""
    for result in context.results:
        found = result.violations_by_check[check]
        assert found, result
        sys.stdout.write(f'{check}: {found[0]}\n')


@then('no check finds a violation')
def see_none(context: Any) -> None:
    """The promise holds."""
    for result in context.results:
        assert not result.violations, result


@then('at least {count:d} requests of each were answered whole')
def see_service(context: Any, count: int) -> None:
    """The trials were not empty."""
    for result in context.results:
        assert result.whole >= count, result
