"""Calls that wait for capacity, in order, and whether waiting can help."""

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


# Cold upstreams that are looked at before a call is refused.
_COLD_LOOKED_AT = 16


@final
@dataclass(slots=True)
class Waiter:
    """A call that waits; ``wake`` makes it try again."""

    query: RouteQuery
    wake: Callable[[], None]
    is_woken: bool = False
    is_gone: bool = False
    # Whether all were woken: in order, they go to the end again.
    is_last: bool = False


@final
class WaitQueue:
    """The waiting calls of one pool, first come first woken.

    A freed place wakes one waiter; it tries again in its own turn of the
    loop and, if it got a place, wakes the next. So an event costs constant
    time, however many wait.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: deque[Waiter] = deque()
        self._woken = 0
        self._gone = 0

    def __len__(self) -> int:
        """Return the number of waiting calls, woken ones included."""
        return len(self._waiters) + self._woken - self._gone

    def add(self, waiter: Waiter) -> None:
        """Put a call at the end."""
        self._waiters.append(waiter)

    def put_back(self, waiter: Waiter, *, is_first: bool) -> None:
        """Let a woken call that got no place wait on."""
        self._woken -= 1
        waiter.is_woken = False
        if is_first and not waiter.is_last:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)
        waiter.is_last = False

    def leave(self, waiter: Waiter) -> None:
        """Take a call out: it got its place, or gave up."""
        waiter.is_gone = True
        if waiter.is_woken:
            self._woken -= 1
            return
        self._gone += 1

    def wake_next(self) -> None:
        """Wake the first call that waits, unless one is on its way."""
        if self._woken:
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if waiter.is_gone:
                self._gone -= 1
                continue
            waiter.is_woken = True
            self._woken += 1
            waiter.wake()
            return

    def find_first(self) -> Waiter | None:
        """Return the first call that waits and is not woken yet."""
        for waiter in self._waiters:
            if not waiter.is_gone:
                return waiter
        return None

    def wake_all(self) -> None:
        """Wake every call that waits."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if waiter.is_gone:
                self._gone -= 1
                continue
            waiter.is_woken = True
            waiter.is_last = True
            self._woken += 1
            waiter.wake()


def judge_wait(
    query: RouteQuery, pool_state: PoolState, ahead: int, now: float
) -> Failure | None:
    """Return a failure if waiting cannot help, else None.

    ``ahead`` is the number of calls that wait already.
    """
    if ahead >= defaults.ROUTE_QUEUE_LIMIT:
        wait_s = estimate_turn(pool_state, ahead)
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
    """Return whether any open upstream fits the call at all."""
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
    """Return the expected time until a place is free (seconds)."""
    counts = pool_state.names_by_placement
    if counts[Placement.FULL] or pool_state.ready or pool_state.permitted:
        return estimate_turn(pool_state, ahead)
    if counts[Placement.COLD]:
        return _estimate_cold(pool_state, ahead, now)
    # Breakers are open everywhere: the first one to close counts.
    reopened_at = min(
        (
            pool_state.nodes_by_name[name].breaker.opens_until
            for name in counts[Placement.BREAKER_OPEN]
        ),
        default=now + defaults.ROUTE_RETRY_AFTER_S,
    )
    return max(0, reopened_at - now)


def _estimate_cold(pool_state: PoolState, ahead: int, now: float) -> float:
    """Return the expected time until a cold upstream takes a call.

    Infinite when this entry can hope for none, as far as a few show.
    """
    hope_at = math.inf
    for name in itertools.islice(pool_state.cold, _COLD_LOOKED_AT):
        hope_at = min(hope_at, pool_state.nodes_by_name[name].hope_at)
    return max(0, hope_at - now) + estimate_turn(pool_state, ahead)


def estimate_service(pool_state: PoolState) -> float:
    """Return the expected time of one call in the pool (seconds)."""
    return pool_state.service_s or defaults.SERVICE_TIME_S


def estimate_turn(pool_state: PoolState, ahead: int) -> float:
    """Return the expected time until the calls ahead have started."""
    service_s = estimate_service(pool_state)
    places = max(1, pool_state.own_in_flight)
    return service_s * (ahead + 1) / places
