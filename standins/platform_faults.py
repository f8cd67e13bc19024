"""Injected faults and rate limits of the platform, set by control requests."""

from __future__ import annotations

import random
from typing import Literal, final

import pydantic


_WEIGHTS_PER_S = 20


class _Control(pydantic.BaseModel):
    """The base of control request bodies; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid')


class ServiceFault(_Control):
    """A fault of one of the platform's services."""

    mode: Literal['up', 'refuse', 'close'] = 'up'
    # Delay in seconds before each call is executed.
    slow_s: float = 0


@final
class TableFault(ServiceFault):
    """A fault of the table; answers are lost after the write took effect."""

    # Number of next writes whose answers are lost.
    lose_next: int = 0
    # Probability that the answer to a write is lost; seeded by ``seed``.
    lose_probability: float = 0
    seed: int = 0
    # Only writes to this table lose answers; empty for all tables.
    only_table: str = ''
    writes_per_s: float = 400
    reads_per_s: float = 2000


@final
class PlatformControl(_Control):
    """A control request; absent fields leave the fault unchanged."""

    table: TableFault | None = None
    object_store: ServiceFault | None = None
    instances: ServiceFault | None = None


@final
class InstanceListControl(_Control):
    """Sets the list of instances and how stale the visible list is."""

    instances: list[dict[str, object]] | None = None
    # Seconds before a new list becomes visible.
    lag_s: float | None = None
    # Lists to step back from the newest one that is past the lag.
    steps_back: int | None = None


class RateLimit:
    """A token bucket that holds the tokens of one second."""

    def __init__(self, per_s: float, now: float) -> None:
        """Start full; ``per_s`` is the rate per second."""
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Take one token; return False if there is none."""
        refilled = self._tokens + (now - self._refilled_at) * self._per_s
        self._tokens = min(self._per_s, refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformFaults:
    """The active faults and rate limits."""

    def __init__(self, now: float) -> None:
        """Start without faults, at the default rates."""
        self.object_store = ServiceFault()
        self.instances = ServiceFault()
        self.weights = RateLimit(_WEIGHTS_PER_S, now)
        self.set_table_fault(TableFault(), now)

    def set_table_fault(self, fault: TableFault, now: float) -> None:
        """Replace the fault of the table and its rate limits."""
        self.table = fault
        self._random = random.Random(fault.seed)
        self._answers_to_lose = fault.lose_next
        self.writes = RateLimit(fault.writes_per_s, now)
        self.reads = RateLimit(fault.reads_per_s, now)

    def apply(self, control: PlatformControl, now: float) -> None:
        """Apply a control request."""
        if control.table is not None:
            self.set_table_fault(control.table, now)
        if control.object_store is not None:
            self.object_store = control.object_store
        if control.instances is not None:
            self.instances = control.instances

    def should_lose_answer(self, tables: set[str]) -> bool:
        """Return whether to lose the answer to a write to these tables."""
        only = self.table.only_table
        if only and only not in tables:
            return False
        if self._answers_to_lose:
            self._answers_to_lose -= 1
            return True
        probability = self.table.lose_probability
        return bool(probability) and self._random.random() < probability
