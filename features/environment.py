"""What behave does around each scenario."""

from __future__ import annotations

import asyncio
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Give the scenario a loop of its own and nothing to end yet."""
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.closers = []


def after_scenario(context: Any, scenario: Any) -> None:
    """End whatever the scenario started, also when it failed."""
    for closer in reversed(context.closers):
        closer()
    context.loop.run_until_complete(_end_tasks())
    context.loop.close()


async def _end_tasks() -> None:
    """Cancel the tasks that a scenario left behind."""
    own = asyncio.current_task()
    left = [task for task in asyncio.all_tasks() if task is not own]
    for task in left:
        task.cancel()
    await asyncio.gather(*left, return_exceptions=True)
