"""The router: gives tickets for upstreams and counts them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Code, Failure
from damaskpoint.routing.base import CallReport, RouteQuery, Router, Ticket

if TYPE_CHECKING:
    import random

    from damaskpoint.routing.directory import UpstreamDirectory

_RETRY_AFTER_S = 1.0


@final
class TwoChoiceRouter(Router):
    """Gives each call to the less loaded of two random upstreams."""

    def __init__(
        self, directory: UpstreamDirectory, rng: random.Random
    ) -> None:
        """Start with nothing in flight."""
        self._directory = directory
        self._rng = rng
        self._in_flight_by_name: dict[str, int] = {}
        self._last_number = 0

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket, or a failure when no upstream can take it."""
        now = time.monotonic()
        pool = self._directory.find_pool(query.pool)
        if pool is None:
            return Failure(Code.NO_UPSTREAM, retry_after_s=_RETRY_AFTER_S)
        names = []
        for name in sorted(self._directory.names_of_pool(query.pool)):
            if name in query.excluded:
                continue
            if not self._directory.is_open(name, now):
                continue
            if self._in_flight_by_name.get(name, 0) < pool.warm_limit:
                names.append(name)
        if not names:
            return Failure(Code.NO_UPSTREAM, retry_after_s=_RETRY_AFTER_S)
        pair = self._rng.sample(names, min(2, len(names)))
        chosen = min(pair, key=lambda one: self._in_flight_by_name.get(one, 0))
        upstream = self._directory.upstreams_by_name[chosen]
        self._in_flight_by_name[chosen] = (
            self._in_flight_by_name.get(chosen, 0) + 1
        )
        self._last_number += 1
        return Ticket(self._last_number, upstream, is_cold=False, taken_at=now)

    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Count the call out."""
        self._in_flight_by_name[ticket.upstream.name] -= 1


def create_router(
    directory: UpstreamDirectory, rng: random.Random
) -> TwoChoiceRouter:
    """Return a router over a directory."""
    return TwoChoiceRouter(directory, rng)
