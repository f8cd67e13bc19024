"""Runs a non-idempotent request at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure, Ran
from damaskpoint.journal.base import Intent, StoredAnswer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from damaskpoint.journal.base import GuardedRequest, Journal
    from damaskpoint.pipeline.background import BackgroundTasks

    Send = Callable[[], Awaitable[StoredAnswer | Failure]]


@final
class Guard:
    """Records an intent before a request is sent, and its outcome after.

    The send continues if its caller disconnects: a call that may have run
    cannot be undone, and its outcome is recorded for the caller's retry.
    """

    def __init__(self, journal: Journal, background: BackgroundTasks) -> None:
        """Create a guard whose sends run as background tasks."""
        self._journal = journal
        self._background = background

    async def look_up(
        self, request: GuardedRequest
    ) -> StoredAnswer | Failure | None:
        """Return the recorded outcome of a request; None if it may be sent."""
        if not request.key:
            return None
        return await self._journal.look_up(request)

    async def run(
        self, request: GuardedRequest, send: Send
    ) -> StoredAnswer | Failure:
        """Send once, or return the outcome of an earlier send.

        A request without a key is sent without an intent: without the key, no
        caller could look up the outcome.
        """
        if request.key:
            coroutine = self._run_journaled(request, send)
        else:
            coroutine = _run_once(send)
        return await asyncio.shield(self._background.start(coroutine))

    async def _run_journaled(
        self, request: GuardedRequest, send: Send
    ) -> StoredAnswer | Failure:
        opened = await self._journal.open(request)
        if not isinstance(opened, Intent):
            return opened
        try:
            outcome = await send()
        except Exception:
            self._journal.record_unknown(opened)
            raise
        if isinstance(outcome, StoredAnswer):
            await self._journal.record(opened, outcome)
        elif outcome.ran is Ran.NO:
            self._journal.close_not_run(opened)
        else:
            self._journal.record_unknown(opened)
        return outcome


async def _run_once(send: Send) -> StoredAnswer | Failure:
    return await send()
