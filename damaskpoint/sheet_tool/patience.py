"""How long and how often a command asks the platform again."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 2.0
_GROWTH: Final = 2
_LEAST_SPREAD: Final = 0.5


@final
class Patience:
    """Pauses with growth between tries, within one bound of time."""

    def __init__(
        self,
        bound_s: float,
        clock: Callable[[], float],
        first_pause_s: float = _FIRST_PAUSE_S,
    ) -> None:
        """Start the bound now; ``clock`` gives monotonic seconds."""
        self._clock = clock
        self._deadline = clock() + bound_s
        self._pause_s = first_pause_s

    def remaining_s(self) -> float:
        """Return the seconds left, not below 0."""
        return max(self._deadline - self._clock(), 0)

    async def wait(self, answer: object = None) -> bool:
        """Pause before the next try; False if no time is left for one.

        A failure that says when to come back is heard.
        """
        pause_s = self._pause_s * random.uniform(_LEAST_SPREAD, 1)
        if isinstance(answer, Failure) and answer.retry_after_s:
            pause_s += answer.retry_after_s
        if pause_s >= self.remaining_s():
            return False
        self._pause_s = min(self._pause_s * _GROWTH, _LONGEST_PAUSE_S)
        await asyncio.sleep(pause_s)
        return True
