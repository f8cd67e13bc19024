"""The calls of one entry that wait for an upstream, pool by pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.routing import metrics
from damaskpoint.routing.waiting import (
    Waiter,
    estimate_service,
    estimate_turn,
    judge_wait,
)

if TYPE_CHECKING:
    from damaskpoint.routing.base import RouteQuery
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.nodes import PoolSlate


@final
class WaitRoom:
    """Lets calls wait, wakes them in order and ends vain waits at once."""

    def __init__(self, fleet: Fleet) -> None:
        """Start with nobody waiting."""
        self._fleet = fleet

    # Commands.

    def enqueue(self, waiter: Waiter) -> None:
        """Let a call wait for its pool."""
        self._fleet.queues_by_pool[waiter.query.pool].add(waiter)
        metrics.WAITED.inc({'pool': waiter.query.pool})

    def dequeue(self, waiter: Waiter) -> None:
        """Let a call wait no longer, and wake the next."""
        pool = waiter.query.pool
        self._fleet.queues_by_pool[pool].leave(waiter)
        self.wake(pool)

    def put_back(self, waiter: Waiter) -> None:
        """Let a call that was woken in vain wait on.

        It keeps its turn, unless there are places that just do not fit it.
        """
        slate = self._fleet.slates_by_pool[waiter.query.pool]
        queue = self._fleet.queues_by_pool[waiter.query.pool]
        is_misfit = bool(slate.ready) or bool(slate.permitted)
        queue.put_back(waiter, is_first=not is_misfit)

    def wake(self, pool: str) -> None:
        """Wake the next call that waits, if an upstream can take one."""
        slate = self._fleet.slates_by_pool[pool]
        queue = self._fleet.queues_by_pool[pool]
        if slate.ready or slate.permitted:
            queue.wake_next()

    def review(self, slate: PoolSlate, now: float) -> None:
        """Tell all that wait once the first had better not."""
        queue = self._fleet.queues_by_pool[slate.pool.name]
        first = queue.find_first()
        if first is None:
            return
        if judge_wait(first.query, slate, 0, now) is not None:
            queue.wake_all()

    # Queries.

    def count_waiting(self, pool: str) -> int:
        """Return the number of calls that wait for a pool."""
        queue = self._fleet.queues_by_pool.get(pool)
        return 0 if queue is None else len(queue)

    def judge(
        self, query: RouteQuery, ahead: int, now: float
    ) -> Failure | None:
        """Return a failure if a call had better not wait.

        ``ahead`` is the number of calls that wait before it.
        """
        slate = self._fleet.slates_by_pool.get(query.pool)
        if slate is None:
            metrics.REFUSED.inc({'pool': 'unknown', 'reason': 'no_pool'})
            return Failure(
                Code.NO_UPSTREAM,
                'The pool has no upstreams.',
                retry_after_s=defaults.ROUTE_RETRY_AFTER_S,
            )
        return judge_wait(query, slate, ahead, now)

    def find_latest_start(self, query: RouteQuery) -> float:
        """Return when a call must have a place to end by its deadline."""
        slate = self._fleet.slates_by_pool[query.pool]
        return query.deadline - estimate_service(slate)

    def refuse_late(self, query: RouteQuery) -> Failure:
        """Return the answer to a call that waited in vain."""
        slate = self._fleet.slates_by_pool[query.pool]
        ahead = self.count_waiting(query.pool)
        return Failure(
            Code.NO_UPSTREAM,
            'No upstream became free in time.',
            retry_after_s=estimate_turn(slate, ahead),
        )
