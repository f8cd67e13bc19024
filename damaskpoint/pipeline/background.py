"""Work that goes on after the request that began it has its answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar, final

from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Coroutine

_Result = TypeVar('_Result')


@final
class BackgroundTasks(StateSource):
    """Keeps tasks alive, and lets a shutdown wait for them."""

    def __init__(self) -> None:
        """Start with no task."""
        self._tasks: set[asyncio.Task[object]] = set()

    def start(
        self, work: Coroutine[object, object, _Result]
    ) -> asyncio.Task[_Result]:
        """Run a coroutine to its end, whoever stops waiting for it."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def count(self) -> int:
        """Return the number of tasks."""
        return len(self._tasks)

    def cancel_all(self) -> None:
        """End every task at once, as the end of the process would."""
        for task in self._tasks:
            task.cancel()

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the number of tasks."""
        return {'tasks': len(self._tasks)}
