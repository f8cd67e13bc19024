"""Tasks that may outlive the request that started them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar, final

from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Coroutine

_Result = TypeVar('_Result')


@final
class BackgroundTasks(StateSource):
    """Holds references to running tasks, and counts them for the shutdown."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[object]] = set()

    def start(
        self, work: Coroutine[object, object, _Result]
    ) -> asyncio.Task[_Result]:
        """Run a coroutine to completion, even if nothing awaits it."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def count(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def cancel_all(self) -> None:
        """Cancel every task, as the exit of the process would."""
        for task in self._tasks:
            task.cancel()

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the number of running tasks."""
        return {'tasks': len(self._tasks)}
