"""The capacity of each runner of a group, and the calls at them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.capacity import RunnerCapacity
from damaskpoint.batching.model import CallHolding

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.catalog.model import BatchLimits

# Time in which a call that should have ended is expected to end (seconds).
_OVERDUE_S: Final = 0.05


@final
class CapacityTable:
    """Capacities by runner; times are monotonic seconds."""

    def __init__(self, limits: BatchLimits) -> None:
        """Start without runners."""
        self._limits = limits
        self._by_runner: dict[str, RunnerCapacity] = {}

    def find(self, runner: str) -> RunnerCapacity:
        """Return the capacity of a runner, an idle one if it is new."""
        capacity = self._by_runner.get(runner)
        if capacity is None:
            capacity = RunnerCapacity(self._limits)
            self._by_runner[runner] = capacity
        return capacity

    def record_held(self, held: Iterable[CallHolding]) -> None:
        """Count calls of other instances."""
        for holding in held:
            self.find(holding.runner).record_holding(holding)

    def list_held(self, own_name: str, now: float) -> list[CallHolding]:
        """Return the calls in flight of this instance, ``own_name``."""
        return [
            CallHolding(
                name,
                own_name,
                capacity.calls,
                max(capacity.busy_until, now + _OVERDUE_S),
            )
            for name, capacity in self._by_runner.items()
            if capacity.calls
        ]

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the state of each runner."""
        by_name: dict[str, object] = {}
        for name, capacity in self._by_runner.items():
            by_name[name] = {
                'calls': capacity.calls,
                'foreign_calls': capacity.count_foreign(now),
                'pace': round(capacity.pace, 2),
                'used_bytes': capacity.used_bytes,
                'free_bytes': round(capacity.free_bytes(now)),
            }
        return by_name
