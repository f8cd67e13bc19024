"""Steps for the times of stages and the load of the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from damaskpoint.batching.model import find_slowest
from damaskpoint.observe.loop_load import LoopLoad
from features.support.batching_fleet import BatchingFleet
from features.support.virtual_loop import run_virtually

if TYPE_CHECKING:
    from damaskpoint.membership.facts import PaceFact

_GROUP: Final = 'stage#0'
# A queue is looked at every 0.02 s.
_ABOUT: Final = 0.05
_CLOSE: Final = 0.001


@when(
    '{count:d} instances order {pieces:d} pieces each, which take 0.3 s, from 1'
    ' runner'
)
def order_together(context: Any, count: int, pieces: int) -> None:
    """Order in virtual time, and wait for the outcomes."""
    with run_virtually() as runner:
        fleet = BatchingFleet(count, 1)
        orders = [fleet.order(name, _GROUP, pieces) for name in fleet.by_name]
        gathered = runner.run(_gather(orders))
        context.now = runner.get_loop().time()
    context.fleet = fleet
    context.outcomes = [item for outcomes in gathered for item in outcomes]


async def _gather(orders: Any) -> Any:
    return await asyncio.gather(*orders)


@then('the slowest of their pieces waited {waited:g} s and ran {called:g} s')
def check_times(context: Any, waited: float, called: float) -> None:
    """Compare the times that the answers to the orders have."""
    slowest = find_slowest(context.outcomes)
    assert abs(slowest.waited_s - waited) < _ABOUT, slowest
    assert abs(slowest.called_s - called) < _ABOUT, slowest


@then(
    'peers hear that an order took {mean:g} s on average, and nothing'
    ' {later:g} s later'
)
def check_order_times(context: Any, mean: float, later: float) -> None:
    """Compare what the batching instance reports of its group."""
    reported: list[PaceFact] = []
    for now in (context.now, context.now + later):
        for instance in context.fleet.by_name.values():
            reported.extend(instance.pool.own_paces(now))
    at_once, long_after = reported
    assert abs(at_once.order_s - mean) < _ABOUT, at_once
    assert not long_after.order_s, long_after


@then('its pieces were held for {held:g} s')
def check_held(context: Any, held: float) -> None:
    """Compare how long they waited for their zone."""
    found = context.queue.forget_held(context.tickets, context.now)
    assert abs(found - held) < _CLOSE, found


@given('the load of an event loop')
def create_load(context: Any) -> None:
    """Start without measurements."""
    context.loop_load = LoopLoad()


@when(
    'its timers fire {first:g}, {second:g} and {third:g} s late within a period'
)
def fire(context: Any, first: float, second: float, third: float) -> None:
    """Record three timers after the one that begins the period."""
    for number, delay_s in enumerate((0, first, second, third)):
        context.loop_load.record_timer(delay_s, float(number))


@then('it reports a delay of {mean:g} ms on average and {most:g} ms at most')
def check_load(context: Any, mean: float, most: float) -> None:
    """Compare the figures of the period."""
    found = context.loop_load.dump_state(0)
    assert found == {'mean_delay_ms': mean, 'max_delay_ms': most}, found
