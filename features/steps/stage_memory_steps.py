"""Steps for groups of runners whose results fill their memory."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final, final

from behave import given, then, when

from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.batching.base import PieceCaller
from damaskpoint.batching.group import RunnerGroup
from damaskpoint.batching.model import (
    CallAnswer,
    Piece,
    PieceOutcome,
    PieceReason,
)
from damaskpoint.catalog.model import BatchLimits, Runner
from features.support.virtual_loop import run_virtually

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.errors import Failure

_ZONE: Final = 'z'
_RESULT_BYTES: Final = 60_000
# The real size of a result differs from the announced one by up to this share.
_SIZE_SPREAD: Final = 0.2
_RELEASE_S: Final = 0.01
_PIECES: Final = 6
# Requests per second for each runner.
_REQUESTS_PER_S: Final = 28
# Interval at which the group is observed, and when this begins (seconds).
_SAMPLE_S: Final = 0.01
_WARM_UP_S: Final = 1.0


def _now() -> float:
    return asyncio.get_running_loop().time()


def _create_limits(results: int) -> BatchLimits:
    return BatchLimits(
        max_concurrent_calls=1,
        max_pieces=56,
        call_s=0.2,
        piece_s=0.0029,
        result_capacity_bytes=float(results * _RESULT_BYTES),
        result_ttl_s=4,
    )


@final
@dataclass(slots=True)
class _Memory:
    """What a runner does, and the real sizes of its results by handle."""

    is_busy: bool = False
    sizes_by_handle: dict[str, float] = field(default_factory=dict)


@final
class _MemoryCaller(PieceCaller):
    """Calls runners that refuse pieces for which they have no room."""

    def __init__(self, limits: BatchLimits) -> None:
        """Start with idle runners without results."""
        self.by_runner: dict[str, _Memory] = {}
        self._limits = limits
        self._random = random.Random(7)
        self.made = 0

    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> CallAnswer | Failure:
        """Make what finds room when the call begins."""
        memory = self.by_runner.setdefault(runner.name, _Memory())
        memory.is_busy = True
        outcomes = [self._reserve(runner.name, memory) for _ in pieces]
        made = sum(outcome.handle is not None for outcome in outcomes)
        await asyncio.sleep(self._limits.estimate_call_s(made))
        memory.is_busy = False
        return CallAnswer(tuple(outcomes))

    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Free the memory of results."""
        await asyncio.sleep(_RELEASE_S)
        for handle in handles:
            self.by_runner[runner.name].sizes_by_handle.pop(handle, None)

    def _reserve(self, runner: str, memory: _Memory) -> PieceOutcome:
        spread = self._random.uniform(-_SIZE_SPREAD, _SIZE_SPREAD)
        size = _RESULT_BYTES * (1 + spread)
        used = sum(memory.sizes_by_handle.values())
        if used + size > self._limits.result_capacity_bytes:
            return PieceOutcome(None, PieceReason.NO_ROOM, runner)
        self.made += 1
        handle = f'{runner}/{self.made}'
        memory.sizes_by_handle[handle] = size
        return PieceOutcome(handle, None, runner)


@final
@dataclass(slots=True)
class _Load:
    """Offers requests to a group, and observes its runners."""

    group: RunnerGroup
    caller: _MemoryCaller
    runners: tuple[Runner, ...]
    used_s: float = 0
    length_s: float = 0
    samples: int = 0
    idle_samples: int = 0
    # Pieces made, before the observation and in it.
    made_before: int = 0
    made: int = 0

    async def run(self, length_s: float) -> None:
        """Offer requests for this time, then drop what still waits."""
        self.length_s = length_s
        tasks = [asyncio.ensure_future(self._observe(length_s))]
        began_at = _now()
        per_s = _REQUESTS_PER_S * len(self.runners)
        for number in range(round(length_s * per_s)):
            await asyncio.sleep(began_at + number / per_s - _now())
            tasks.append(asyncio.ensure_future(self._serve(f'r{number}')))
        await tasks[0]
        for task in tasks[1:]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, request_id: str) -> None:
        due_at = _now() + 30
        outcomes = await self.group.run_pieces(
            [
                _create_piece(request_id, index, due_at)
                for index in range(_PIECES)
            ]
        )
        await asyncio.sleep(self.used_s)
        for outcome in outcomes:
            if outcome.handle is not None:
                runner = self.runners[int(outcome.runner)]
                self.group.release(runner, (outcome.handle,))

    async def _observe(self, length_s: float) -> None:
        await asyncio.sleep(_WARM_UP_S)
        self.made_before = self.caller.made
        ends_at = _now() + length_s - _WARM_UP_S
        while _now() < ends_at:
            await asyncio.sleep(_SAMPLE_S)
            if len(self.group.queue) < self.group.queue.limits.max_pieces:
                continue
            for memory in self.caller.by_runner.values():
                self.samples += 1
                self.idle_samples += not memory.is_busy
        self.made = self.caller.made - self.made_before


def _create_piece(request_id: str, index: int, due_at: float) -> Piece:
    return Piece(
        request_id=request_id,
        stage=1,
        index=index,
        key='',
        inputs=('input',),
        zone=_ZONE,
        moved_bytes=0,
        priority=0,
        ends_at=due_at,
        needed_at=due_at,
        lead_s=0,
        result_bytes=_RESULT_BYTES,
        has_cost=True,
        is_deferred=False,
    )


@given('a group of {count:d} runners with memory for {results:d} results each')
def create_group(context: Any, count: int, results: int) -> None:
    """Create idle runners."""
    limits = _create_limits(results)
    caller = _MemoryCaller(limits)
    runners = tuple(
        Runner(str(number), 's', 'h', 1, _ZONE, 1, False, 0)
        for number in range(count)
    )
    group = RunnerGroup(limits, lambda: runners, RunnerHealth(), caller)
    context.memory_load = _Load(group, caller, runners)


@when(
    'requests with 6 pieces arrive for {length:g} s, more than the runners can carry'
)
def plan_load(context: Any, length: float) -> None:
    """Set the length of the load."""
    context.length_s = length


@when('each result is released {used:g} s after it was made')
def offer(context: Any, used: float) -> None:
    """Offer the load in virtual time."""
    load = context.memory_load
    load.used_s = used
    with run_virtually() as runner:
        runner.run(load.run(context.length_s))


@then(
    'the runners are idle for at most {share:g} of the time in which a full batch waits'
)
def check_idle(context: Any, share: float) -> None:
    """Compare the share of idle samples."""
    load = context.memory_load
    assert load.samples, 'no full batch waited'
    found = load.idle_samples / load.samples
    assert found <= share, f'idle {found:.2f} of {load.samples} samples'


@then('each makes at least {share:g} of {most:g} pieces a second')
def check_made(context: Any, share: float, most: float) -> None:
    """Compare the pieces that were made while the group was observed."""
    load = context.memory_load
    observed_s = load.length_s - _WARM_UP_S
    found = load.made / observed_s / len(load.runners)
    assert found >= share * most, f'{found:.0f} pieces a second'
