"""The queue of the pieces that wait for a group of runners.

Pieces are ordered by the time at which they are needed. The priority and the
size of their request move that time by fixed offsets. Where not all can be in
time, less urgent requests give way, see ``urgency``.
"""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.account_service import AccountService
from damaskpoint.batching.urgency import (
    GroupRate,
    WaitingPieces,
    find_yielding,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.batching.model import Piece
    from damaskpoint.catalog.model import BatchLimits

    # Request id and index of the stage.
    _RequestStage = tuple[str, int]

# How long a piece waits for a runner of its preferred zone, per byte that
# would cross zones (seconds per byte) and at most (seconds): for a megabyte
# about as long as a call of a stage.
_ZONE_WAIT_S_PER_BYTE: Final = 1e-6
_MAX_ZONE_WAIT_S: Final = 0.4
# Delay of a piece for each level of priority (seconds), and the level above
# which the delay no longer grows; level 0 is the most urgent.
_PRIORITY_LAG_S: Final = 0.2
_MAX_PRIORITY: Final = 3
# Size of a piece that may overtake one that waits for memory, as a share of the
# latter's size.
_NEGLIGIBLE_SHARE: Final = 0.05
# Smallest share of the possible batch that is sent if the runner lacks memory
# for the rest.
_MIN_BATCH_SHARE: Final = 0.7


@final
@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A queued piece with its position in the order of the queue."""

    virtual_deadline: float
    number: int
    piece: Piece = field(compare=False)
    added_at: float = field(compare=False)


@final
@dataclass(frozen=True, slots=True)
class IdleRunner:
    """A runner that can take a call now."""

    zone: str
    # Zones of all runners of the group.
    group_zones: frozenset[str]
    free_bytes: float
    # Whether the batch may be small because memory is short.
    allows_small_batch: bool
    # Calls that the group runs at the same time, and its pace.
    group_slots: int = 1
    group_pace: float = 1
    # Memory for the results of one call that leaves room for the next ones.
    call_bytes: float = math.inf


@final
class _FreeMemory:
    """The memory of a runner that the pieces of a call may still use."""

    def __init__(self, free_bytes: float) -> None:
        self._free_bytes = free_bytes
        self._max_piece_bytes = free_bytes

    def take(self, size: int) -> bool:
        """Use memory for a piece; return False if it has to wait for more."""
        if size > self._free_bytes:
            # Only pieces that need hardly any memory may overtake one that is
            # waiting for it.
            limit = size * _NEGLIGIBLE_SHARE
            self._max_piece_bytes = min(self._max_piece_bytes, limit)
        if size > min(self._free_bytes, self._max_piece_bytes):
            return False
        self._free_bytes -= size
        return True


@final
class PieceQueue:
    """An ordered queue of pieces; times are monotonic seconds."""

    def __init__(
        self, limits: BatchLimits, *, shares_capacity: bool = True
    ) -> None:
        """Start empty.

        With ``shares_capacity``, requests give way by urgency and account where
        not all can be in time.
        """
        self.limits = limits
        self._shares_capacity = shares_capacity
        self._tickets: list[Ticket] = []
        self._last_number = 0
        # Requests of which pieces have been taken while others wait.
        self._begun: frozenset[_RequestStage] = frozenset()
        self._service = AccountService()
        # When a free runner was first left to others, by ticket number,
        # because a piece waits for its own zone.
        self._held_since: dict[int, float] = {}

    # Commands.

    def add(self, piece: Piece, now: float) -> Ticket:
        """Queue a piece and return its ticket."""
        self._last_number += 1
        lag_s = min(max(0, piece.priority), _MAX_PRIORITY) * _PRIORITY_LAG_S
        virtual_deadline = piece.needed_at - piece.lead_s + lag_s
        ticket = Ticket(virtual_deadline, self._last_number, piece, now)
        bisect.insort(self._tickets, ticket)
        self._service.add(piece.account)
        return ticket

    def put_back(self, tickets: Iterable[Ticket]) -> None:
        """Requeue pieces that were not run, at their old positions."""
        for ticket in tickets:
            bisect.insort(self._tickets, ticket)
            self._service.put_back(ticket.piece.account)

    def take_all(self) -> tuple[Ticket, ...]:
        """Remove and return all pieces."""
        tickets = tuple(self._tickets)
        self._remove(tickets, [])
        return tickets

    def cancel(self, ticket: Ticket) -> None:
        """Remove a piece whose request no longer needs it."""
        position = bisect.bisect_left(self._tickets, ticket)
        if position < len(self._tickets) and self._tickets[position] == ticket:
            self._tickets.pop(position)
            self._held_since.pop(ticket.number, None)
            self._service.remove(ticket.piece.account)

    def take_late(self, pace: float, now: float) -> tuple[Ticket, ...]:
        """Remove and return the pieces that are no longer worth running.

        If more pieces wait than fit into one call, this includes those that
        would miss their objective and for whose request no work was begun yet.
        """
        earliest_end_at = now + self.limits.estimate_call_s(1) * pace
        is_contended = len(self._tickets) > self.limits.max_pieces
        late = []
        remaining = []
        for ticket in self._tickets:
            piece = ticket.piece
            is_droppable = is_contended and not self._has_cost(ticket)
            last_useful_at = piece.needed_at if is_droppable else piece.ends_at
            if last_useful_at < earliest_end_at:
                late.append(ticket)
            else:
                remaining.append(ticket)
        self._remove(late, remaining)
        return tuple(late)

    def take_batch(self, runner: IdleRunner, now: float) -> tuple[Ticket, ...]:
        """Remove and return the pieces of a runner's next call.

        Returns none while it is better to wait for more free memory.
        """
        call_bytes = self._find_call_bytes(runner)
        fair_share = _FreeMemory(call_bytes)
        memory = _FreeMemory(min(runner.free_bytes, call_bytes))
        taken: list[Ticket] = []
        remaining: list[Ticket] = []
        eligible = 0
        for ticket in self._list_by_urgency(runner, now):
            if len(taken) == self.limits.max_pieces or self._hold(
                ticket, runner, now
            ):
                remaining.append(ticket)
                continue
            eligible += fair_share.take(ticket.piece.result_bytes)
            if memory.take(ticket.piece.result_bytes):
                taken.append(ticket)
            else:
                remaining.append(ticket)
        eligible = min(eligible, self.limits.max_pieces)
        if (
            len(taken) < eligible * _MIN_BATCH_SHARE
            and not runner.allows_small_batch
        ):
            return ()
        self._tickets = sorted(remaining)
        if not self._shares_capacity:
            return tuple(taken)
        begun = self._begun.union(map(_identify, taken))
        self._begun = begun.intersection(map(_identify, remaining))
        for ticket in taken:
            self._service.take(ticket.piece.account)
        return tuple(taken)

    def forget_held(self, tickets: Iterable[Ticket], now: float) -> float:
        """Forget how long pieces waited for their zone, return the longest.

        The time counts from when a runner of another zone was free (seconds).
        """
        longest_s = float(0)
        for ticket in tickets:
            since = self._held_since.pop(ticket.number, now)
            longest_s = max(longest_s, now - since)
        return longest_s

    # Queries.

    def find_next_zone(self) -> str:
        """Return the preferred zone of the next piece, or an empty string."""
        return self._tickets[0].piece.zone if self._tickets else ''

    def __len__(self) -> int:
        """Return the number of queued pieces."""
        return len(self._tickets)

    # Steps.

    def _find_call_bytes(self, runner: IdleRunner) -> float:
        """Return the memory for a call, enough for each single piece."""
        sizes = [ticket.piece.result_bytes for ticket in self._tickets]
        return max((runner.call_bytes, *sizes))

    def _hold(self, ticket: Ticket, runner: IdleRunner, now: float) -> bool:
        """Return whether a piece is left for a runner of its own zone."""
        if not _waits_for_own_zone(ticket, runner, now):
            return False
        self._held_since.setdefault(ticket.number, now)
        return True

    def _remove(
        self, removed: Iterable[Ticket], remaining: list[Ticket]
    ) -> None:
        self._tickets = remaining
        for ticket in removed:
            self._held_since.pop(ticket.number, None)
            self._service.remove(ticket.piece.account)

    def _list_by_urgency(self, runner: IdleRunner, now: float) -> list[Ticket]:
        """Return the tickets in the order in which they should run.

        Pieces that are deferred or miss their objective come last, and before
        them those that give way to others. Of these, requests with results
        come first, as runners keep results for a short time only.
        """
        if self._shares_capacity:
            yielding = self._find_yielding(runner, now)
        else:
            yielding = self._find_late(now)
        in_time = []
        with_cost = []
        others = []
        for ticket in self._tickets:
            if not ticket.piece.is_deferred and (
                _identify(ticket) not in yielding
            ):
                in_time.append(ticket)
            elif self._has_cost(ticket):
                with_cost.append(ticket)
            else:
                others.append(ticket)
        return in_time + with_cost + others

    def _find_late(self, now: float) -> frozenset[_RequestStage]:
        """Return the requests that would miss their objective even now."""
        earliest_end_at = now + self.limits.estimate_call_s(1)
        return frozenset(
            _identify(ticket)
            for ticket in self._tickets
            if ticket.piece.needed_at < earliest_end_at
        )

    def _find_yielding(
        self, runner: IdleRunner, now: float
    ) -> frozenset[_RequestStage]:
        """Return the requests that cannot be in time or give way."""
        tickets_by_request: dict[_RequestStage, list[Ticket]] = {}
        for ticket in self._tickets:
            if not ticket.piece.is_deferred:
                tickets_by_request.setdefault(_identify(ticket), []).append(
                    ticket
                )
        waiting = [
            WaitingPieces(
                pieces=len(tickets),
                priority=tickets[0].piece.priority,
                has_cost=self._has_cost(tickets[0]),
                left_s=tickets[0].piece.needed_at - now,
                account=tickets[0].piece.account,
            )
            for tickets in tickets_by_request.values()
        ]
        rate = GroupRate(self.limits, runner.group_slots, runner.group_pace)
        requests = tuple(tickets_by_request)
        taken_by_account = {
            request.account: self._service.count_taken(request.account)
            for request in waiting
        }
        yielding = find_yielding(waiting, rate, taken_by_account)
        return frozenset(requests[index] for index in yielding)

    def _has_cost(self, ticket: Ticket) -> bool:
        """Return whether work for the request of a piece was begun."""
        return ticket.piece.has_cost or _identify(ticket) in self._begun


def _identify(ticket: Ticket) -> _RequestStage:
    return (ticket.piece.request_id, ticket.piece.stage)


def sum_bytes(tickets: Sequence[Ticket]) -> int:
    """Return the total size of the results of pieces."""
    return sum(ticket.piece.result_bytes for ticket in tickets)


def _waits_for_own_zone(ticket: Ticket, runner: IdleRunner, now: float) -> bool:
    piece = ticket.piece
    if piece.zone == runner.zone or piece.zone not in runner.group_zones:
        return False
    wait_s = min(_MAX_ZONE_WAIT_S, piece.moved_bytes * _ZONE_WAIT_S_PER_BYTE)
    return now - ticket.added_at < wait_s
