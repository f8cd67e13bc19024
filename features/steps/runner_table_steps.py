"""Steps on the runners that may be used, and on bounds of sending."""

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
def read(context: Any, now: float) -> None:
    """Read the registry, for the first time in most scenarios."""
    if not hasattr(context, 'runners'):
        context.runners = RunnerTable()
    context.runners.note_read(now)


@given('the registry is lost at {lost:g} and read at {now:g}')
def lose(context: Any, lost: float, now: float) -> None:
    """Lose the registry for a while."""
    context.runners.note_outage()
    context.runners.note_read(now)


@given('the runner "{name}" is entered as {state} at {now:g}')
@when('the runner "{name}" is entered as {state} at {now:g}')
def enter(context: Any, name: str, state: str, now: float) -> None:
    """Take an entry."""
    runner = _create_runner(name, is_draining=state == 'draining')
    context.runners.put(runner, now)


@when('the entry of "{name}" goes away at {now:g}')
def go_away(context: Any, name: str, now: float) -> None:
    """Take a removal."""
    context.runners.remove(name, now)


@when('the zone "{zone}" is evacuated at {now:g}')
def evacuate(context: Any, zone: str, now: float) -> None:
    """Evacuate a zone."""
    context.runners.evacuate(frozenset((zone,)), now, 0)


@when(
    'the zone "{zone}" is taken back at {now:g} with {cold:g} seconds of cold'
)
def take_back(context: Any, zone: str, now: float, cold: float) -> None:
    """End all evacuations."""
    context.runners.evacuate(frozenset(), now, cold)


@then('"{name}" is {state} at {now:g}')
def check_state(context: Any, name: str, state: str, now: float) -> None:
    """Check whether a runner is used, or cold."""
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
def put_in_force(context: Any, version: int) -> None:
    """Start with a version."""
    context.catalog = Catalog()
    assert context.catalog.apply(_create_version(version), 0)


@when('the catalog is offered version {version:d}')
def offer(context: Any, version: int) -> None:
    """Offer another one."""
    context.catalog.apply(_create_version(version), 1)


@then('the catalog still or now has version {version:d}')
def check_version(context: Any, version: int) -> None:
    """Compare the version."""
    assert context.catalog.configuration.version == version


@given(
    'a cold runner that bears {rate:g} a second with factor {factor:g} and slack {slack:g}'
)
def create_bound(
    context: Any, rate: float, factor: float, slack: float
) -> None:
    """Keep the bound."""
    context.rate = rate
    context.bound = ColdBound(factor, slack)


@when(
    '{count:d} instances in {views:d} views send all that they may for {seconds:d} seconds'
)
def send_all(context: Any, count: int, views: int, seconds: int) -> None:
    """Let each instance send whenever it may.

    Instances of the second view believe in instances that are not there.
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
                limiter.note_sent('r', now)
                context.sent.append(now)


@then('no second has more than {bound:d} requests, and some second has one')
def check_bound(context: Any, bound: int) -> None:
    """Slide a window of a second over all requests."""
    assert context.sent
    for start in context.sent:
        inside = [at for at in context.sent if start <= at < start + 1]
        assert len(inside) <= bound, (start, len(inside))


@given('failures of "{name}" at {times}')
def fail(context: Any, name: str, times: str) -> None:
    """Note failures."""
    context.health = RunnerHealth()
    for moment in times.split():
        context.health.note_failure(name, float(moment))


@then('at {now:g} the choice has "{name}" as {state}')
def check_avoided(context: Any, name: str, state: str, now: float) -> None:
    """Check whether a runner is avoided."""
    is_avoided = context.health.is_avoided(name, now)
    assert is_avoided == (state == 'avoided')


@given('runners a, b and c of zone z with {loads} requests')
def create_candidates(context: Any, loads: str) -> None:
    """Keep the loads."""
    counts = [int(load) for load in loads.split()]
    context.loads = dict(zip('abc', counts, strict=True))


@given('the runners {names} failed lately')
def keep_avoided(context: Any, names: str) -> None:
    """Keep who failed."""
    context.avoided = frozenset(names.split()) - {'-'}


@then('a prompt is sent to {chosen} for most keys')
def check_choice(context: Any, chosen: str) -> None:
    """Choose for many keys: all that should be are, and no others."""
    candidates = Candidates(
        [_create_runner(name) for name in context.loads],
        context.loads,
        context.avoided,
    )
    found = set()
    for number in range(_KEYS):
        found.add(order_by_prompt(candidates, 'z', f'key-{number}')[0].name)
    assert found == set(chosen.split()), found
