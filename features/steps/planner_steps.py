"""Steps for the planner's choice of engines that receive an order."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint.reconcile.candidates import is_candidate
from damaskpoint.reconcile.planner import (
    EngineModel,
    EngineState,
    EngineView,
    OrderPlanner,
    PacingOptions,
)

_NEW = EngineState('any', frozenset((EngineModel('m', '2', frozenset()),)))
_OLD = EngineState('any', frozenset((EngineModel('m', '1', frozenset()),)))
_STATES: dict[str, EngineState | None] = {
    'new': _NEW,
    'old': _OLD,
    'none': EngineState('any', frozenset()),
    'unreachable': None,
}


@given('engines of a pool')
def list_engines(context: Any) -> None:
    """Create the views, and the orders that are in flight or failed."""
    context.views = {}
    context.running = []
    context.paused = []
    for row in context.table:
        context.views[row['name']] = EngineView(
            row['name'], 1, _STATES[row['held']], row['zone'] == 'out'
        )
        if row['running'] == 'yes':
            context.running.append(row['name'])
        if row['paused'] == 'yes':
            context.paused.append(row['name'])


@then('with at most {most:d} concurrent orders the planner chooses {chosen}')
def check_choice(context: Any, most: int, chosen: str) -> None:
    """Compare the chosen engines."""
    planner = OrderPlanner(PacingOptions(most))
    for name in context.running:
        planner.start(name)
    for name in context.paused:
        planner.fail(name, 100, None)
    assert _join_names(planner.choose(_NEW, context.views, 100)) == chosen


@when('the order to e1 fails with Retry-After 5')
def fail_overloaded(context: Any) -> None:
    """Record a failure as of an overloaded weight store."""
    context.planner = OrderPlanner(PacingOptions(3))
    context.planner.start('e1')
    context.planner.fail('e1', 100, 5)


@then('for {seconds:d} seconds the planner chooses nothing')
def check_nothing(context: Any, seconds: int) -> None:
    """Check every 0.1 seconds until just before the end."""
    for step in range(seconds * 10):
        now = 100 + step / 10
        assert not context.planner.choose(_NEW, context.views, now)


@then('then it chooses {chosen}')
def check_then(context: Any, chosen: str) -> None:
    """Compare the choice at the end of the pause."""
    assert (
        _join_names(context.planner.choose(_NEW, context.views, 105)) == chosen
    )


@then('{count:d} random histories of a pool keep an engine serving')
def check_serving(context: Any, count: int) -> None:
    """Check that the last serving engine of several is never chosen."""
    event = st.tuples(
        st.integers(0, 5),
        st.sampled_from(('choose', 'finish', 'fail', 'lose', 'return')),
    )

    @seed(25)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(st.integers(2, 6), st.lists(event, max_size=40))
    def run(engines: int, events: list[tuple[int, str]]) -> None:
        _run_history(engines, events)

    run()


def _run_history(engines: int, events: list[tuple[int, str]]) -> None:
    planner = OrderPlanner(PacingOptions(3))
    views = {
        f'e{number}': EngineView(f'e{number}', 1, _OLD)
        for number in range(engines)
    }
    for step, (number, kind) in enumerate(events):
        now = 100.0 + 10 * step
        name = f'e{number % engines}'
        if kind == 'choose':
            _choose(planner, views, now)
            continue
        if name in planner.running:
            _end_order(planner, views, name, kind, now)
            continue
        views[name] = _change_view(views[name], kind)


def _change_view(view: EngineView, kind: str) -> EngineView:
    if kind == 'lose':
        return EngineView(view.name, 1, None)
    if kind == 'return' and view.state is None:
        return EngineView(view.name, 1, _OLD)
    return view


def _end_order(
    planner: OrderPlanner,
    views: dict[str, EngineView],
    name: str,
    kind: str,
    now: float,
) -> None:
    if kind == 'finish':
        planner.finish(name)
        views[name] = EngineView(name, 1, _NEW)
    if kind == 'fail':
        planner.fail(name, now, None)


def _choose(
    planner: OrderPlanner, views: dict[str, EngineView], now: float
) -> None:
    serving = set()
    for name, view in views.items():
        if view.state and name not in planner.running:
            serving.add(name)
    chosen = planner.choose(_NEW, views, now)
    if chosen:
        # A serving engine is chosen only if another one keeps serving.
        assert serving - set(chosen), (serving, chosen)
    for name in chosen:
        planner.start(name)


@then(
    'of {count:d} instances {candidate_count:d} compete for each of '
    '{pools:d} pools, and removing one replaces at most one'
)
def check_candidates(
    context: Any, count: int, candidate_count: int, pools: int
) -> None:
    """Compare the candidates with and without one instance."""
    names = [f'entry-{number}' for number in range(count)]
    for number in range(pools):
        pool = f'pool-{number}'
        chosen = _list_candidates(pool, names)
        assert len(chosen) == candidate_count
        without = _list_candidates(pool, names[1:])
        assert len(chosen & without) >= candidate_count - 1
    assert is_candidate('pool', 'alone', ())


def _list_candidates(pool: str, names: list[str]) -> set[str]:
    return {name for name in names if is_candidate(pool, name, names)}


def _join_names(chosen: tuple[str, ...]) -> str:
    return ' '.join(chosen) or 'nothing'
