"""The asynchronous router: issues tickets, queues calls, runs the ticks."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, final

from tornado.ioloop import PeriodicCallback

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.routing import metrics
from damaskpoint.routing.base import CallReport, RouteQuery, Router, Ticket
from damaskpoint.routing.waiting import Waiter

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.routing.borrower import Borrower
    from damaskpoint.routing.core import RoutingCore

_MS_PER_S = 1_000


@final
class CoreRouter(Router):
    """Adds waiting and timers to the decisions of ``RoutingCore``."""

    def __init__(
        self,
        core: RoutingCore,
        borrower: Borrower | None,
        clock: Callable[[], float],
    ) -> None:
        """Use this core, borrower and monotonic clock (seconds)."""
        self._core = core
        self._borrower = borrower
        self._clock = clock
        self._ticker = PeriodicCallback(
            self._tick, defaults.ROUTING_TICK_S * _MS_PER_S
        )

    def start(self) -> None:
        """Start the periodic tick; requires a running event loop."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop the periodic tick."""
        self._ticker.stop()

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket, waiting for one while that can help."""
        now = self._clock()
        if now >= query.deadline:
            return Failure(Code.DEADLINE_PASSED)
        # Calls that are already waiting are served first.
        if not self._core.waiting.count_waiting(query.pool):
            ticket = self._core.try_acquire(query, now)
            if ticket is None:
                ticket = await self._borrow(query)
            if ticket is not None:
                return ticket
        refused = self._core.waiting.check(
            query,
            self._core.waiting.count_waiting(query.pool),
            self._clock(),
        )
        if refused is not None:
            _count_refused(query, refused)
            return refused
        return await self._wait(query)

    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Release a ticket, exactly once, with the report of its call."""
        self._core.release(ticket, report, self._clock())
        if self._borrower is not None:
            self._borrower.record_end(ticket, report.end)

    async def _borrow(self, query: RouteQuery) -> Ticket | None:
        """Return a ticket under a permit lent by a peer, or None."""
        if self._borrower is None:
            return None
        return await self._borrower.borrow(query)

    async def _wait(self, query: RouteQuery) -> Ticket | Failure:
        """Wait in the pool's queue for a ticket or a refusal."""
        loop = asyncio.get_running_loop()
        woken = asyncio.Event()
        waiter = Waiter(query, woken.set)
        self._core.waiting.enqueue(waiter)
        # A call that starts later would miss its deadline.
        latest_s = self._core.waiting.find_latest_start(query) - self._clock()
        timeout = loop.call_later(max(0, latest_s), woken.set)
        with contextlib.ExitStack() as stack:
            stack.callback(self._core.waiting.dequeue, waiter)
            stack.callback(timeout.cancel)
            while True:
                await woken.wait()
                woken.clear()
                result = self._retry(waiter)
                if result is not None:
                    return result

    def _retry(self, waiter: Waiter) -> Ticket | Failure | None:
        """Return the result for a woken call, or None to keep waiting."""
        now = self._clock()
        query = waiter.query
        if now >= self._core.waiting.find_latest_start(query):
            failure = self._core.waiting.refuse_late(query)
            _count_refused(query, failure)
            return failure
        if not waiter.is_woken:
            return None
        ticket = self._core.try_acquire(query, now)
        if ticket is not None:
            return ticket
        refused = self._core.waiting.check(query, 0, now)
        if refused is not None:
            _count_refused(query, refused)
            return refused
        self._core.waiting.requeue(waiter)
        return None

    def _tick(self) -> None:
        self._core.tick(self._clock())


def _count_refused(query: RouteQuery, failure: Failure) -> None:
    metrics.REFUSED.inc({'pool': query.pool, 'reason': failure.code.value})


def create_router(
    core: RoutingCore,
    clock: Callable[[], float],
    borrower: Borrower | None = None,
) -> CoreRouter:
    """Return a router that follows the decisions of ``core``."""
    return CoreRouter(core, borrower, clock)
