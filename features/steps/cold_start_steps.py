"""Steps that simulate the cold-start protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from features.routing_sim.entries import Simulation, Verdict
from features.routing_sim.unguarded import GUARD_REMOVERS_BY_NAME
from features.routing_sim.world import Fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.routing_sim.entries import SimEntry

_END_S = 60
_ENTRY_FAULTS = ('freeze', 'cut_upstream', 'cut_table')
_GLOBAL_FAULTS = ('outage', 'lost_answer', 'cut_gossip', 'turn_cold', 'restart')


@st.composite
def draw_fault(draw_value: Any) -> Fault:
    """Generate one fault of any kind."""
    kind = draw_value(st.sampled_from(_ENTRY_FAULTS + _GLOBAL_FAULTS))
    entry = draw_value(st.integers(0, 3)) if kind in _ENTRY_FAULTS else -1
    start = draw_value(st.integers(0, 500)) / 10
    length = draw_value(st.integers(1, 90)) / 10
    return Fault(kind, start, length, entry)


@then(
    'in {count:d} cold-start schedules of {size:d} entries the upstream sees'
    ' no overload'
)
def check_schedules(context: Any, count: int, size: int) -> None:
    """Generate schedules; a failure prints its schedule."""

    @seed(5)
    @settings(max_examples=count, database=None, deadline=None)
    @for_all(st.integers(0, 1_000_000), st.lists(draw_fault(), max_size=9))
    def run_drawn(run_seed: int, faults: list[Fault]) -> None:
        verdict = Simulation(size, run_seed, faults).run(_END_S)
        assert not verdict.violations, verdict.violations

    run_drawn()


@given('the cold-start faults')
def set_faults(context: Any) -> None:
    """Read the faults from the table."""
    context.cold_faults = []
    for row in context.table:
        start = float(row['start'])
        length = float(row['length'])
        fault = Fault(row['kind'], start, length, int(row['entry']))
        context.cold_faults.append(fault)


@given('the upstream turns cold at {turns} seconds')
def add_cold_turns(context: Any, turns: str) -> None:
    """Add faults that turn the upstream cold unannounced."""
    for moment in turns.split(','):
        context.cold_faults.append(Fault('turn_cold', float(moment), 0, -1))


@given('gossip is cut at {start:g} seconds for {length:g} seconds')
def add_cut(context: Any, start: float, length: float) -> None:
    """Cut all gossip for a while."""
    context.cold_faults.append(Fault('cut_gossip', start, length, -1))


@when(
    '{count:d} cold-start simulations of {size:d} entries run with every guard'
)
def run_guarded(context: Any, count: int, size: int) -> None:
    """Run with all guards."""
    _run(context, count, size, None)


@when(
    '{count:d} cold-start simulations of {size:d} entries run without the'
    ' {guard}'
)
def run_unguarded(context: Any, count: int, size: int, guard: str) -> None:
    """Run with one guard removed."""
    _run(context, count, size, GUARD_REMOVERS_BY_NAME[guard])


@then('the upstream sees an overload in some cold-start simulation')
def check_some(context: Any) -> None:
    """Expect the overload that the guard prevents."""
    seen = [one for one in context.cold_verdicts if one.violations]
    assert seen, 'no overload without the guard under these faults'


@then('the upstream sees an overload in no cold-start simulation')
def check_none(context: Any) -> None:
    """Expect that the guards prevent overload."""
    for verdict in context.cold_verdicts:
        assert not verdict.violations, verdict.violations


@then(
    'the upstream took warm calls in the last 10 seconds of each cold-start'
    ' simulation'
)
def check_warm_calls(context: Any) -> None:
    """Expect warm calls without the table."""
    for verdict in context.cold_verdicts:
        assert verdict.last_warm_at > _END_S - 10, verdict


@then('the upstream took no cold call in any cold-start simulation')
def check_no_cold_calls(context: Any) -> None:
    """Expect that a cold upstream gets no calls."""
    for verdict in context.cold_verdicts:
        assert verdict.cold_calls == 0, verdict


@then(
    'the upstream took at least {count:d} cold calls in each cold-start'
    ' simulation'
)
def check_cold_calls(context: Any, count: int) -> None:
    """Expect that the permits are used."""
    for verdict in context.cold_verdicts:
        assert verdict.cold_calls >= count, verdict


@then('the upstream took borrowed cold calls in each cold-start simulation')
def check_borrowed(context: Any) -> None:
    """Expect that permits are lent."""
    for verdict in context.cold_verdicts:
        assert verdict.borrowed_calls > 0, verdict


def _run(
    context: Any,
    count: int,
    size: int,
    remove_guard: Callable[[SimEntry], None] | None,
) -> None:
    verdicts: list[Verdict] = []
    for run_seed in range(count):
        simulation = Simulation(
            size, run_seed, context.cold_faults, remove_guard
        )
        verdicts.append(simulation.run(_END_S))
    context.cold_verdicts = verdicts
