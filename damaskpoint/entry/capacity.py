"""Reports the capacity of upstreams to admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.admission.backoff import CapacityBackoff
from damaskpoint.admission.pool_limiter import CapacitySource
from damaskpoint.routing.base import Router
from damaskpoint.routing.nodes import Placement

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.errors import Failure
    from damaskpoint.routing.base import CallReport, RouteQuery, Ticket
    from damaskpoint.routing.core import RoutingCore
    from damaskpoint.routing.nodes import PoolState


@final
class PoolCapacity(CapacitySource):
    """Computes the capacity of a pool from its available upstreams."""

    def __init__(self, core: RoutingCore, backoff: CapacityBackoff) -> None:
        """Combine the state of routing with the backoff after overload."""
        self._core = core
        self._backoff = backoff

    def find_capacity(self, pool: str) -> float | None:
        """Return how many concurrent calls of all entries a pool can serve."""
        pool_state = self._core.fleet.states_by_pool.get(pool)
        if pool_state is None:
            return None
        warm = _count(pool_state, Placement.READY, Placement.FULL)
        cold = _count(pool_state, Placement.COLD, Placement.PERMITTED)
        limits = pool_state.pool
        calls = warm * limits.warm_limit + cold * limits.cold_limit
        return calls * self._backoff.find_factor(pool)


def _count(pool_state: PoolState, *placements: Placement) -> int:
    return sum(len(pool_state.names_by_placement[kind]) for kind in placements)


@final
class ObservedRouter(Router):
    """Wraps a router, and reports the outcome of calls to the backoff."""

    def __init__(
        self,
        router: Router,
        backoff: CapacityBackoff,
        clock: Callable[[], float],
    ) -> None:
        """Wrap this router."""
        self._router = router
        self._backoff = backoff
        self._clock = clock

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return the ticket or the failure of the wrapped router."""
        return await self._router.acquire(query)

    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Report the outcome to the backoff, and release the ticket."""
        self._backoff.record_end(
            ticket.upstream.pool, report.end, self._clock()
        )
        self._router.release(ticket, report)
