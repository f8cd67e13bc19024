"""The queue of calls that wait for capacity, and whether waiting can help."""

from __future__ import annotations

import itertools
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.routing.nodes import Placement

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.routing.base import RouteQuery
    from damaskpoint.routing.nodes import PoolState


# Cold upstreams examined before a call is refused.
_MAX_COLD_CANDIDATES = 16


@final
@dataclass(slots=True)
class Waiter:
    """A waiting call; ``wake`` makes it retry."""

    query: RouteQuery
    wake: Callable[[], None]
    is_woken: bool = False
    is_removed: bool = False
    # Whether all calls were woken: each then returns to the end of the queue,
    # which keeps their order.
    moves_to_end: bool = False


@final
class WaitQueue:
    """The waiting calls of one pool in FIFO order.

    Freed capacity wakes one waiter, which retries in a later iteration of the
    event loop and, if it succeeds, wakes the next. So the cost of an event
    does not depend on the number of waiting calls.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: deque[Waiter] = deque()
        self._woken = 0
        self._removed = 0

    def __len__(self) -> int:
        """Return the number of waiting calls, woken ones included."""
        return len(self._waiters) + self._woken - self._removed

    def add(self, waiter: Waiter) -> None:
        """Append a call to the queue."""
        self._waiters.append(waiter)

    def requeue(self, waiter: Waiter, *, is_first: bool) -> None:
        """Requeue a woken call that got no upstream."""
        self._woken -= 1
        waiter.is_woken = False
        if is_first and not waiter.moves_to_end:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)
        waiter.moves_to_end = False

    def remove(self, waiter: Waiter) -> None:
        """Remove a call that got its upstream or stopped waiting."""
        waiter.is_removed = True
        if waiter.is_woken:
            self._woken -= 1
            return
        self._removed += 1

    def wake_next(self) -> None:
        """Wake the first waiting call, unless a woken one has yet to retry."""
        if self._woken:
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if waiter.is_removed:
                self._removed -= 1
                continue
            waiter.is_woken = True
            self._woken += 1
            waiter.wake()
            return

    def find_first(self) -> Waiter | None:
        """Return the first waiting call that has not been woken."""
        for waiter in self._waiters:
            if not waiter.is_removed:
                return waiter
        return None

    def wake_all(self) -> None:
        """Wake all waiting calls."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if waiter.is_removed:
                self._removed -= 1
                continue
            waiter.is_woken = True
            waiter.moves_to_end = True
            self._woken += 1
            waiter.wake()


def check_wait(
    query: RouteQuery, pool_state: PoolState, ahead: int, now: float
) -> Failure | None:
    """Return a failure if waiting cannot help a call, else None.

    ``ahead`` is the number of calls that wait before it.
    """
    if ahead >= defaults.ROUTE_QUEUE_LIMIT:
        wait_s = estimate_queue_wait(pool_state, ahead)
        return _refuse('Too many calls wait for the pool.', wait_s)
    if query.only or not _has_candidate(query, pool_state):
        return _refuse(
            'No upstream may get this call.', defaults.ROUTE_RETRY_AFTER_S
        )
    expected_s = _estimate_capacity(pool_state, ahead, now)
    if math.isinf(expected_s):
        return _refuse(
            'All upstreams are cold, without a permit to be had soon.',
            defaults.ROUTE_RETRY_AFTER_S,
        )
    if now + expected_s + estimate_service(pool_state) > query.deadline:
        return _refuse('The wait would outlast the deadline.', expected_s)
    return None


def _refuse(detail: str, retry_after_s: float) -> Failure:
    return Failure(Code.NO_UPSTREAM, detail, retry_after_s=retry_after_s)


def _has_candidate(query: RouteQuery, pool_state: PoolState) -> bool:
    """Return whether any open upstream fits the call."""
    if pool_state.open_count > len(query.excluded) and not query.model:
        return True
    for node in pool_state.nodes_by_name.values():
        if node.placement is Placement.CLOSED:
            continue
        if node.upstream.name in query.excluded:
            continue
        if node.has_model(query):
            return True
    return False


def _estimate_capacity(pool_state: PoolState, ahead: int, now: float) -> float:
    """Return the expected time until capacity is free (seconds)."""
    counts = pool_state.names_by_placement
    if counts[Placement.FULL] or pool_state.ready or pool_state.permitted:
        return estimate_queue_wait(pool_state, ahead)
    if counts[Placement.COLD]:
        return _estimate_cold(pool_state, ahead, now)
    # All breakers are open: wait for the first one that admits a probe.
    reopened_at = min(
        (
            pool_state.nodes_by_name[name].breaker.open_until
            for name in counts[Placement.BREAKER_OPEN]
        ),
        default=now + defaults.ROUTE_RETRY_AFTER_S,
    )
    return max(0, reopened_at - now)


def _estimate_cold(pool_state: PoolState, ahead: int, now: float) -> float:
    """Return the expected time until a cold upstream takes a call (seconds).

    Infinite if this entry expects no permit for any of the first few.
    """
    available_at = math.inf
    for name in itertools.islice(pool_state.cold, _MAX_COLD_CANDIDATES):
        available_at = min(
            available_at, pool_state.nodes_by_name[name].available_at
        )
    return max(0, available_at - now) + estimate_queue_wait(pool_state, ahead)


def estimate_service(pool_state: PoolState) -> float:
    """Return the expected service time of a call in the pool (seconds)."""
    return pool_state.service_s or defaults.INITIAL_SERVICE_TIME_S


def estimate_queue_wait(pool_state: PoolState, ahead: int) -> float:
    """Return the expected time until the calls ahead start (seconds)."""
    service_s = estimate_service(pool_state)
    slots = max(1, pool_state.own_in_flight)
    return service_s * (ahead + 1) / slots
