"""Steps for the times of stages and the load of the event loop."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from behave import given, then, when

from damaskpoint.batching.model import find_slowest
from damaskpoint.observe.loop_load import LoopLoad

# Allowance for a busy machine (seconds).
_SLACK_S: Final = 0.15
_CLOSE: Final = 0.001


@then('the slowest of their pieces waited {waited:g} s and ran {called:g} s')
def check_times(context: Any, waited: float, called: float) -> None:
    """Compare the times that the orders' answers have."""
    gathered = context.loop.run_until_complete(
        asyncio.wait_for(_gather(context.orders.values()), 5)
    )
    slowest = find_slowest([item for outcomes in gathered for item in outcomes])
    assert abs(slowest.waited_s - waited) < _SLACK_S, slowest
    assert abs(slowest.called_s - called) < _SLACK_S, slowest


async def _gather(orders: Any) -> Any:
    return await asyncio.gather(*orders)


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
