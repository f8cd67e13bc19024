"""behave hooks that run before and after each scenario."""

from __future__ import annotations

import asyncio
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Create an event loop and an empty list of closers for the scenario."""
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.closers = []


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the closers in reverse order, also after a failure."""
    for closer in reversed(context.closers):
        closer()
    context.loop.run_until_complete(_end_tasks())
    context.loop.close()


async def _end_tasks() -> None:
    """Cancel the tasks that a scenario has not finished."""
    current = asyncio.current_task()
    remaining = [task for task in asyncio.all_tasks() if task is not current]
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)
