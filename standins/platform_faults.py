"""Faults of the platform that a control request sets, and rate limits."""

from __future__ import annotations

import random
from typing import Literal, final

import pydantic


_WEIGHTS_PER_S = 20


class _Control(pydantic.BaseModel):
    """A part of a control request; unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra='forbid')


class ServiceFault(_Control):
    """How one of the platform's services misbehaves."""

    mode: Literal['up', 'refuse', 'close'] = 'up'
    # Seconds that each call waits before it is carried out.
    slow_s: float = 0


@final
class TableFault(ServiceFault):
    """How the table misbehaves; answers are lost after the write."""

    # Answers to lose among the next writes.
    lose_next: int = 0
    # Chance that the answer to any write is lost, drawn from the seed.
    lose_probability: float = 0
    seed: int = 0
    # Only writes that touch this table are hit; empty for all.
    only_table: str = ''
    writes_per_s: float = 400
    reads_per_s: float = 2000


@final
class PlatformControl(_Control):
    """A control request; a part that is absent stays as it was."""

    table: TableFault | None = None
    object_store: ServiceFault | None = None
    instances: ServiceFault | None = None


@final
class InstanceListControl(_Control):
    """Sets the list of instances and how late it shows."""

    instances: list[dict[str, object]] | None = None
    # Seconds for which a new list stays unseen.
    lag_s: float | None = None
    # Number of lists that the shown one steps back from the newest.
    steps_back: int | None = None


class RateLimit:
    """A token bucket that holds one second's worth."""

    def __init__(self, per_s: float, now: float) -> None:
        """Start full; ``per_s`` is the rate a second."""
        self._per_s = per_s
        self._tokens = per_s
        self._seen_at = now

    def take(self, now: float) -> bool:
        """Take one token, if there is one."""
        grown = self._tokens + (now - self._seen_at) * self._per_s
        self._tokens = min(self._per_s, grown)
        self._seen_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformFaults:
    """The faults in force."""

    def __init__(self, now: float) -> None:
        """Start without a fault, at the usual rates."""
        self.object_store = ServiceFault()
        self.instances = ServiceFault()
        self.weights = RateLimit(_WEIGHTS_PER_S, now)
        self.break_table(TableFault(), now)

    def break_table(self, fault: TableFault, now: float) -> None:
        """Put another fault of the table in force."""
        self.table = fault
        self._random = random.Random(fault.seed)
        self._left_to_lose = fault.lose_next
        self.writes = RateLimit(fault.writes_per_s, now)
        self.reads = RateLimit(fault.reads_per_s, now)

    def apply(self, control: PlatformControl, now: float) -> None:
        """Put a control request in force."""
        if control.table is not None:
            self.break_table(control.table, now)
        if control.object_store is not None:
            self.object_store = control.object_store
        if control.instances is not None:
            self.instances = control.instances

    def draw_loss(self, tables: set[str]) -> bool:
        """Tell whether the answer to a write of these tables is lost."""
        only = self.table.only_table
        if only and only not in tables:
            return False
        if self._left_to_lose:
            self._left_to_lose -= 1
            return True
        chance = self.table.lose_probability
        return bool(chance) and self._random.random() < chance
