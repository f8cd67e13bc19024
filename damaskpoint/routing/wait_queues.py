"""The queues of calls that wait for an upstream, one for each pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.routing import metrics
from damaskpoint.routing.waiting import (
    Waiter,
    check_wait,
    estimate_queue_wait,
    estimate_service,
)

if TYPE_CHECKING:
    from damaskpoint.routing.base import RouteQuery
    from damaskpoint.routing.fleet import Fleet
    from damaskpoint.routing.nodes import PoolState


@final
class WaitQueues:
    """Queues calls, wakes them in order and refuses those that wait in vain."""

    def __init__(self, fleet: Fleet) -> None:
        """Use the queues of this fleet."""
        self._fleet = fleet

    # Commands.

    def enqueue(self, waiter: Waiter) -> None:
        """Add a call to the queue of its pool."""
        self._fleet.queues_by_pool[waiter.query.pool].add(waiter)
        metrics.WAITED.inc({'pool': waiter.query.pool})

    def dequeue(self, waiter: Waiter) -> None:
        """Remove a call from its queue and wake the next one."""
        pool = waiter.query.pool
        self._fleet.queues_by_pool[pool].remove(waiter)
        self.wake(pool)

    def requeue(self, waiter: Waiter) -> None:
        """Requeue a woken call that got no upstream.

        It keeps its position, unless there is capacity that does not fit it.
        """
        pool_state = self._fleet.states_by_pool[waiter.query.pool]
        queue = self._fleet.queues_by_pool[waiter.query.pool]
        is_misfit = bool(pool_state.ready) or bool(pool_state.permitted)
        queue.requeue(waiter, is_first=not is_misfit)

    def wake(self, pool: str) -> None:
        """Wake the next waiting call if an upstream can take one."""
        pool_state = self._fleet.states_by_pool[pool]
        queue = self._fleet.queues_by_pool[pool]
        if pool_state.ready or pool_state.permitted:
            queue.wake_next()

    def review(self, pool_state: PoolState, now: float) -> None:
        """Wake all waiting calls if waiting cannot help the first one."""
        queue = self._fleet.queues_by_pool[pool_state.pool.name]
        first = queue.find_first()
        if first is None:
            return
        if check_wait(first.query, pool_state, 0, now) is not None:
            queue.wake_all()

    # Queries.

    def count_waiting(self, pool: str) -> int:
        """Return the number of calls that wait for a pool."""
        queue = self._fleet.queues_by_pool.get(pool)
        return 0 if queue is None else len(queue)

    def check(
        self, query: RouteQuery, ahead: int, now: float
    ) -> Failure | None:
        """Return a failure if waiting cannot help a call, else None.

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
        return check_wait(query, pool_state, ahead, now)

    def find_latest_start(self, query: RouteQuery) -> float:
        """Return the latest start for a call to end by its deadline."""
        pool_state = self._fleet.states_by_pool[query.pool]
        return query.deadline - estimate_service(pool_state)

    def refuse_late(self, query: RouteQuery) -> Failure:
        """Return the failure for a call that got no upstream in time."""
        pool_state = self._fleet.states_by_pool[query.pool]
        ahead = self.count_waiting(query.pool)
        return Failure(
            Code.NO_UPSTREAM,
            'No upstream became free in time.',
            retry_after_s=estimate_queue_wait(pool_state, ahead),
        )
