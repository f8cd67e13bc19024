"""Runs an action periodically for the life of a process."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_LOG: Final = logging.getLogger(__name__)


async def run_periodically(
    interval_s: float, action: Callable[[], Awaitable[None]]
) -> None:
    """Run an action, then wait, until cancelled.

    An exception is logged and the action runs again: one invalid response
    must not stop a process from following the platform.
    """
    while True:
        try:
            await action()
        except Exception:
            _LOG.exception('periodic action failed')
        await asyncio.sleep(interval_s)
