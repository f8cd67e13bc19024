"""Calls something again and again for the life of a process."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_LOG: Final = logging.getLogger(__name__)


async def run_periodically(
    interval_s: float, step: Callable[[], Awaitable[None]]
) -> None:
    """Run a step, then wait, until cancelled.

    A step that raises is logged and tried again: one bad answer must not
    end a process's view of the platform.
    """
    while True:
        try:
            await step()
        except Exception:
            _LOG.exception('a periodic step failed')
        await asyncio.sleep(interval_s)
