"""Steps for a store that is silent at times."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.support.silent_store import (
    Silence,
    SilenceHistory,
    SilenceTrial,
    create_seeded_history,
)


@given('a store that is silent from {starts_at:g} to {ends_at:g} s')
def set_silence(context: Any, starts_at: float, ends_at: float) -> None:
    """Keep the silence."""
    context.silence = Silence(starts_at, ends_at)


@given('versions written at {times} s')
def set_changes(context: Any, times: str) -> None:
    """Keep the times of the changes."""
    context.changes = tuple(float(time) for time in times.split())


@when('an instance follows the store')
def follow(context: Any) -> None:
    """Play the history."""
    trial = SilenceTrial(SilenceHistory((context.silence,), context.changes))
    context.violations_by_seed = {0: trial.run()}
    context.calls = trial.client.calls


@when('{count:d} seeded histories with silences are played')
def play(context: Any, count: int) -> None:
    """Play one history for each seed."""
    context.violations_by_seed = {}
    for seed in range(count):
        trial = SilenceTrial(create_seeded_history(seed))
        context.violations_by_seed[seed] = trial.run()


@then('each version is in force 2 s after it was acknowledged')
def check_in_force(context: Any) -> None:
    """Show the first violations."""
    shown = [
        (seed, violations[:2])
        for seed, violations in context.violations_by_seed.items()
        if violations
    ]
    assert not shown, (len(shown), shown[:3])


@then('it makes at most {most:d} calls to the store')
def check_calls(context: Any, most: int) -> None:
    """Compare the count of the whole history."""
    assert context.calls <= most, context.calls
