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
    """Puts the journal around the one send of a request.

    The send goes on when its caller leaves: what may have run cannot be
    taken back, and its outcome is kept for the caller's next try.
    """

    def __init__(self, journal: Journal, background: BackgroundTasks) -> None:
        """Keep the journal and the keeper of tasks."""
        self._journal = journal
        self._background = background

    async def look_up(
        self, request: GuardedRequest
    ) -> StoredAnswer | Failure | None:
        """Return what is known of the request; None if it is new."""
        if not request.key:
            return None
        return await self._journal.look_up(request)

    async def run(
        self, request: GuardedRequest, send: Send
    ) -> StoredAnswer | Failure:
        """Send once, or answer what an earlier send brought.

        A request without a key is sent without an intent: its key would be
        known to nobody who could ask for it again.
        """
        if request.key:
            work = self._run_journaled(request, send)
        else:
            work = _run_once(send)
        return await asyncio.shield(self._background.start(work))

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
