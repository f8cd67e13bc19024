"""Brings the engines of one pool to their target, while it has the lease."""

from __future__ import annotations

import asyncio
import functools
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.observe.state import StateSource
from damaskpoint.reconcile import metrics
from damaskpoint.reconcile.engine_client import EngineClient, Order
from damaskpoint.reconcile.engine_states import EngineStates
from damaskpoint.reconcile.planner import EngineState, OrderPlanner
from damaskpoint.reconcile.progress import PoolProgress

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.reconcile.lease_keeper import LeaseKeeper
    from damaskpoint.settings import ReconcilerOptions

_LOG: Final = logging.getLogger(__name__)
# Turns in the length of a lease.
_TURNS_PER_LEASE: Final = 12
# An instance that is no candidate looks at the lease every so many turns.
_TURNS_OF_NON_CANDIDATE: Final = 40


@final
@dataclass(frozen=True, slots=True)
class PoolGoal:
    """What a pool is to become, and who is in it."""

    pool: str
    # Version of the configuration that the target comes from.
    version: int
    target: EngineState
    # Whether its engines refuse an order with an old fencing number.
    checks_fencing: bool
    engines_by_name: Mapping[str, ListedInstance]
    zones_out: frozenset[str]
    # Whether this instance competes for the pool's lease.
    is_candidate: bool


