"""The queue of the pieces that wait for a group of runners.

Requests are ordered by the time at which their pieces are needed. The priority
and the size of a request move that time by fixed offsets. Where not all can be
in time, less urgent requests give way, see ``urgency``.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.account_service import AccountService
from damaskpoint.batching.urgency import (
    GroupRate,
    WaitingPieces,
    find_yielding,
)
from damaskpoint.batching.waiting import FreeMemory, Ticket, WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from damaskpoint.batching.model import Piece
    from damaskpoint.batching.waiting import IdleRunner
    from damaskpoint.catalog.model import BatchLimits

    # Request id, index of the stage, and client account: callers choose the
    # id, and those of two accounts may choose the same.
    _RequestStage = tuple[str, int, str]

# How long a piece waits for a runner of its preferred zone, per byte that
# would cross zones (seconds per byte) and at most (seconds): for a megabyte
# about as long as a call of a stage.
_ZONE_WAIT_S_PER_BYTE: Final = 1e-6
_MAX_ZONE_WAIT_S: Final = 0.4
# Delay of a piece for each level of priority (seconds), and the level above
# which the delay no longer grows; level 0 is the most urgent.
_PRIORITY_LAG_S: Final = 0.2
_MAX_PRIORITY: Final = 3
# Smallest share of the possible batch that is sent if the runner lacks memory
# for the rest.
_MIN_BATCH_SHARE: Final = 0.7


@final
class PieceQueue:
    """An ordered queue of pieces; times are monotonic seconds.

    It is searched for each call, so the time for that follows the number of
    requests, not that of pieces.
    """

    def __init__(
        self, limits: BatchLimits, *, shares_capacity: bool = True
    ) -> None:
        """Start empty.

        With ``shares_capacity``, requests give way by urgency and account where
        not all can be in time.
        """
        self.limits = limits
        self._shares_capacity = shares_capacity
        # In the order in which they are needed, and by identity.
        self._requests: list[WaitingRequest] = []
        self._requests_by_key: dict[_RequestStage, WaitingRequest] = {}
        self._count = 0
        self._last_number = 0
        self._service = AccountService()
        # When a free runner was first left to others, by request, because its
        # pieces wait for a runner of their own zone.
        self._held_since: dict[_RequestStage, float] = {}

    # Commands.

    def add(self, piece: Piece, now: float) -> Ticket:
        """Queue a piece and return its ticket."""
        self._last_number += 1
        lag_s = min(max(0, piece.priority), _MAX_PRIORITY) * _PRIORITY_LAG_S
        virtual_deadline = piece.needed_at - piece.lead_s + lag_s
        ticket = Ticket(virtual_deadline, self._last_number, piece, now)
        self._insert(ticket)
        self._service.add(piece.account)
        return ticket

    def put_back(self, tickets: Iterable[Ticket]) -> None:
        """Requeue pieces that were not run, at their old positions."""
        for ticket in tickets:
            self._insert(ticket)
            self._service.put_back(ticket.piece.account)

    def take_all(self) -> tuple[Ticket, ...]:
        """Remove and return all pieces."""
        return self._drop(tuple(self._requests))

    def cancel(self, ticket: Ticket) -> None:
        """Remove a piece whose request no longer needs it."""
        request = self._requests_by_key.get(_identify(ticket.piece))
        if request is None or ticket not in request.tickets:
            return
        if len(request.tickets) == 1:
            self._drop((request,))
            return
        request.tickets.remove(ticket)
        self._count -= 1
        self._service.remove(ticket.piece.account)

    def take_late(self, pace: float, now: float) -> tuple[Ticket, ...]:
        """Remove and return the pieces that are no longer worth running.

        If more pieces wait than fit into one call, this includes those that
        would miss their objective and for whose request no work was begun yet.
        """
        earliest_end_at = now + self.limits.estimate_call_s(1) * pace
        is_contended = self._count > self.limits.max_pieces
        late = []
        for request in self._requests:
            piece = request.piece
            is_droppable = is_contended and not request.has_cost
            last_useful_at = piece.needed_at if is_droppable else piece.ends_at
            if last_useful_at < earliest_end_at:
                late.append(request)
        return self._drop(late)

    def take_batch(self, runner: IdleRunner, now: float) -> tuple[Ticket, ...]:
        """Remove and return the pieces of a runner's next call.

        Returns none while it is better to wait for more free memory.
        """
        call_bytes = self._find_call_bytes(runner)
        if self._must_wait(runner, call_bytes, now):
            return ()
        fair_share = FreeMemory(call_bytes)
        memory = FreeMemory(min(runner.free_bytes, call_bytes))
        possible = 0
        pieces = 0
        # With the number of pieces that the call takes of each.
        chosen: list[tuple[WaitingRequest, int]] = []
        for request in self._list_by_urgency(runner, now):
            if self._waits_for_own_zone(request, runner, now):
                continue
            count = min(self.limits.max_pieces - pieces, len(request.tickets))
            possible += fair_share.take(request.piece.result_bytes, count)
            count = memory.take(request.piece.result_bytes, count)
            pieces += count
            chosen.append((request, count))
            if pieces == self.limits.max_pieces:
                break
        is_small = pieces < possible * _MIN_BATCH_SHARE
        if is_small and not runner.allows_small_batch:
            return ()
        return self._take(chosen)

    def forget_held(self, tickets: Iterable[Ticket], now: float) -> float:
        """Forget how long pieces waited for their zone, return the longest.

        The time counts from when a runner of another zone was free (seconds).
        """
        longest_s = float(0)
        for ticket in tickets:
            since = self._held_since.pop(_identify(ticket.piece), now)
            longest_s = max(longest_s, now - since)
        return longest_s

    # Queries.

    def find_next_zone(self) -> str:
        """Return the preferred zone of the next piece, or an empty string."""
        return self._requests[0].piece.zone if self._requests else ''

    def find_yielding(
        self, runner: IdleRunner, now: float
    ) -> frozenset[_RequestStage]:
        """Return the requests that cannot be in time or give way."""
        requests = [
            request
            for request in self._requests
            if not request.piece.is_deferred
        ]
        waiting = [
            WaitingPieces(
                pieces=len(request.tickets),
                priority=request.piece.priority,
                has_cost=request.has_cost,
                left_s=request.piece.needed_at - now,
                account=request.piece.account,
            )
            for request in requests
        ]
        rate = GroupRate(
            self.limits,
            runner.group_slots,
            runner.group_pace,
            runner.group_drain_pace,
        )
        taken_by_account = {
            request.account: self._service.count_taken(request.account)
            for request in waiting
        }
        yielding = find_yielding(waiting, rate, taken_by_account)
        return frozenset(_identify(requests[index].piece) for index in yielding)

    def __len__(self) -> int:
        """Return the number of queued pieces."""
        return self._count

    # Steps.

    def _insert(self, ticket: Ticket) -> None:
        self._count += 1
        key = _identify(ticket.piece)
        request = self._requests_by_key.get(key)
        if request is not None:
            bisect.insort(request.tickets, ticket)
            return
        request = WaitingRequest(ticket, [ticket])
        self._requests_by_key[key] = request
        bisect.insort(self._requests, request)

    def _remove(self, request: WaitingRequest) -> None:
        """Remove a request with the pieces that it still has."""
        self._count -= len(request.tickets)
        self._requests_by_key.pop(_identify(request.piece))
        position = bisect.bisect_left(self._requests, request)
        self._requests.pop(position)

    def _drop(self, requests: Iterable[WaitingRequest]) -> tuple[Ticket, ...]:
        """Remove requests whose pieces no runner takes; return the pieces."""
        dropped: list[Ticket] = []
        for request in requests:
            self._remove(request)
            self._held_since.pop(_identify(request.piece), None)
            dropped.extend(request.tickets)
        for ticket in dropped:
            self._service.remove(ticket.piece.account)
        return tuple(dropped)

    def _take(
        self, chosen: Iterable[tuple[WaitingRequest, int]]
    ) -> tuple[Ticket, ...]:
        """Remove the first pieces of each request, and return them."""
        taken: list[Ticket] = []
        for request, count in chosen:
            if not count:
                continue
            taken.extend(request.tickets[:count])
            if count == len(request.tickets):
                self._remove(request)
                continue
            request.tickets = request.tickets[count:]
            self._count -= count
            request.is_begun = self._shares_capacity
        if self._shares_capacity:
            for ticket in taken:
                self._service.take(ticket.piece.account)
        return tuple(taken)

    def _must_wait(
        self, runner: IdleRunner, call_bytes: float, now: float
    ) -> bool:
        """Return whether a batch would be empty or too small in any order."""
        waiting = 0
        sizes = []
        for request in self._requests:
            if self._waits_for_own_zone(request, runner, now):
                key = _identify(request.piece)
                self._held_since.setdefault(key, now)
                continue
            waiting += len(request.tickets)
            sizes.append(max(1, request.piece.result_bytes))
        if not waiting or runner.allows_small_batch:
            return not waiting
        possible = min(
            waiting, self.limits.max_pieces, call_bytes // max(sizes)
        )
        return runner.free_bytes // min(sizes) < possible * _MIN_BATCH_SHARE

    def _waits_for_own_zone(
        self, request: WaitingRequest, runner: IdleRunner, now: float
    ) -> bool:
        """Return whether a request leaves a runner of another zone to others.

        It does as long as it can be in time with the call after this one.
        """
        piece = request.piece
        if piece.zone == runner.zone or piece.zone not in runner.group_zones:
            return False
        wait_s = min(
            _MAX_ZONE_WAIT_S, piece.moved_bytes * _ZONE_WAIT_S_PER_BYTE
        )
        if now - request.first.added_at >= wait_s:
            return False
        call_s = self.limits.estimate_call_s(self.limits.max_pieces)
        next_end_s = call_s * runner.group_pace * (1 + 1 / runner.group_slots)
        return now + next_end_s <= piece.needed_at

    def _find_call_bytes(self, runner: IdleRunner) -> float:
        """Return the memory for a call, enough for each single piece."""
        sizes = [request.piece.result_bytes for request in self._requests]
        return max((runner.call_bytes, *sizes))

    def _list_by_urgency(
        self, runner: IdleRunner, now: float
    ) -> list[WaitingRequest]:
        """Return the requests in the order in which they should run.

        Those that are deferred or miss their objective come last, and before
        them those that give way to others. Of these, requests with results
        come first, as runners keep results for a short time only.
        """
        if self._shares_capacity:
            yielding = self.find_yielding(runner, now)
        else:
            yielding = self._find_late(now)
        in_time = []
        with_cost = []
        others = []
        for request in self._requests:
            if not request.piece.is_deferred and (
                _identify(request.piece) not in yielding
            ):
                in_time.append(request)
            elif request.has_cost:
                with_cost.append(request)
            else:
                others.append(request)
        return in_time + with_cost + others

    def _find_late(self, now: float) -> frozenset[_RequestStage]:
        """Return the requests that would miss their objective even now."""
        earliest_end_at = now + self.limits.estimate_call_s(1)
        return frozenset(
            _identify(request.piece)
            for request in self._requests
            if request.piece.needed_at < earliest_end_at
        )


def _identify(piece: Piece) -> _RequestStage:
    return (piece.request_id, piece.stage, piece.account)


def sum_bytes(tickets: Sequence[Ticket]) -> int:
    """Return the total size of the results of pieces."""
    return sum(ticket.piece.result_bytes for ticket in tickets)
