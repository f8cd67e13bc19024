"""The calls in flight and the result memory of one runner of a stage."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.batching.model import CallHolding, RunnerLoad
    from damaskpoint.catalog.model import BatchLimits

# Weight of one call in the average pace: a few calls reveal a slow runner.
_PACE_WEIGHT: Final = 0.3
# Half-life of the memory that other instances' results are assumed to occupy
# (seconds): results are kept for about a call of the next stage.
_FOREIGN_HALF_LIFE_S: Final = 0.3
_HALF: Final = 0.5
# How long a runner waits for free memory before it gets a small batch
# (seconds): about half a call, since each call has a high fixed cost.
_MEMORY_WAIT_S: Final = 0.15


@final
class RunnerCapacity:
    """Calls in flight, results and pace of one runner.

    Times are monotonic seconds.
    """

    def __init__(self, limits: BatchLimits) -> None:
        """Start idle, with all of the runner's memory free."""
        self.calls = 0
        self.pace = float(1)
        self.busy_until = float(0)
        self._limits = limits
        # Size and expiry time of each result at the runner, by handle.
        self._results_by_handle: dict[str, tuple[int, float]] = {}
        self._used_bytes = float(0)
        self._reserved_bytes = float(0)
        # Memory that results of other instances occupied when the runner last
        # ran out of it, and when that was.
        self._foreign_bytes = float(0)
        self._foreign_at = float(0)
        # When the current wait for free memory began; None without one.
        self._memory_wait_since: float | None = None
        self._paused_until = float('-inf')
        # When the call ahead of a refused one can have ended.
        self._full_until = float('-inf')
        # Calls of other instances at the runner by its last report, and until
        # when they count; and by the reports of those instances.
        self._foreign_calls = 0
        self._foreign_until = float('-inf')
        self._holdings_by_instance: dict[str, CallHolding] = {}

    # Commands.

    def begin_call(self, pieces: int, size: int, now: float) -> None:
        """Record the start of a call and reserve memory for its results."""
        self.calls += 1
        self._reserved_bytes += size
        self._memory_wait_since = None
        estimate_s = self._limits.estimate_call_s(pieces) * self.pace
        self.busy_until = now + estimate_s

    def end_call(self, size: int, now: float) -> None:
        """Record the end of a call and free its reservation."""
        self.calls -= 1
        self._reserved_bytes -= size
        self.busy_until = now

    def record_answer(
        self, load: RunnerLoad | None, pieces: int, took_s: float, now: float
    ) -> None:
        """Apply the duration of an ended call, and the load in its answer.

        An answer frees a place, so a full runner may be called again.
        """
        estimate_s = self._limits.estimate_call_s(pieces)
        change = took_s / estimate_s - self.pace
        self.pace = max(float(1), self.pace + _PACE_WEIGHT * change)
        self._full_until = now
        if load is None:
            return
        # Whether the report counts the answered call is up to the runner.
        foreign_calls = load.running + load.waiting - self.calls - 1
        self._foreign_calls = max(0, foreign_calls)
        self._foreign_until = now + self._least_call_s(load)

    def pause(self, length_s: float, now: float) -> None:
        """Take no new call for ``length_s`` seconds."""
        self._paused_until = now + length_s

    def record_full(self, load: RunnerLoad | None, now: float) -> None:
        """Take no new call before the call ahead can have ended."""
        self._full_until = now + self._least_call_s(load)

    def record_holding(self, holding: CallHolding) -> None:
        """Count the calls of another instance until they should end."""
        self._holdings_by_instance[holding.instance] = holding

    def add_result(self, handle: str, size: int, now: float) -> None:
        """Count a result as occupying memory until released or expired."""
        self._results_by_handle[handle] = (
            size,
            now + self._limits.result_ttl_s,
        )
        self._used_bytes += size

    def release(self, handles: Iterable[str]) -> None:
        """Count the memory of released results as free."""
        for handle in handles:
            size, _ = self._results_by_handle.pop(handle, (0, 0))
            self._used_bytes -= size

    def record_out_of_memory(
        self, free_bytes: float, made_bytes: int, began_at: float
    ) -> None:
        """Attribute memory to results of others, as a call found no room.

        The runner judged when the call began, at ``began_at``: it had room for
        ``made_bytes`` only, where ``free_bytes`` were assumed to be free. What
        was released since is free.
        """
        occupied = self._count_foreign_bytes(began_at)
        missing = max(float(0), free_bytes - made_bytes)
        self._foreign_bytes = occupied + missing
        self._foreign_at = began_at

    def start_memory_wait(self, now: float) -> None:
        """Record that a call waits for free memory."""
        if self._memory_wait_since is None:
            self._memory_wait_since = now

    # Queries.

    def free_bytes(self, now: float) -> float:
        """Return the memory estimated free for results of the next call."""
        self._expire(now)
        used = self._used_bytes + self._reserved_bytes
        used += self._count_foreign_bytes(now)
        return max(float(0), self._limits.result_capacity_bytes - used)

    def is_memory_wait_over(self, now: float) -> bool:
        """Return whether a call has waited long enough for memory."""
        if self._memory_wait_since is None:
            return False
        return now - self._memory_wait_since >= _MEMORY_WAIT_S

    def is_idle(self, now: float) -> bool:
        """Return whether the runner can take another call now."""
        if now < max(self._paused_until, self._full_until):
            return False
        calls = self.calls + self.count_foreign(now)
        return calls < self._limits.max_concurrent_calls

    def count_foreign(self, now: float) -> int:
        """Return the calls of other instances; both sources may know them."""
        held = 0
        for instance, holding in tuple(self._holdings_by_instance.items()):
            if holding.busy_until <= now:
                self._holdings_by_instance.pop(instance)
            else:
                held += holding.calls
        reported = self._foreign_calls if now < self._foreign_until else 0
        return max(held, reported)

    def nominal_call_s(self, pieces: int) -> float:
        """Return the duration of a call at the nominal pace (seconds)."""
        return self._limits.estimate_call_s(pieces)

    @property
    def used_bytes(self) -> float:
        """Return the memory that known results occupy."""
        return self._used_bytes

    def _count_foreign_bytes(self, now: float) -> float:
        half_lives = (now - self._foreign_at) / _FOREIGN_HALF_LIFE_S
        return self._foreign_bytes * math.pow(_HALF, half_lives)

    def _least_call_s(self, load: RunnerLoad | None) -> float:
        """Return the duration of the shortest call now (seconds)."""
        slowness = self.pace if load is None else max(self.pace, load.slowness)
        return self._limits.estimate_call_s(1) * slowness

    def _expire(self, now: float) -> None:
        expired = []
        for handle, (_, ends_at) in self._results_by_handle.items():
            if ends_at <= now:
                expired.append(handle)
        self.release(expired)
