"""Steps for usable runners, the choice between them and the cold bound."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from damaskpoint.balancing.cold_limit import ColdBound, ColdLimiter
from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.balancing.runner_choice import Candidates, order_by_prompt
from damaskpoint.catalog.catalog import Catalog
from damaskpoint.catalog.model import CallerLimits, Configuration, Runner
from damaskpoint.catalog.runners import RunnerTable

_STEP_S: Final = 0.01
_KEYS: Final = 200


def _create_runner(name: str, *, is_draining: bool = False) -> Runner:
    return Runner(name, 'service', 'host', 1, 'z', 4, is_draining, 0)


@given('the registry is read at {now:g}')
def read_registry(context: Any, now: float) -> None:
    """Read the registry; create the table on the first read."""
    if not hasattr(context, 'runners'):
        context.runners = RunnerTable()
    context.runners.record_read(now)


@given(
    'the registry is unreachable from {unreachable_from:g} and read at {now:g}'
)
def interrupt_registry(
    context: Any, unreachable_from: float, now: float
) -> None:
    """Make the registry unreachable for a while."""
    context.runners.record_outage(unreachable_from, unreachable_from)
    context.runners.record_read(now)


@given(
    'the registry is unreachable from {unreachable_from:g}, with a last call at'
    ' {last:g}, and read at {now:g}'
)
@when(
    'the registry is unreachable from {unreachable_from:g}, with a last call at'
    ' {last:g}, and read at {now:g}'
)
def interrupt_with_calls(
    context: Any, unreachable_from: float, last: float, now: float
) -> None:
    """Make two calls fail, then one succeed."""
    for sent_at in (unreachable_from, last):
        context.runners.record_outage(sent_at, sent_at)
    context.runners.record_read(now)


@given('the runner "{name}" is registered as {state} at {now:g}')
@when('the runner "{name}" is registered as {state} at {now:g}')
def register(context: Any, name: str, state: str, now: float) -> None:
    """Put an entry into the table."""
    runner = _create_runner(name, is_draining=state == 'draining')
    context.runners.put(runner, now)


@when('the entry of "{name}" is removed at {now:g}')
def remove_entry(context: Any, name: str, now: float) -> None:
    """Remove an entry from the table."""
    context.runners.remove(name, now)


@when('the zone "{zone}" is evacuated at {now:g}')
def evacuate(context: Any, zone: str, now: float) -> None:
    """Evacuate a zone."""
    context.runners.evacuate(frozenset((zone,)), now, 0)


@when('the zone "{zone}" is restored at {now:g} with a cold time of {cold:g} s')
def restore_zone(context: Any, zone: str, now: float, cold: float) -> None:
    """End all evacuations; the runners are cold for a while."""
    context.runners.evacuate(frozenset(), now, cold)


@then('"{name}" is {state} at {now:g}')
def check_state(context: Any, name: str, state: str, now: float) -> None:
    """Check whether a runner is usable, or whether it is cold."""
    context.runners.expire(now)
    if state in {'cold', 'warm'}:
        assert context.runners.is_cold(name, now) == (state == 'cold')
        return
    is_used = context.runners.find(name) is not None
    assert is_used == (state == 'used')
    listed = [item.name for item in context.runners.usable('service')]
    assert (name in listed) == (state == 'used')


def _create_version(version: int) -> Configuration:
    return Configuration(version, {}, {}, CallerLimits(1, 1, 1, 1))


@given('the catalog has version {version:d}')
def apply_version(context: Any, version: int) -> None:
    """Create a catalog with this version."""
    context.catalog = Catalog()
    assert context.catalog.apply(_create_version(version), 0, 0)


@when('the catalog is offered version {version:d}')
def offer_version(context: Any, version: int) -> None:
    """Apply another version."""
    context.catalog.apply(_create_version(version), 0, 1)


@then('the version of the catalog is {version:d}')
def check_version(context: Any, version: int) -> None:
    """Compare the version of the catalog."""
    assert context.catalog.configuration.version == version


@given(
    'a cold runner with a rate of {rate:g} per second, factor {factor:g} and slack {slack:g}'
)
def create_bound(
    context: Any, rate: float, factor: float, slack: float
) -> None:
    """Store the rate and the bound."""
    context.rate = rate
    context.bound = ColdBound(factor, slack)


@when(
    '{count:d} instances with {views:d} views of the membership send all that they may for {seconds:d} s'
)
def send_all(context: Any, count: int, views: int, seconds: int) -> None:
    """Let each instance send whenever it may.

    The second view includes instances that do not exist.
    """
    names = [f'instance-{number}' for number in range(count)]
    others = [f'other-{number}' for number in range(count)]
    seen_by_view = [names, names[::2] + others][:views]
    limiters = [ColdLimiter(name, context.bound) for name in names]
    context.sent = []
    for tick in range(int(seconds / _STEP_S)):
        now = tick * _STEP_S
        for number, limiter in enumerate(limiters):
            seen = seen_by_view[number % views]
            if limiter.may_send('r', context.rate, seen, now):
                limiter.record_sent('r', now)
                context.sent.append(now)


@then('no second has more than {bound:d} requests, and some second has one')
def check_bound(context: Any, bound: int) -> None:
    """Check every window of a second that starts at a request."""
    assert context.sent
    for start in context.sent:
        inside = [at for at in context.sent if start <= at < start + 1]
        assert len(inside) <= bound, (start, len(inside))


@given('failures of "{name}" at {times}')
def record_failures(context: Any, name: str, times: str) -> None:
    """Record failures at the given times."""
    context.health = RunnerHealth()
    for moment in times.split():
        context.health.record_failure(name, float(moment))


@then('at {now:g} "{name}" is {state} by the choice')
def check_avoided(context: Any, name: str, state: str, now: float) -> None:
    """Check whether a runner is avoided."""
    is_avoided = context.health.is_avoided(name, now)
    assert is_avoided == (state == 'avoided')


@given('runners a, b and c of zone z with {loads} requests')
def create_candidates(context: Any, loads: str) -> None:
    """Store the loads."""
    counts = [int(load) for load in loads.split()]
    context.loads = dict(zip('abc', counts, strict=True))


@given('the runners {names} failed recently')
def set_avoided(context: Any, names: str) -> None:
    """Store the names of failed runners; ``-`` means none."""
    context.avoided = frozenset(names.split()) - {'-'}


@then('prompts are sent to exactly {chosen} over many keys')
def check_choice(context: Any, chosen: str) -> None:
    """Choose for many keys; expect exactly these runners to be chosen."""
    candidates = Candidates(
        [_create_runner(name) for name in context.loads],
        context.loads,
        context.avoided,
    )
    found = set()
    for number in range(_KEYS):
        found.add(order_by_prompt(candidates, 'z', f'key-{number}')[0].name)
    assert found == set(chosen.split()), found
