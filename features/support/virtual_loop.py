"""An event loop in virtual time: waiting takes no real time."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
from typing import TYPE_CHECKING, Any, final
from unittest import mock

if TYPE_CHECKING:
    from collections.abc import Iterator


@final
class _InstantSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self.now = float(0)

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once, as if the timeout had passed."""
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, without I/O."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._instant_selector = _InstantSelector()
        super().__init__(self._instant_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._instant_selector.now


@contextlib.contextmanager
def run_virtually() -> Iterator[asyncio.Runner]:
    """Run coroutines whose clock is the loop's; cancel what is left of them."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        clock = runner.get_loop().time
        with mock.patch('time.monotonic', clock):
            yield runner
