"""Refuses tickets without a confirmed configuration and after a stall.

Retries, resumed streams and later stages are checked like the first call of a
request: a zone may have been evacuated since the request arrived.
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
    """Wraps a router; checks before and after each wait for an upstream."""

    def __init__(
        self,
        router: Router,
        follower: ConfigurationFollower,
        stall_guard: StallGuard,
    ) -> None:
        """Wrap a router with checks for confirmation and for stalls."""
        self._router = router
        self._follower = follower
        self._stall_guard = stall_guard

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket, or why no call may be sent."""
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
        """Release a ticket."""
        self._router.release(ticket, report)

    def _check(self, now: float) -> Failure | None:
        """Return why no call may be sent now, or None."""
        self._stall_guard.record_loop_iteration(now)
        stalled = self._stall_guard.check(now)
        return stalled or self._follower.check_ready(now)
