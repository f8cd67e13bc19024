"""Releases results at the runners of a group, several in one call."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.base import PieceCaller
    from damaskpoint.catalog.model import Runner

# Delay in which releases of results are collected into one call (seconds).
_DELAY_S: Final = 0.005


@final
class ResultReleaser:
    """Collects released results by runner and sends them after a delay."""

    def __init__(
        self,
        caller: PieceCaller,
        health: RunnerHealth,
        on_released: Callable[[str, Sequence[str]], None],
    ) -> None:
        """Call ``on_released`` once a runner has freed the memory."""
        self._caller = caller
        self._health = health
        self._on_released = on_released
        self._handles_by_runner: dict[str, list[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_idle(self) -> bool:
        """Return whether no release is in progress."""
        return not self._tasks

    def release(self, runner: Runner, handles: Iterable[str]) -> None:
        """Release results at their runner after a short delay."""
        waiting = self._handles_by_runner.get(runner.name)
        if waiting is not None:
            waiting.extend(handles)
            return
        self._handles_by_runner[runner.name] = list(handles)
        task = asyncio.ensure_future(self._send(runner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, runner: Runner) -> None:
        await asyncio.sleep(_DELAY_S)
        # A runner that asked for a pause must not be called. Its results
        # expire if the pause is longer than it keeps them.
        pause_s = self._health.pause_left_s((runner,), time.monotonic())
        while pause_s is not None:
            await asyncio.sleep(pause_s)
            pause_s = self._health.pause_left_s((runner,), time.monotonic())
        handles = self._handles_by_runner.pop(runner.name)
        await self._caller.release(runner, handles)
        # The runner has freed the memory only after its answer.
        self._on_released(runner.name, handles)
