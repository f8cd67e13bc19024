"""Exponential backoff with jitter for calls to the platform."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 2.0
_MULTIPLIER: Final = 2
_MIN_JITTER_FACTOR: Final = 0.5


@final
class Backoff:
    """Growing pauses between attempts, within one overall timeout."""

    def __init__(
        self,
        timeout_s: float,
        clock: Callable[[], float],
        first_pause_s: float = _FIRST_PAUSE_S,
    ) -> None:
        """Start the timeout now; ``clock`` returns monotonic seconds."""
        self._clock = clock
        self._deadline = clock() + timeout_s
        self._pause_s = first_pause_s

    def remaining_s(self) -> float:
        """Return the seconds left until the timeout, at least 0."""
        return max(self._deadline - self._clock(), 0)

    async def wait(self, outcome: object = None) -> bool:
        """Pause before the next attempt; return False if the time is up.

        The retry-after time of a failed outcome is added to the pause.
        """
        pause_s = self._pause_s * random.uniform(_MIN_JITTER_FACTOR, 1)
        if isinstance(outcome, Failure) and outcome.retry_after_s:
            pause_s += outcome.retry_after_s
        if pause_s >= self.remaining_s():
            return False
        self._pause_s = min(self._pause_s * _MULTIPLIER, _LONGEST_PAUSE_S)
        await asyncio.sleep(pause_s)
        return True
