"""Faults of an upstream that a control request sets."""

from __future__ import annotations

import asyncio
import time
from typing import Literal, final

import pydantic


class _Control(pydantic.BaseModel):
    """A part of a control request; unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra='forbid')


@final
class FailFault(_Control):
    """Fail the next calls with a status, before or after they run."""

    count: int
    status: int = 500
    is_after_run: bool = False


@final
class CutFault(_Control):
    """Close the next streams after so many tokens, without an end."""

    count: int
    tokens: int


@final
class LateFault(_Control):
    """Keep the next answers back for some seconds."""

    count: int
    seconds: float


@final
class UpstreamControl(_Control):
    """A control request; a part that is absent stays as it was."""

    warmth: Literal['cold', 'warm'] | None = None
    # Calls take so many times as long.
    slow_factor: float | None = None
    # Calls refused as overloaded, though there may be room.
    refuse_next: int | None = None
    fail: FailFault | None = None
    # Answers after which, instead, the connection is closed.
    drop_next: int | None = None
    cut: CutFault | None = None
    late: LateFault | None = None
    # Answers to swap, two by two.
    cross_next: int | None = None
    # Seconds for which no handler goes on.
    freeze_s: float | None = None


class UpstreamFaults:
    """The faults in force; each draw uses one up."""

    def __init__(self) -> None:
        """Start without a fault."""
        self.slow_factor = 1.0
        self.frozen_until: float = 0
        self._fail = FailFault(count=0)
        self._cut = CutFault(count=0, tokens=0)
        self._late = LateFault(count=0, seconds=0)
        self._left_by_name = {'refuse': 0, 'drop': 0, 'cross': 0}

    def apply(self, control: UpstreamControl, now: float) -> None:
        """Put a control request in force."""
        self.slow_factor = control.slow_factor or self.slow_factor
        if control.freeze_s is not None:
            self.frozen_until = now + control.freeze_s
        self._fail = control.fail or self._fail
        self._cut = control.cut or self._cut
        self._late = control.late or self._late
        counts = {
            'refuse': control.refuse_next,
            'drop': control.drop_next,
            'cross': control.cross_next,
        }
        for name, count in counts.items():
            if count is not None:
                self._left_by_name[name] = count

    async def thaw(self) -> None:
        """Wait while a control request holds every handler."""
        while time.monotonic() < self.frozen_until:
            await asyncio.sleep(self.frozen_until - time.monotonic())

    def draw(self, name: str) -> bool:
        """Tell whether the next call is refused, dropped or crossed."""
        if not self._left_by_name[name]:
            return False
        self._left_by_name[name] -= 1
        return True

    def draw_failure(self, is_after_run: bool) -> int:
        """Return the status that the call fails with, or 0."""
        if not self._fail.count or self._fail.is_after_run != is_after_run:
            return 0
        self._fail.count -= 1
        return self._fail.status

    def draw_delay_s(self) -> float:
        """Return the seconds that the next answer is kept back."""
        if not self._late.count:
            return 0
        self._late.count -= 1
        return self._late.seconds

    def draw_cut(self) -> int | None:
        """Return the tokens after which the next stream is cut."""
        if not self._cut.count:
            return None
        self._cut.count -= 1
        return self._cut.tokens
