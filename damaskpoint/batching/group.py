"""Makes the calls at a group of runners that share one queue.

Whichever runner of the group is free next takes the pieces that wait, so
that a piece waits for a part of a call only.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.model import Piece, PieceOutcome, PieceReason
from damaskpoint.batching.paces import NOMINAL
from damaskpoint.batching.queue import PieceQueue, Taker, sum_bytes
from damaskpoint.batching.capacity import RunnerRoom
from damaskpoint.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Sequence

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.base import PieceCaller
    from damaskpoint.batching.queue import Ticket
    from damaskpoint.catalog.model import BatchLimits, Runner

    # Pace, and whether the runner is in another zone: lower is better.
    _Rank = tuple[float, bool]

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Time after which the queue is looked at again although nothing happened
# (seconds): a small part of the shortest call.
_TICK_S: Final = 0.02
# Pause after a runner refused a call as full (seconds).
_FULL_PAUSE_S: Final = 0.05
# Pause after a runner had less room than was counted (seconds): results of
# an instance that is gone stay for seconds, others for about a call.
_NO_ROOM_PAUSE_S: Final = 0.1
# Time after which a call counts as lost, as a multiple of what it should
# take at the measured pace, and at least (seconds): covers a slow runner.
_LIMIT_FACTOR: Final = 3.0
_LIMIT_S: Final = 1.0
# Calls that a piece is tried in.
_MAX_TRIES: Final = 3
# Time in which results that are given up are gathered into one call.
_RELEASE_GATHER_S: Final = 0.005


@final
class RunnerGroup:
    """The queue and the runners of a group."""

    def __init__(
        self,
        limits: BatchLimits,
        find_runners: Callable[[], Sequence[Runner]],
        health: RunnerHealth,
        caller: PieceCaller,
    ) -> None:
        """Start idle; ``find_runners`` returns those that may be used."""
        self.queue = PieceQueue(limits)
        self._limits = limits
        self._find_runners = find_runners
        self._health = health
        self._caller = caller
        self._rooms_by_runner: dict[str, RunnerRoom] = {}
        self._waiters_by_ticket: dict[int, asyncio.Future[PieceOutcome]] = {}
        self._tries_by_ticket: dict[int, int] = {}
        self._released_by_runner: dict[str, list[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    # Commands.

    async def make(self, pieces: Sequence[Piece]) -> tuple[PieceOutcome, ...]:
        """Return the outcomes of the pieces, in their order.

        Pieces that wait are dropped when the awaiting task is cancelled.
        """
        loop = asyncio.get_running_loop()
        now = time.monotonic()
        tickets = [self.queue.add(piece, now) for piece in pieces]
        waiters: list[asyncio.Future[PieceOutcome]] = []
        for ticket in tickets:
            waiter: asyncio.Future[PieceOutcome] = loop.create_future()
            self._waiters_by_ticket[ticket.number] = waiter
            waiters.append(waiter)
        # Lets the pieces that come in this turn of the loop gather.
        loop.call_soon(self._dispatch)
        try:
            return tuple(await asyncio.gather(*waiters))
        except asyncio.CancelledError:
            self._drop(tickets, waiters)
            raise

    def release(self, runner: Runner, handles: Iterable[str]) -> None:
        """Give results up; their runner is told soon."""
        released = self._released_by_runner.get(runner.name)
        if released is None:
            released = []
            self._released_by_runner[runner.name] = released
            self._spawn(self._send_release(runner))
        released.extend(handles)

    # Queries.

    @property
    def is_unused(self) -> bool:
        """Return whether nothing waits and no call is made."""
        return not self._tasks and not len(self.queue)

    @property
    def pace(self) -> float:
        """Return how long calls take, as a multiple of what they should.

        That is the mean over the runners by their speed, since a slow one
        makes fewer calls.
        """
        runners = self._find_runners()
        if not runners:
            return NOMINAL
        speed = sum(1 / self._find_room(item.name).pace for item in runners)
        return len(runners) / speed

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the queue and the runners."""
        runners_by_name: dict[str, object] = {}
        for name, room in self._rooms_by_runner.items():
            runners_by_name[name] = {
                'calls': room.calls,
                'pace': round(room.pace, 2),
                'used_bytes': room.used_bytes,
                'free_bytes': round(room.free_bytes(now)),
            }
        return {
            'waiting': len(self.queue),
            'runners_by_name': runners_by_name,
        }

    # Steps.

    def _dispatch(self) -> None:
        """Make the calls that can be made now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = time.monotonic()
        runners = self._order_runners(now)
        for runner in runners:
            self._drop_late(runner, now)
            if not len(self.queue):
                return
            tickets = self._take(runner, runners, now)
            if tickets:
                self._spawn(self._call(runner, tickets))
        if len(self.queue) and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TICK_S, self._dispatch)

    def _order_runners(self, now: float) -> list[Runner]:
        """Return the idle runners, the best for the first piece first."""
        zone = self.queue.find_first_zone()
        runners = self._find_runners()
        ranked = []
        for candidate in self._health.select_ready(runners, now):
            room = self._find_room(candidate.name)
            if room.is_idle(now):
                rank = (room.pace, candidate.zone != zone)
                ranked.append((rank, candidate))
        ranked.sort(key=_by_rank)
        return [runner for _, runner in ranked]

    def _take(
        self, runner: Runner, idle: Sequence[Runner], now: float
    ) -> tuple[Ticket, ...]:
        room = self._find_room(runner.name)
        taker = Taker(
            zone=runner.zone,
            zones=frozenset(item.zone for item in self._find_runners()),
            room_bytes=room.free_bytes(now),
            takes_any=room.is_tired_of_waiting(now),
        )
        tickets = self.queue.take(taker, now)
        if tickets:
            room.begin_call(len(tickets), sum_bytes(tickets), now)
        else:
            room.note_short(now)
        return tickets

    def _drop_late(self, runner: Runner, now: float) -> None:
        pace = self._find_room(runner.name).pace
        for ticket in self.queue.take_late(pace, now):
            self._settle(ticket, PieceOutcome(None, PieceReason.LATE))

    async def _call(self, runner: Runner, tickets: Sequence[Ticket]) -> None:
        room = self._find_room(runner.name)
        began_at = time.monotonic()
        expected_s = room.busy_until - began_at
        answer = await self._caller.run_pieces(
            runner,
            [ticket.piece for ticket in tickets],
            max(_LIMIT_S, _LIMIT_FACTOR * expected_s),
        )
        now = time.monotonic()
        room.end_call(sum_bytes(tickets), now)
        if answer is None:
            # The runner was full, so none of the pieces was made.
            room.pause(_FULL_PAUSE_S, now)
            self.queue.put_back(self._select_wanted(tickets))
        elif isinstance(answer, Failure):
            self._fail(runner, tickets, answer)
        else:
            room.note_pace(len(tickets), now - began_at)
            self._distribute(runner, tickets, answer, now)
            _log_call(runner, tickets, answer, now - began_at, room)
        self._dispatch()

    def _distribute(
        self,
        runner: Runner,
        tickets: Sequence[Ticket],
        outcomes: Sequence[PieceOutcome],
        now: float,
    ) -> None:
        room = self._find_room(runner.name)
        unwanted = []
        for ticket, outcome in zip(tickets, outcomes, strict=True):
            if outcome.handle is not None:
                size = ticket.piece.result_bytes
                room.hold_result(outcome.handle, size, now)
                if ticket.number not in self._waiters_by_ticket:
                    unwanted.append(outcome.handle)
            if outcome.reason is PieceReason.NO_ROOM:
                self.queue.put_back(self._select_wanted((ticket,)))
            elif outcome.reason is PieceReason.FAILED:
                self._try_again(ticket, outcome)
            else:
                self._settle(ticket, outcome)
        if any(item.reason is PieceReason.NO_ROOM for item in outcomes):
            room.note_no_room(now)
            room.pause(_NO_ROOM_PAUSE_S, now)
        if unwanted:
            self.release(runner, unwanted)

    def _fail(
        self, runner: Runner, tickets: Sequence[Ticket], failure: Failure
    ) -> None:
        """Let the pieces of a failed call wait for another runner."""
        self._health.note_failure(runner.name, time.monotonic())
        _LOG.warning(
            'batch failed',
            extra={
                'runner': runner.name,
                'requests': _list_requests(tickets),
                'code': failure.code.value,
                'reason': failure.detail,
            },
        )
        for ticket in self._select_wanted(tickets):
            lost = PieceOutcome(None, PieceReason.UNREACHABLE)
            self._try_again(ticket, lost)

    def _try_again(self, ticket: Ticket, outcome: PieceOutcome) -> None:
        """Let a piece wait for another call, or end it with its outcome."""
        tries = self._tries_by_ticket.get(ticket.number, 1)
        self._tries_by_ticket[ticket.number] = tries + 1
        if tries < _MAX_TRIES and ticket.number in self._waiters_by_ticket:
            self.queue.put_back((ticket,))
        else:
            self._settle(ticket, outcome)

    def _select_wanted(self, tickets: Iterable[Ticket]) -> list[Ticket]:
        """Return the pieces that somebody still waits for."""
        wanted = []
        for ticket in tickets:
            if ticket.number in self._waiters_by_ticket:
                wanted.append(ticket)
        return wanted

    def _settle(self, ticket: Ticket, outcome: PieceOutcome) -> None:
        self._tries_by_ticket.pop(ticket.number, None)
        waiter = self._waiters_by_ticket.pop(ticket.number, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def _drop(
        self,
        tickets: Sequence[Ticket],
        waiters: Sequence[asyncio.Future[PieceOutcome]],
    ) -> None:
        """Take pieces out that nobody waits for, and what was made."""
        runners_by_name = {item.name: item for item in self._find_runners()}
        for ticket, waiter in zip(tickets, waiters, strict=True):
            self.queue.cancel(ticket)
            self._tries_by_ticket.pop(ticket.number, None)
            self._waiters_by_ticket.pop(ticket.number, None)
            if not waiter.done() or waiter.cancelled():
                continue
            made = waiter.result()
            runner = runners_by_name.get(made.runner)
            if made.handle is not None and runner is not None:
                self.release(runner, (made.handle,))

    async def _send_release(self, runner: Runner) -> None:
        await asyncio.sleep(_RELEASE_GATHER_S)
        handles = self._released_by_runner.pop(runner.name)
        await self._caller.release(runner, handles)
        # From here on the runner has the room.
        self._find_room(runner.name).release(handles)
        self._dispatch()

    def _find_room(self, runner: str) -> RunnerRoom:
        room = self._rooms_by_runner.get(runner)
        if room is None:
            room = RunnerRoom(self._limits)
            self._rooms_by_runner[runner] = room
        return room

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _log_call(
    runner: Runner,
    tickets: Sequence[Ticket],
    outcomes: Sequence[PieceOutcome],
    took_s: float,
    room: RunnerRoom,
) -> None:
    missing = [item.reason.value for item in outcomes if item.reason]
    _LOG.info(
        'batch made',
        extra={
            'runner': runner.name,
            'requests': _list_requests(tickets),
            'pieces': len(tickets),
            'not_made': missing,
            'took_ms': round(took_s * _MS),
            'pace': round(room.pace, 2),
            'used_bytes': round(room.used_bytes),
        },
    )


def _by_rank(ranked: tuple[_Rank, Runner]) -> _Rank:
    return ranked[0]


def _list_requests(tickets: Iterable[Ticket]) -> list[str]:
    return sorted({ticket.piece.request_id for ticket in tickets})
