"""Gives no ticket while the configuration is not confirmed.

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
    from damaskpoint.routing.base import RouteQuery, Ticket


@final
class ConfirmedRouter(Router):
    """Asks before and behind each wait for an upstream."""

    def __init__(self, router: Router, follower: ConfigurationFollower) -> None:
        """Keep the router and what knows of the confirmation."""
        self._router = router
        self._follower = follower

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket, or why the configuration may not be used."""
        stale = self._follower.check_ready(time.monotonic())
        if stale is not None:
            return stale
        acquired = await self._router.acquire(query)
        if isinstance(acquired, Failure):
            return acquired
        stale = self._follower.check_ready(time.monotonic())
        if stale is None:
            return acquired
        self._router.release(acquired, CallReport(CallEnd.UNUSED, 0))
        return stale

    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Give a ticket back."""
        self._router.release(ticket, report)
