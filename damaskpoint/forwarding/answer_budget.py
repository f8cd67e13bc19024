"""Bounds the bytes of answers that are held for callers.

A complete answer is held until its caller has read it, and a stream's events
while they are written. Above the budget, further answers are not read from
their runners, and callers that do not read lose their connections.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG: Final = logging.getLogger(__name__)
# Answers up to this size never wait (bytes): events of streams and most
# complete answers. Callers are bounded in number, so that their sum is too.
_SMALL_BYTES: Final = 65_536
# A caller that takes nothing for this time while other answers wait is cut
# (seconds). The kernel takes some 40 kB at once, so that a caller that reads
# 8 kB/s still makes progress.
_PRESSED_STALL_S: Final = 5.0


# Bytes that an answer waits for, and what it waits on.
_Wait = tuple[int, 'asyncio.Future[None]']


@final
class AnswerHold:
    """The bytes that are held of one answer."""

    def __init__(
        self, budget: AnswerBudget, on_cut: Callable[[], None]
    ) -> None:
        """Hold nothing; ``on_cut`` closes the caller's connection."""
        self._budget = budget
        self.on_cut = on_cut
        self.held_bytes = 0
        # When the caller last took bytes; None unless bytes are being written.
        self.progressed_at: float | None = None

    async def grow(self, count: int) -> None:
        """Hold more bytes; waits for room unless the answer is small."""
        await self._budget.take(self, count)

    def record_write(self) -> None:
        """Record that bytes are written, the previous ones being taken."""
        self.progressed_at = time.monotonic()

    def release(self) -> None:
        """Hold nothing any more."""
        self._budget.release(self)
        self.progressed_at = None


@final
class AnswerBudget(StateSource):
    """The bytes of all answers that are held."""

    def __init__(self, limit_bytes: int) -> None:
        """Start without answers."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._holds: dict[AnswerHold, None] = {}
        # Answers that wait for room and the bytes that they need.
        self._waiting: dict[AnswerHold, _Wait] = {}
        self._cuts = 0
        # The one answer that may exceed the budget to be read to its end, as
        # answers that are read in part would wait for each other.
        self._exempt: AnswerHold | None = None

    async def take(self, hold: AnswerHold, count: int) -> None:
        """Count more bytes of an answer; waits while there is no room."""
        size = hold.held_bytes + count
        if size > _SMALL_BYTES and not self._has_room(hold, count):
            has_room = asyncio.get_running_loop().create_future()
            self._waiting[hold] = (count, has_room)
            try:
                await has_room
            finally:
                self._waiting.pop(hold, None)
                if not has_room.done() or has_room.cancelled():
                    self._wake()
            return
        self._add(hold, count)

    def release(self, hold: AnswerHold) -> None:
        """Forget the bytes of an answer."""
        self._held_bytes -= hold.held_bytes
        hold.held_bytes = 0
        if self._exempt is hold:
            self._exempt = None
        if self._holds.pop(hold, hold) is None:
            self._wake()

    def advance(self, now: float) -> None:
        """Cut a caller that does not read while other answers wait.

        It is the one whose answer holds most; events of streams hold little.
        """
        if self._held_bytes <= self._limit_bytes and not self._waiting:
            return
        stalled = []
        for hold in self._holds:
            at = hold.progressed_at
            if at is not None and now - at >= _PRESSED_STALL_S:
                stalled.append(hold)
        largest = max(stalled, key=_rank, default=None)
        if largest is not None:
            self._cut(largest)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the use of the budget."""
        return {
            'held_bytes': self._held_bytes,
            'budget_bytes': self._limit_bytes,
            'answers': len(self._holds),
            'waiting': len(self._waiting),
            'cut': self._cuts,
        }

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held."""
        return self._held_bytes

    def _cut(self, hold: AnswerHold) -> None:
        self._cuts += 1
        _LOG.info(
            'caller cut, does not read',
            extra={
                'held_bytes': hold.held_bytes,
                'all_held_bytes': self._held_bytes,
                'waiting': len(self._waiting),
            },
        )
        hold.on_cut()

    def _has_room(self, hold: AnswerHold, count: int) -> bool:
        """Return whether an answer may grow; a single one always may."""
        others = self._held_bytes - hold.held_bytes
        if not others or self._held_bytes + count <= self._limit_bytes:
            return True
        if hold.held_bytes and self._exempt is None:
            self._exempt = hold
        return self._exempt is hold

    def _add(self, hold: AnswerHold, count: int) -> None:
        self._holds[hold] = None
        hold.held_bytes += count
        self._held_bytes += count

    def _wake(self) -> None:
        """Let answers that wait continue, in the order of their arrival."""
        for hold, (count, has_room) in tuple(self._waiting.items()):
            if has_room.done():
                continue
            if not self._has_room(hold, count):
                # One that is read in part may be next to exceed the budget.
                continue
            self._add(hold, count)
            has_room.set_result(None)


def _rank(hold: AnswerHold) -> int:
    return hold.held_bytes
