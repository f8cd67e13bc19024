"""The orders that wait for the outcomes of queued pieces."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from damaskpoint.batching.model import PieceOutcome
    from damaskpoint.batching.waiting import Ticket


@final
class PieceWaiters:
    """The future of each awaited piece, and in how many calls it failed."""

    def __init__(self) -> None:
        """Start without pieces."""
        self._futures_by_ticket: dict[int, asyncio.Future[PieceOutcome]] = {}
        self._failures_by_ticket: dict[int, int] = {}

    def add(
        self, ticket: Ticket, loop: asyncio.AbstractEventLoop
    ) -> asyncio.Future[PieceOutcome]:
        """Return the future of a queued piece."""
        future: asyncio.Future[PieceOutcome] = loop.create_future()
        self._futures_by_ticket[ticket.number] = future
        return future

    def resolve(self, ticket: Ticket, outcome: PieceOutcome) -> None:
        """Pass on the outcome of a piece, unless nothing waits for it."""
        self._failures_by_ticket.pop(ticket.number, None)
        future = self._futures_by_ticket.pop(ticket.number, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def forget(self, ticket: Ticket) -> None:
        """Drop a piece that its request no longer waits for."""
        self._failures_by_ticket.pop(ticket.number, None)
        self._futures_by_ticket.pop(ticket.number, None)

    def record_failure(self, ticket: Ticket) -> None:
        """Count a call in which a piece failed."""
        failures = self.count_failures(ticket)
        self._failures_by_ticket[ticket.number] = failures + 1

    def count_failures(self, ticket: Ticket) -> int:
        """Return in how many calls a piece failed."""
        return self._failures_by_ticket.get(ticket.number, 0)

    def awaits(self, ticket: Ticket) -> bool:
        """Return whether a request still waits for a piece."""
        return ticket.number in self._futures_by_ticket

    def select_awaited(self, tickets: Iterable[Ticket]) -> list[Ticket]:
        """Return the pieces that their request still waits for."""
        return [ticket for ticket in tickets if self.awaits(ticket)]
