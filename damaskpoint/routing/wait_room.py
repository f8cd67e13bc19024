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
    from damaskpoint.routing.nodes import PoolState


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
        pool_state = self._fleet.states_by_pool[waiter.query.pool]
        queue = self._fleet.queues_by_pool[waiter.query.pool]
        is_misfit = bool(pool_state.ready) or bool(pool_state.permitted)
        queue.put_back(waiter, is_first=not is_misfit)

    def wake(self, pool: str) -> None:
        """Wake the next call that waits, if an upstream can take one."""
        pool_state = self._fleet.states_by_pool[pool]
        queue = self._fleet.queues_by_pool[pool]
        if pool_state.ready or pool_state.permitted:
            queue.wake_next()

    def review(self, pool_state: PoolState, now: float) -> None:
        """Tell all that wait once the first had better not."""
        queue = self._fleet.queues_by_pool[pool_state.pool.name]
        first = queue.find_first()
        if first is None:
            return
        if judge_wait(first.query, pool_state, 0, now) is not None:
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
        pool_state = self._fleet.states_by_pool.get(query.pool)
        if pool_state is None:
            metrics.REFUSED.inc({'pool': 'unknown', 'reason': 'no_pool'})
            return Failure(
                Code.NO_UPSTREAM,
                'The pool has no upstreams.',
                retry_after_s=defaults.ROUTE_RETRY_AFTER_S,
            )
        return judge_wait(query, pool_state, ahead, now)

    def find_latest_start(self, query: RouteQuery) -> float:
        """Return when a call must have a place to end by its deadline."""
        pool_state = self._fleet.states_by_pool[query.pool]
        return query.deadline - estimate_service(pool_state)

    def refuse_late(self, query: RouteQuery) -> Failure:
        """Return the answer to a call that waited in vain."""
        pool_state = self._fleet.states_by_pool[query.pool]
        ahead = self.count_waiting(query.pool)
        return Failure(
            Code.NO_UPSTREAM,
            'No upstream became free in time.',
            retry_after_s=estimate_turn(pool_state, ahead),
        )
