"""Gives no ticket without a confirmed configuration, or after a stall.

A retry, a resume and each later stage is new work as much as a request's
first call: a zone may have been taken out since the request came.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure
from damaskpoint.routing.base import CallEnd, CallReport, Router

if TYPE_CHECKING:
    from damaskpoint.config.follower import ConfigurationFollower
    from damaskpoint.entry.stall_guard import StallGuard
    from damaskpoint.routing.base import RouteQuery, Ticket


@final
class ConfirmedRouter(Router):
    """Asks before and behind each wait for an upstream."""

    def __init__(
        self,
        router: Router,
        follower: ConfigurationFollower,
        stall_guard: StallGuard,
    ) -> None:
        """Keep the router and what knows of confirmation and stalls."""
        self._router = router
        self._follower = follower
        self._stall_guard = stall_guard

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket, or why the configuration may not be used."""
        stale = self._check(time.monotonic())
        if stale is not None:
            return stale
        acquired = await self._router.acquire(query)
        if isinstance(acquired, Failure):
            return acquired
        stale = self._check(time.monotonic())
        if stale is None:
            return acquired
        self._router.release(acquired, CallReport(CallEnd.UNUSED, 0))
        return stale

    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Give a ticket back."""
        self._router.release(ticket, report)

    def _check(self, now: float) -> Failure | None:
        """Return why no call may go out now, or None."""
        self._stall_guard.note_turn(now)
        held = self._stall_guard.check(now)
        return held or self._follower.check_ready(now)