@final
class PoolReconciler(StateSource):
    """Holds the lease of a pool if it can, and orders what differs."""

    def __init__(
        self,
        keeper: LeaseKeeper,
        client: EngineClient,
        planner: OrderPlanner,
        options: ReconcilerOptions,
        clock: Callable[[], float],
    ) -> None:
        """Start without a goal; ``clock`` gives monotonic seconds."""
        self._keeper = keeper
        self._client = client
        self._planner = planner
        self._options = options
        self._clock = clock
        self._states = EngineStates(client)
        self._goal: PoolGoal | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_poll: float = 0
        self._was_held = False
        self._is_ending = False

    def hear_goal(self, goal: PoolGoal) -> None:
        """Take a new goal; engines that have left are forgotten."""
        self._goal = goal
        self._states.keep_only(goal.engines_by_name)
        self._planner.keep_only(goal.engines_by_name)

    def progress(self) -> PoolProgress | None:
        """Return how far the pool has come, None without a goal."""
        goal = self._goal
        if goal is None:
            return None
        done = self._states.count_done(goal.target)
        is_done = done == len(goal.engines_by_name)
        return PoolProgress(
            pool=goal.pool,
            version=goal.version,
            highest_version=max(goal.version, self._noted_version()),
            upstreams=len(goal.engines_by_name),
            done=done,
            last_failure='' if is_done else self._states.last_failure,
            holder=self._keeper.lease.options.owner,
        )

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent at this moment.

        The lease's row must name the goal's version as the highest, so that
        a holder that is behind never orders what an earlier one replaced.
        Engines that do not check fencing might still obey an order of the
        last holder: then its longest order is waited out first.
        """
        lease = self._keeper.lease
        if self._goal is None or not lease.is_held(now):
            return False
        if self._noted_version() != self._goal.version:
            return False
        took_over_at = lease.took_over_at
        if self._goal.checks_fencing or took_over_at is None:
            return True
        return now >= took_over_at + self._options.order_timeout_s

    async def run(self) -> None:
        """Work until ``stop``."""
        turn_s = self._options.lease_s / _TURNS_PER_LEASE
        turns = 0
        while not self._is_ending:
            goal = self._goal
            is_due = turns % _TURNS_OF_NON_CANDIDATE == 0
            if goal and (goal.is_candidate or is_due or self._was_held):
                await self.turn(goal)
            turns += 1
            await asyncio.sleep(turn_s)

    async def turn(self, goal: PoolGoal) -> None:
        """Keep the lease; with it, read states and order what differs."""
        is_new = self._noted_version() < goal.version
        await self._keeper.turn(self._note, may_claim=True, is_urgent=is_new)
        self._notice_term(goal)
        if not self._was_held or self._is_ending:
            return
        now = self._clock()
        if now >= self._next_poll:
            self._next_poll = now + self._options.state_poll_s
            # Renewals do not wait for the answers of dead engines.
            self._start(self._read_states(goal))
        if not self.may_order(now):
            return
        views_by_name = self._states.views_by_name
        for name in self._planner.choose(goal.target, views_by_name, now):
            self._planner.start(name)
            self._start(self._order(goal, goal.engines_by_name[name]))

    async def stop(self, limit_s: float) -> None:
        """Start nothing more, wait for orders, give the lease back.

        If an order outlasts the limit, the lease has to run out instead.
        """
        self._is_ending = True
        deadline = self._clock() + limit_s
        turn_s = self._options.lease_s / _TURNS_PER_LEASE
        while self._tasks and self._clock() < deadline:
            await self._keeper.turn(self._note, may_claim=False)
            await asyncio.wait(self._tasks, timeout=turn_s)
        if not self._tasks:
            await self._keeper.release(self._note())

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the lease, the progress and the orders under way."""
        progress = self.progress()
        goal = self._goal
        differing: list[str] = []
        if goal:
            differing = self._states.list_differing(goal.target)
        return {
            'lease': self._keeper.dump_state(now),
            'may_order': self.may_order(now),
            'progress': progress.model_dump() if progress else None,
            'ordering': sorted(self._planner.running),
            'differing': differing,
        }

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _notice_term(self, goal: PoolGoal) -> None:
        """Notice that a term began or ended."""
        is_held = self._keeper.lease.is_held(self._clock())
        if is_held == self._was_held:
            return
        self._was_held = is_held
        metrics.LEASES_HELD.set({'pool': goal.pool}, int(is_held))
        _LOG.info(
            'lease of pool %s %s, fencing number %s',
            goal.pool,
            'taken' if is_held else 'lost',
            self._keeper.lease.fencing,
        )
        # What another holder did is not known: read before ordering.
        self._states.forget_all()
        self._next_poll = 0

    async def _read_states(self, goal: PoolGoal) -> None:
        engines = tuple(goal.engines_by_name.values())
        await self._states.read_all(engines, goal.zones_out)
        done = self._states.count_done(goal.target)
        metrics.UPSTREAMS_DONE.set({'pool': goal.pool}, done)

    async def _order(self, goal: PoolGoal, engine: ListedInstance) -> None:
        fencing = self._keeper.lease.fencing
        view = self._states.views_by_name[engine.name]
        number = f'{goal.version}/{engine.name}/{view.incarnation}/{fencing}'
        order = Order(f'{goal.pool}/{number}', fencing, goal.target)
        guard = functools.partial(self._may_send, fencing)
        failure = await self._client.send(engine, order, guard)
        end = failure.code.value if failure else 'obeyed'
        metrics.ORDERS.inc({'pool': goal.pool, 'end': end})
        if failure is None:
            self._planner.finish(engine.name)
            self._states.hear_obeyed(engine.name, goal.target)
            return
        self._states.last_failure = f'{engine.name}: {failure.detail}'
        self._states.hear_doubt(engine.name)
        self._planner.fail(engine.name, self._clock(), failure.retry_after_s)

    def _may_send(self, fencing: int) -> bool:
        """Return whether an order of this term may leave now."""
        is_same_term = self._keeper.lease.fencing == fencing
        return is_same_term and self.may_order(self._clock())

    def _noted_version(self) -> int:
        """Return the highest version that the lease's row tells of."""
        version = self._keeper.lease.note.get('highest_version', 0)
        return version if isinstance(version, int) else 0

    def _note(self) -> dict[str, object]:
        progress = self.progress()
        return progress.model_dump(mode='json') if progress else {}
