"""Steps that run trials of a promise, guarded or not."""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import Any

from behave import given, then, when

from features.support.trials import TrialOptions, run_trial

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
def run(context: Any, seed: int) -> None:
    """Run it, and print what came of it."""
    options = replace(context.trial, seed=seed)
    context.result = context.loop.run_until_complete(run_trial(options))
    result = context.result
    sys.stdout.write(
        f'{options.promise}, seed {seed}: {result.sent} requests, '
        f'{result.whole} whole, {len(result.violations)} violations\n'
    )


@then('the check "{check}" finds a violation')
def see_violation(context: Any, check: str) -> None:
    """The check is seen to fail; its finding is printed."""
    found = context.result.violations_by_check[check]
    assert found, context.result
    sys.stdout.write(f'{check}: {found[0]}\n')


@then('no check finds a violation')
def see_none(context: Any) -> None:
    """The promise holds."""
    assert not context.result.violations, context.result


@then('at least {share:d} of 100 requests were answered whole')
def see_service(context: Any, share: int) -> None:
    """The trial was not empty."""
    result = context.result
    assert result.whole * 100 >= share * result.sent, result
