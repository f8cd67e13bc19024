"""Batches the pieces for a group of runners that share one queue.

The first runner of the group that becomes free takes the waiting pieces, so
that a piece waits for only a fraction of a call.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.calls import (
    Batch,
    add_times,
    count_made,
    list_requests,
    log_call,
    log_full,
    record_no_room,
)
from damaskpoint.batching.capacities import CapacityTable
from damaskpoint.batching.drain import DrainMeter
from damaskpoint.batching.model import PieceOutcome, PieceReason
from damaskpoint.batching.order_times import OrderTimes
from damaskpoint.batching.paces import NOMINAL_PACE
from damaskpoint.batching.queue import PieceQueue, sum_bytes
from damaskpoint.batching.releaser import ResultReleaser
from damaskpoint.batching.result_stays import ResultStays
from damaskpoint.batching.waiters import PieceWaiters
from damaskpoint.batching.waiting import IdleRunner
from damaskpoint.errors import Failure
from damaskpoint.membership.facts import PaceFact

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.base import PieceCaller
    from damaskpoint.batching.capacity import RunnerCapacity
    from damaskpoint.batching.model import Piece
    from damaskpoint.batching.waiting import Ticket
    from damaskpoint.catalog.model import BatchLimits, Runner

    # Pace, and whether the runner is in another zone; lower is better.
    _Rank = tuple[float, bool]

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
_HALF: Final = 0.5
# Interval at which a waiting queue is dispatched without other events
# (seconds): a small fraction of the shortest call.
_POLL_S: Final = 0.02
# Timeout of a call as a multiple of its expected duration at the measured
# pace, and the shortest timeout (seconds). It leaves time for a slow runner.
_CALL_TIMEOUT_FACTOR: Final = 3.0
_MIN_CALL_TIMEOUT_S: Final = 1.0
# Calls in which a piece may fail before it is reported as failed.
_MAX_ATTEMPTS: Final = 3


@final
class RunnerGroup:
    """Runs the pieces of one group of runners; owns their queue."""

    def __init__(
        self,
        limits: BatchLimits,
        find_runners: Callable[[], Sequence[Runner]],
        health: RunnerHealth,
        caller: PieceCaller,
        *,
        shares_capacity: bool = True,
    ) -> None:
        """Start idle; ``find_runners`` returns the usable runners.

        See ``PieceQueue`` for ``shares_capacity``.
        """
        self.queue = PieceQueue(limits, shares_capacity=shares_capacity)
        self._limits = limits
        self._find_runners = find_runners
        self._health = health
        self._caller = caller
        self.capacities = CapacityTable(limits)
        self._stays = ResultStays()
        self._drain = DrainMeter(limits)
        self._order_times = OrderTimes()
        self._waiters = PieceWaiters()
        self._releaser = ResultReleaser(caller, health, self._handle_released)
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        # Whether pieces that were not run go back to their requests.
        self._is_handing_back = False

    # Commands.

    async def run_pieces(
        self, pieces: Sequence[Piece]
    ) -> tuple[PieceOutcome, ...]:
        """Return the outcomes of the pieces, in the same order.

        If the awaiting task is cancelled, the waiting pieces are removed.
        """
        loop = asyncio.get_running_loop()
        now = time.monotonic()
        self._is_handing_back = False
        tickets = [self.queue.add(piece, now) for piece in pieces]
        waiters = [self._waiters.add(ticket, loop) for ticket in tickets]
        # Dispatched in the next iteration of the loop, so that pieces that
        # arrive in this one share a call.
        loop.call_soon(self._dispatch)
        try:
            outcomes = tuple(await asyncio.gather(*waiters))
        except asyncio.CancelledError:
            self._abandon(tickets, waiters)
            raise
        if not pieces[0].is_deferred:
            self._order_times.record(outcomes, time.monotonic())
        return outcomes

    def hand_back(self) -> int:
        """Return the waiting pieces to their requests; count them.

        Pieces in flight follow if their call ends without running them, until
        more pieces are ordered.
        """
        self._is_handing_back = True
        tickets = self.queue.take_all()
        self._put_back(tickets)
        return len(tickets)

    def release(self, runner: Runner, handles: Iterable[str]) -> None:
        """Release results at their runner after a short delay."""
        self._releaser.release(runner, handles)

    # Queries.

    @property
    def is_unused(self) -> bool:
        """Return whether no piece waits and no call is in flight."""
        is_idle = not self._tasks and self._releaser.is_idle
        return is_idle and not len(self.queue)

    @property
    def pace(self) -> float:
        """Return the duration of calls divided by the expected one.

        This is the harmonic mean over the runners, since a slow runner takes
        fewer of the calls.
        """
        runners = self._find_runners()
        if not runners:
            return NOMINAL_PACE
        speed = sum(1 / self._find_capacity(item.name).pace for item in runners)
        return len(runners) / speed

    def report_pace(self, name: str, now: float) -> PaceFact:
        """Return the paces of single calls and of a backlog."""
        runners = len(self._find_runners())
        pace = self.pace
        drain_pace = self._drain.find_pace(pace, runners, now)
        return PaceFact(
            name,
            pace,
            drain_pace if drain_pace > pace else 0,
            self._order_times.find_mean_s(now),
        )

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the state of the queue and of the runners."""
        runners = len(self._find_runners())
        drain_pace = self._drain.find_pace(self.pace, runners, now)
        return {
            'waiting': len(self.queue),
            'drain_pace': round(drain_pace, 2),
            'order_s': round(self._order_times.find_mean_s(now), 3),
            'result_stay_s': round(self._stays.mean_s, 2),
            'runners_by_name': self.capacities.dump_state(now),
        }

    # Steps.

    def _dispatch(self) -> None:
        """Start all calls that are possible now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = time.monotonic()
        runners = self._find_runners()
        self._start_calls(self._health.select_retryable(runners, now), now)
        self._drain.record_queue(len(self.queue), len(runners), now)
        pause_s = self._health.pause_left_s(runners, now)
        if pause_s is not None:
            self._drop_late(NOMINAL_PACE, now + pause_s)
        if len(self.queue) and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_POLL_S, self._dispatch)

    def _start_calls(self, usable: Sequence[Runner], now: float) -> None:
        """Start calls at the idle runners, the best for the next piece first."""
        zone = self.queue.find_next_zone()
        ranked = []
        for candidate in usable:
            capacity = self._find_capacity(candidate.name)
            if capacity.is_idle(now):
                rank = (capacity.pace, candidate.zone != zone)
                ranked.append((rank, candidate))
        ranked.sort(key=_by_rank)
        for _, runner in ranked:
            self._drop_late(self._find_capacity(runner.name).pace, now)
            if not len(self.queue):
                return
            batch = self._take_batch(runner, now)
            if batch is None:
                continue
            task = asyncio.ensure_future(self._call(runner, batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _take_batch(self, runner: Runner, now: float) -> Batch | None:
        capacity = self._find_capacity(runner.name)
        runners = self._find_runners()
        free_bytes = capacity.free_bytes(now)
        pace = self.pace
        idle_runner = IdleRunner(
            zone=runner.zone,
            group_zones=frozenset(item.zone for item in runners),
            free_bytes=free_bytes,
            call_bytes=max(
                free_bytes * _HALF,
                self._stays.find_sustained_bytes(self._limits, capacity.pace),
            ),
            allows_small_batch=capacity.is_memory_wait_over(now),
            group_slots=len(runners) * self._limits.max_concurrent_calls,
            group_pace=pace,
            group_drain_pace=self._drain.find_pace(pace, len(runners), now),
        )
        tickets = self.queue.take_batch(idle_runner, now)
        if not tickets:
            capacity.start_memory_wait(now)
            return None
        capacity.begin_call(len(tickets), sum_bytes(tickets), now)
        held_s = self.queue.forget_held(tickets, now)
        return Batch(tickets, now, idle_runner.free_bytes, held_s)

    def _drop_late(self, pace: float, starts_at: float) -> None:
        """Drop the pieces that are late if they start at this time."""
        for ticket in self.queue.take_late(pace, starts_at):
            self._waiters.resolve(ticket, PieceOutcome(None, PieceReason.LATE))

    async def _call(self, runner: Runner, batch: Batch) -> None:
        capacity = self._find_capacity(runner.name)
        tickets = batch.tickets
        expected_s = capacity.busy_until - time.monotonic()
        answer = await self._caller.run_pieces(
            runner,
            [ticket.piece for ticket in tickets],
            max(_MIN_CALL_TIMEOUT_S, _CALL_TIMEOUT_FACTOR * expected_s),
        )
        now = time.monotonic()
        capacity.end_call(sum_bytes(tickets), now)
        if isinstance(answer, Failure):
            self._handle_failed_call(runner, tickets, answer)
        elif answer.outcomes is None:
            capacity.record_full(answer.load, now)
            log_full(runner, tickets, answer.load)
            self._put_back(self._waiters.select_awaited(tickets))
        else:
            capacity.record_answer(
                answer.load, len(tickets), now - batch.began_at, now
            )
            outcomes = add_times(batch, answer.outcomes, now)
            self._distribute(runner, batch, outcomes, now)
            log_call(runner, batch, outcomes, answer, capacity)
        self._dispatch()

    def _distribute(
        self,
        runner: Runner,
        batch: Batch,
        outcomes: Sequence[PieceOutcome],
        now: float,
    ) -> None:
        capacity = self._find_capacity(runner.name)
        self._drain.record_made(count_made(outcomes), now)
        orphaned = []
        for ticket, outcome in zip(batch.tickets, outcomes, strict=True):
            if outcome.handle is not None:
                size = ticket.piece.result_bytes
                capacity.add_result(outcome.handle, size, now)
                self._stays.record_made(outcome.handle, size, now)
                if not self._waiters.awaits(ticket):
                    orphaned.append(outcome.handle)
            if outcome.reason is PieceReason.NO_ROOM:
                self._put_back(self._waiters.select_awaited((ticket,)))
            elif outcome.reason is PieceReason.FAILED:
                self._retry(ticket, outcome)
            else:
                self._waiters.resolve(ticket, outcome)
        if any(item.reason is PieceReason.NO_ROOM for item in outcomes):
            record_no_room(batch, outcomes, capacity, now)
        if orphaned:
            self.release(runner, orphaned)

    def _handle_failed_call(
        self, runner: Runner, tickets: Sequence[Ticket], failure: Failure
    ) -> None:
        """Record the failure of a call and retry its pieces."""
        self._health.record_failure(runner.name, time.monotonic())
        _LOG.warning(
            'batch failed',
            extra={
                'runner': runner.name,
                'requests': list_requests(tickets),
                'code': failure.code.value,
                'reason': failure.detail,
            },
        )
        for ticket in self._waiters.select_awaited(tickets):
            unreachable = PieceOutcome(None, PieceReason.UNREACHABLE)
            self._retry(ticket, unreachable)

    def _retry(self, ticket: Ticket, outcome: PieceOutcome) -> None:
        """Requeue a piece, or resolve it if it failed too often."""
        self._waiters.record_failure(ticket)
        is_last = self._waiters.count_failures(ticket) >= _MAX_ATTEMPTS
        if self._waiters.awaits(ticket) and not is_last:
            self._put_back((ticket,))
        else:
            self._waiters.resolve(ticket, outcome)

    def _put_back(self, tickets: Iterable[Ticket]) -> None:
        """Queue pieces again, or return them to their requests."""
        if not self._is_handing_back:
            self.queue.put_back(tickets)
            return
        handed_back = PieceOutcome(None, PieceReason.HANDED_BACK)
        for ticket in tickets:
            self._waiters.resolve(ticket, handed_back)

    def _abandon(
        self,
        tickets: Sequence[Ticket],
        waiters: Sequence[asyncio.Future[PieceOutcome]],
    ) -> None:
        """Remove the pieces of a cancelled request; release their results."""
        runners_by_name = {item.name: item for item in self._find_runners()}
        for ticket, waiter in zip(tickets, waiters, strict=True):
            self.queue.cancel(ticket)
            self._waiters.forget(ticket)
            if not waiter.done() or waiter.cancelled():
                continue
            outcome = waiter.result()
            runner = runners_by_name.get(outcome.runner)
            if outcome.handle is not None and runner is not None:
                self.release(runner, (outcome.handle,))

    def _handle_released(self, runner: str, handles: Sequence[str]) -> None:
        now = time.monotonic()
        self._stays.record_released(handles, now)
        self._stays.forget(now - self._limits.result_ttl_s)
        self._find_capacity(runner).release(handles)
        self._dispatch()

    def _find_capacity(self, runner: str) -> RunnerCapacity:
        return self.capacities.find(runner)


def _by_rank(ranked: tuple[_Rank, Runner]) -> _Rank:
    return ranked[0]
