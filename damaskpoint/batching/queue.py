"""The pieces that wait for a group of runners, in the order of their calls.

Pieces are ordered by the time at which they are needed; those of urgent and
of large requests go before others by a fixed time.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.batching.model import Piece
    from damaskpoint.catalog.model import BatchLimits

# How long a piece waits for a runner of its own zone, by the bytes that
# would cross zones (seconds a byte), and at most (seconds): about a call of
# a stage for a megabyte.
_HOME_WAIT_S_PER_BYTE: Final = 1e-6
_MAX_HOME_WAIT_S: Final = 0.4
# Time that each step of priority puts a piece behind others (seconds), and
# the priority from which on steps do not count.
_PRIORITY_LAG_S: Final = 0.2
_MAX_PRIORITY: Final = 3
# Share of a call that is worth making when there is no room for more.
_WORTH_SHARE: Final = 0.7


@final
@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """The place of a piece in the queue."""

    turn_at: float
    number: int
    piece: Piece = field(compare=False)
    added_at: float = field(compare=False)


@final
@dataclass(frozen=True, slots=True)
class Taker:
    """A runner that could take a call now."""

    zone: str
    # Zones that have runners like this one.
    zones: frozenset[str]
    room_bytes: float
    # Whether a call is made however little room there is.
    takes_any: bool


@final
class PieceQueue:
    """Pieces in order; times are monotonic seconds."""

    def __init__(self, limits: BatchLimits) -> None:
        """Start empty."""
        self.limits = limits
        self._tickets: list[Ticket] = []
        self._last_number = 0

    # Commands.

    def add(self, piece: Piece, now: float) -> Ticket:
        """Let a piece wait and return its place."""
        self._last_number += 1
        lag_s = min(max(0, piece.priority), _MAX_PRIORITY) * _PRIORITY_LAG_S
        turn_at = piece.needed_at - piece.lead_s + lag_s
        ticket = Ticket(turn_at, self._last_number, piece, now)
        bisect.insort(self._tickets, ticket)
        return ticket

    def put_back(self, tickets: Iterable[Ticket]) -> None:
        """Let pieces that were not made wait in their old places."""
        for ticket in tickets:
            bisect.insort(self._tickets, ticket)

    def cancel(self, ticket: Ticket) -> None:
        """Take a piece out that nobody waits for."""
        place = bisect.bisect_left(self._tickets, ticket)
        if place < len(self._tickets) and self._tickets[place] == ticket:
            self._tickets.pop(place)

    def take_late(self, pace: float, now: float) -> tuple[Ticket, ...]:
        """Take out the pieces that are not worth making any more.

        Where more pieces wait than one call takes, those of requests that
        would be late, and for which nothing was made yet, are taken too.
        """
        soonest = now + self.limits.estimate_call_s(1) * pace
        is_contended = len(self._tickets) > self.limits.max_pieces
        late = []
        left = []
        for ticket in self._tickets:
            piece = ticket.piece
            is_given_up = is_contended and not piece.has_cost
            limit = piece.needed_at if is_given_up else piece.ends_at
            if limit < soonest:
                late.append(ticket)
            else:
                left.append(ticket)
        self._tickets = left
        return tuple(late)

    def take(self, taker: Taker, now: float) -> tuple[Ticket, ...]:
        """Take the pieces of a runner's next call out of the queue.

        None are taken while it is better to wait for more room.
        """
        taken: list[Ticket] = []
        left: list[Ticket] = []
        wanted = 0
        room = taker.room_bytes
        for ticket in self._order(now):
            if len(taken) == self.limits.max_pieces or _waits_for_home(
                ticket, taker, now
            ):
                left.append(ticket)
                continue
            wanted += 1
            size = ticket.piece.result_bytes
            if size > room:
                # Nothing overtakes a more urgent piece for want of room.
                room = 0
                left.append(ticket)
                continue
            room -= size
            taken.append(ticket)
        wanted = min(wanted, self.limits.max_pieces)
        if len(taken) < wanted * _WORTH_SHARE and not taker.takes_any:
            return ()
        self._tickets = sorted(left)
        return tuple(taken)

    # Queries.

    def find_first_zone(self) -> str:
        """Return the zone of the piece whose turn is next."""
        return self._tickets[0].piece.zone if self._tickets else ''

    def __len__(self) -> int:
        """Return how many pieces wait."""
        return len(self._tickets)

    # Steps.

    def _order(self, now: float) -> list[Ticket]:
        """Return the pieces in the order of their calls.

        Those that miss their objective go behind; of these, those for which
        work has been done go first, since results are kept for a short time.
        """
        soonest = now + self.limits.estimate_call_s(1)
        in_time = []
        with_cost = []
        others = []
        for ticket in self._tickets:
            piece = ticket.piece
            if not piece.is_deferred and piece.needed_at >= soonest:
                in_time.append(ticket)
            elif piece.has_cost:
                with_cost.append(ticket)
            else:
                others.append(ticket)
        return in_time + with_cost + others


def sum_bytes(tickets: Sequence[Ticket]) -> int:
    """Return the size of the results of pieces."""
    return sum(ticket.piece.result_bytes for ticket in tickets)


def _waits_for_home(ticket: Ticket, taker: Taker, now: float) -> bool:
    piece = ticket.piece
    if piece.zone == taker.zone or piece.zone not in taker.zones:
        return False
    wait_s = min(_MAX_HOME_WAIT_S, piece.moved_bytes * _HOME_WAIT_S_PER_BYTE)
    return now - ticket.added_at < wait_s
