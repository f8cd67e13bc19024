"""Steps on quarantines in the platform's store."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from damaskpoint.balancing import rendezvous
from damaskpoint.forwarding.metadata import PromptPart, RequestMetadata
from features.support.gateway_site import run
from features.support.quarantine_store import (
    QuarantineStore,
    StoringInstance,
    put_invalid,
    run_all,
)

_PART: Final = 'x'
_OTHER_CLOCK_S: Final = 777.0


@given('{count:d} instances that share a store')
def create_instances(context: Any, count: int) -> None:
    """Create instances whose clocks agree."""
    context.store = QuarantineStore()
    all_names = frozenset(f'g-{number}' for number in range(count))
    context.instances_by_name = {
        name: StoringInstance(name, all_names, context.store)
        for name in sorted(all_names)
    }


@given('the {count:d} that should write first do not work')
def stop_first(context: Any, count: int) -> None:
    """Stop the instances that rank first."""
    for name in rendezvous.order(context.instances_by_name, _PART)[:count]:
        context.instances_by_name[name].is_working = False


@given('the store is down')
def stop_store(context: Any) -> None:
    """Let writes fail; the instances have read the store before."""
    for instance in context.instances_by_name.values():
        instance.read()
    context.store.is_down = True


@given('the store has an invalid row for "{part}"')
def add_invalid(context: Any, part: str) -> None:
    """Write a row that cannot be read."""
    put_invalid(context.store, part)


@when('all of them learn of the quarantine of "{part}" and {seconds:d} s pass')
def learn(context: Any, part: str, seconds: int) -> None:
    """Let the instances learn of it by gossip."""
    for instance in context.instances_by_name.values():
        instance.learn(part, 0)
    _pass(context, seconds)


@when('the store is back and {seconds:d} s pass')
def start_store(context: Any, seconds: int) -> None:
    """Let writes succeed."""
    context.store.is_down = False
    _pass(context, seconds)


@when('the store loses its rows and {seconds:d} s pass')
def lose_rows(context: Any, seconds: int) -> None:
    """Restore the store from a copy without the rows."""
    context.store.rows.clear()
    _pass(context, seconds)


def _pass(context: Any, seconds: int) -> None:
    instances = tuple(context.instances_by_name.values())
    run(context, run_all(context.store, instances, seconds))


@when('an instance with another clock starts')
def start_late(context: Any) -> None:
    """Start an instance that knows only the store."""
    context.late = StoringInstance('late', frozenset(), context.store)
    context.late.clock_skew_s = _OTHER_CLOCK_S
    context.late.read()


@then('the store has been written {count:d} time')
@then('the store has been written {count:d} times')
def check_writes(context: Any, count: int) -> None:
    """Count the writes that took effect."""
    assert context.store.writes == count, context.store.writes
    assert _PART in context.store.rows


@then('the store has no rows')
def check_no_rows(context: Any) -> None:
    """Look at the table."""
    assert not context.store.rows, context.store.rows


@then('the part "{part}" is refused there for {seconds:d} s')
def check_late(context: Any, part: str, seconds: int) -> None:
    """Check what a caller of the late instance is told."""
    prompt = (PromptPart(part, 1), PromptPart('own', 1))
    metadata = RequestMetadata('id-1', None, None, prompt)
    failure = context.late.guard.check(metadata, context.late.now)
    assert failure is not None
    assert f' {seconds} s' in failure.detail, failure.detail
