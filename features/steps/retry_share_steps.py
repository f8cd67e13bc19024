"""Steps on the retries of instances that may not see each other."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from features.support.retrying_fleet import SLACK, RetryingFleet

_INSTANCES: Final = 8
_CUT_FROM_S: Final = 20.0


def _sees(view: str, sender: int, receiver: int, now: float) -> bool:
    """Return whether a message arrives, by the name of a view."""
    if view == 'all' or (view.startswith('from 20 s') and now < _CUT_FROM_S):
        return True
    if view.endswith('halves'):
        return sender % 2 == receiver % 2
    if view.endswith('one alone'):
        return 0 not in {sender, receiver}
    return False


@given('8 instances that see {view}, and {per_s:g} failing requests a second')
def create_fleet(context: Any, view: str, per_s: float) -> None:
    """Create instances whose messages only reach those that they see."""
    context.fleet = RetryingFleet(
        _INSTANCES,
        per_s,
        lambda sender, receiver, now: _sees(view, sender, receiver, now),
        seed=1,
    )


@given('a store that cannot be read')
def remove_store(context: Any) -> None:
    """Let no instance ever read the list."""
    context.fleet.has_store = lambda _: False


@when('they run for {seconds:g} s')
def run_fleet(context: Any, seconds: float) -> None:
    """Play."""
    context.fleet.run(context.fleet.now + seconds)


@when(
    '{count:d} of them are killed and start again, {times:d} times, each {pause:g} s'
)
def restart(context: Any, count: int, times: int, pause: float) -> None:
    """Replace processes at the same moment, one group after another."""
    fleet = context.fleet
    for turn in range(times):
        for number in range(count):
            fleet.restart((turn * count + number) % _INSTANCES)
        fleet.run(fleet.now + pause)


@then('no window has more repeats than allowed')
def check_bound(context: Any) -> None:
    """Check all windows."""
    assert context.fleet.repeated_at
    excess = context.fleet.find_excess()
    assert excess <= 0, excess


@then('at least {share:g} of the slack was used in some window')
def check_use(context: Any, share: float) -> None:
    """Check that the bound was not kept by hardly repeating anything."""
    used = context.fleet.find_excess() / SLACK + 1
    assert used >= share, used
