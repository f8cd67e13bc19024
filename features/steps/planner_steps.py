"""Steps on the choice of engines that get an order."""

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
    'silent': None,
}


@given('engines of a pool')
def list_engines(context: Any) -> None:
    """Build the views and the planner's memory."""
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


@then('with at most {most:d} at once the planner chooses {chosen}')
def check_choice(context: Any, most: int, chosen: str) -> None:
    """Compare the choice."""
    planner = OrderPlanner(PacingOptions(most))
    for name in context.running:
        planner.start(name)
    for name in context.paused:
        planner.fail(name, 100, None)
    assert _name(planner.choose(_NEW, context.views, 100)) == chosen


@when('the order to e1 fails with a time to come back of 5 seconds')
def fail_busy(context: Any) -> None:
    """Let the weight store be too busy."""
    context.planner = OrderPlanner(PacingOptions(3))
    context.planner.start('e1')
    context.planner.fail('e1', 100, 5)


@then('for {seconds:d} seconds the planner chooses nothing')
def check_nothing(context: Any, seconds: int) -> None:
    """Ask until just before the end."""
    for step in range(seconds * 10):
        now = 100 + step / 10
        assert not context.planner.choose(_NEW, context.views, now)


@then('then it chooses {chosen}')
def check_then(context: Any, chosen: str) -> None:
    """Ask at the end."""
    assert _name(context.planner.choose(_NEW, context.views, 105)) == chosen


@then(
    '{count:d} histories of a pool drawn by hypothesis keep an engine serving'
)
def check_serving(context: Any, count: int) -> None:
    """Never order the last engine that serves, in pools of two or more."""
    event = st.tuples(
        st.integers(0, 5),
        st.sampled_from(('choose', 'obey', 'fail', 'silent', 'back')),
    )

    @seed(25)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(st.integers(2, 6), st.lists(event, max_size=40))
    def play(engines: int, events: list[tuple[int, str]]) -> None:
        _play_pool(engines, events)

    play()


def _play_pool(engines: int, events: list[tuple[int, str]]) -> None:
    planner = OrderPlanner(PacingOptions(3))
    views = {
        f'e{one}': EngineView(f'e{one}', 1, _OLD) for one in range(engines)
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
    if kind == 'silent':
        return EngineView(view.name, 1, None)
    if kind == 'back' and view.state is None:
        return EngineView(view.name, 1, _OLD)
    return view


def _end_order(
    planner: OrderPlanner,
    views: dict[str, EngineView],
    name: str,
    kind: str,
    now: float,
) -> None:
    if kind == 'obey':
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
        # An order takes one away only if another goes on serving.
        assert serving - set(chosen), (serving, chosen)
    for name in chosen:
        planner.start(name)


@then(
    'of {count:d} instances {few:d} compete for each of {pools:d} pools, '
    'and each change of one moves few'
)
def check_candidates(context: Any, count: int, few: int, pools: int) -> None:
    """Count candidates with and without one instance."""
    names = [f'entry-{number}' for number in range(count)]
    for number in range(pools):
        pool = f'pool-{number}'
        chosen = _list_candidates(pool, names)
        assert len(chosen) == few
        without = _list_candidates(pool, names[1:])
        assert len(chosen & without) >= few - 1
    assert is_candidate('pool', 'alone', ())


def _list_candidates(pool: str, names: list[str]) -> set[str]:
    return {name for name in names if is_candidate(pool, name, names)}


def _name(chosen: tuple[str, ...]) -> str:
    return ' '.join(chosen) or 'nothing'
