"""Injected faults of an upstream, set by control requests."""

from __future__ import annotations

import asyncio
import time
from typing import Literal, final

import pydantic


class _Control(pydantic.BaseModel):
    """The base of control request bodies; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid')


@final
class FailFault(_Control):
    """Fail the next ``count`` calls with a status, before or after the run."""

    count: int
    status: int = 500
    is_after_run: bool = False


@final
class CutFault(_Control):
    """Close the next ``count`` streams before their end event."""

    count: int
    # Tokens to send before the connection closes.
    tokens: int


@final
class LateFault(_Control):
    """Delay the next ``count`` answers."""

    count: int
    seconds: float


@final
class UpstreamControl(_Control):
    """A control request; absent fields leave the faults unchanged."""

    warmth: Literal['cold', 'warm'] | None = None
    # Factor by which calls take longer.
    slow_factor: float | None = None
    # Number of calls to refuse as overloaded, even below the limit.
    refuse_next: int | None = None
    fail: FailFault | None = None
    # Number of answers to drop by closing the connection instead.
    drop_next: int | None = None
    cut: CutFault | None = None
    late: LateFault | None = None
    # Number of answers to swap in pairs between their calls.
    cross_next: int | None = None
    # Seconds during which all handlers are blocked.
    freeze_s: float | None = None


class UpstreamFaults:
    """The active faults; each ``consume`` method uses up one of them."""

    def __init__(self) -> None:
        """Start without faults."""
        self.slow_factor = 1.0
        self.frozen_until: float = 0
        self._fail = FailFault(count=0)
        self._cut = CutFault(count=0, tokens=0)
        self._late = LateFault(count=0, seconds=0)
        self._remaining_by_name = {'refuse': 0, 'drop': 0, 'cross': 0}

    def apply(self, control: UpstreamControl, now: float) -> None:
        """Apply a control request."""
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
                self._remaining_by_name[name] = count

    async def wait_until_unfrozen(self) -> None:
        """Wait while a control request blocks all handlers."""
        while time.monotonic() < self.frozen_until:
            await asyncio.sleep(self.frozen_until - time.monotonic())

    def consume(self, name: str) -> bool:
        """Return whether to refuse, drop or cross the next call."""
        if not self._remaining_by_name[name]:
            return False
        self._remaining_by_name[name] -= 1
        return True

    def consume_failure(self, is_after_run: bool) -> int:
        """Return the status with which the call fails; 0 for none."""
        if not self._fail.count or self._fail.is_after_run != is_after_run:
            return 0
        self._fail.count -= 1
        return self._fail.status

    def consume_delay_s(self) -> float:
        """Return the seconds by which the next answer is delayed."""
        if not self._late.count:
            return 0
        self._late.count -= 1
        return self._late.seconds

    def consume_cut(self) -> int | None:
        """Return the tokens after which to cut the next stream, if any."""
        if not self._cut.count:
            return None
        self._cut.count -= 1
        return self._cut.tokens
