"""Brings the engines of a pool to their target state, under its lease."""

from __future__ import annotations

import asyncio
import functools
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.observe.state import StateSource
from damaskpoint.reconcile import metrics
from damaskpoint.reconcile.engine_client import EngineClient, Order
from damaskpoint.reconcile.engine_states import EngineStateCache
from damaskpoint.reconcile.planner import EngineState, OrderPlanner
from damaskpoint.reconcile.progress import PoolProgress

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.reconcile.lease_keeper import LeaseKeeper
    from damaskpoint.settings import ReconcilerOptions

_LOG: Final = logging.getLogger(__name__)
# Cycles in the duration of a lease.
_CYCLES_PER_LEASE: Final = 12
# Cycles between two checks of the lease by an instance that is not a candidate.
_CYCLES_PER_NON_CANDIDATE_CHECK: Final = 40


@final
@dataclass(frozen=True, slots=True)
class PoolGoal:
    """The target state of a pool and the engines in it."""

    pool: str
    # Version of the configuration that the target comes from.
    version: int
    target: EngineState
    # Whether its engines reject an order with an outdated fencing number.
    checks_fencing: bool
    engines_by_name: Mapping[str, ListedInstance]
    zones_out: frozenset[str]
    # Whether this instance competes for the pool's lease.
    is_candidate: bool


@final
class PoolReconciler(StateSource):
    """Competes for the lease of a pool and, as holder, sends its orders."""

    def __init__(
        self,
        keeper: LeaseKeeper,
        client: EngineClient,
        planner: OrderPlanner,
        options: ReconcilerOptions,
        clock: Callable[[], float],
    ) -> None:
        """Start without a goal; ``clock`` returns monotonic seconds."""
        self._keeper = keeper
        self._client = client
        self._planner = planner
        self._options = options
        self._clock = clock
        self._states = EngineStateCache(client)
        self._goal: PoolGoal | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_state_poll_at: float = 0
        self._was_held = False
        self._is_stopping = False

    def update_goal(self, goal: PoolGoal) -> None:
        """Set a new goal, and drop the engines that are no longer in it."""
        self._goal = goal
        self._states.keep_only(goal.engines_by_name)
        self._planner.keep_only(goal.engines_by_name)

    def progress(self) -> PoolProgress | None:
        """Return the progress of the pool, or None without a goal."""
        goal = self._goal
        if goal is None:
            return None
        done = self._states.count_matching(goal.target)
        is_done = done == len(goal.engines_by_name)
        return PoolProgress(
            pool=goal.pool,
            version=goal.version,
            highest_version=max(goal.version, self._recorded_version()),
            upstreams=len(goal.engines_by_name),
            done=done,
            last_failure='' if is_done else self._states.last_failure,
            holder=self._keeper.lease.options.owner,
        )

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now.

        The lease's row must record the goal's version as the highest, so that
        a holder with an outdated configuration never reverts the orders of an
        earlier holder. Engines that do not check fencing might still carry
        out an order of the previous holder, so the order timeout has to pass
        first.
        """
        lease = self._keeper.lease
        if self._goal is None or not lease.is_held(now):
            return False
        if self._recorded_version() != self._goal.version:
            return False
        took_over_at = lease.took_over_at
        if self._goal.checks_fencing or took_over_at is None:
            return True
        return now >= took_over_at + self._options.order_timeout_s

    async def run(self) -> None:
        """Run cycles until ``stop``."""
        cycle_s = self._options.lease_s / _CYCLES_PER_LEASE
        cycles = 0
        while not self._is_stopping:
            goal = self._goal
            is_check_due = cycles % _CYCLES_PER_NON_CANDIDATE_CHECK == 0
            if goal and (goal.is_candidate or is_check_due or self._was_held):
                await self.run_once(goal)
            cycles += 1
            await asyncio.sleep(cycle_s)

    async def run_once(self, goal: PoolGoal) -> None:
        """Maintain the lease; if it is held, read states and send orders."""
        has_new_version = self._recorded_version() < goal.version
        await self._keeper.run_once(
            self._create_note, may_claim=True, is_urgent=has_new_version
        )
        self._detect_lease_change(goal)
        if not self._was_held or self._is_stopping:
            return
        now = self._clock()
        if now >= self._next_state_poll_at:
            self._next_state_poll_at = now + self._options.state_poll_s
            # In the background: renewals must not wait for dead engines.
            self._start_task(self._read_states(goal))
        if not self.may_order(now):
            return
        views_by_name = self._states.views_by_name
        for name in self._planner.choose(goal.target, views_by_name, now):
            self._planner.start(name)
            self._start_task(self._send_order(goal, goal.engines_by_name[name]))

    async def stop(self, limit_s: float) -> None:
        """Send no more orders, wait for those in flight, release the lease.

        If an order outlasts ``limit_s``, the lease is left to expire.
        """
        self._is_stopping = True
        deadline = self._clock() + limit_s
        cycle_s = self._options.lease_s / _CYCLES_PER_LEASE
        while self._tasks and self._clock() < deadline:
            await self._keeper.run_once(self._create_note, may_claim=False)
            await asyncio.wait(self._tasks, timeout=cycle_s)
        if not self._tasks:
            await self._keeper.release(self._create_note())

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the lease, the progress and the orders in flight."""
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

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _detect_lease_change(self, goal: PoolGoal) -> None:
        """Detect that the lease was acquired or lost since the last cycle."""
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
        # Another holder may have sent orders: read the states before ordering.
        self._states.invalidate_all()
        self._next_state_poll_at = 0

    async def _read_states(self, goal: PoolGoal) -> None:
        engines = tuple(goal.engines_by_name.values())
        await self._states.read_all(engines, goal.zones_out)
        done = self._states.count_matching(goal.target)
        metrics.UPSTREAMS_DONE.set({'pool': goal.pool}, done)

    async def _send_order(self, goal: PoolGoal, engine: ListedInstance) -> None:
        fencing = self._keeper.lease.fencing
        view = self._states.views_by_name[engine.name]
        order_suffix = (
            f'{goal.version}/{engine.name}/{view.incarnation}/{fencing}'
        )
        order = Order(f'{goal.pool}/{order_suffix}', fencing, goal.target)
        guard = functools.partial(self._may_send, fencing)
        failure = await self._client.send(engine, order, guard)
        outcome = failure.code.value if failure else 'obeyed'
        metrics.ORDERS.inc({'pool': goal.pool, 'end': outcome})
        if failure is None:
            self._planner.finish(engine.name)
            self._states.record_applied(engine.name, goal.target)
            return
        self._states.last_failure = f'{engine.name}: {failure.detail}'
        self._states.invalidate(engine.name)
        self._planner.fail(engine.name, self._clock(), failure.retry_after_s)

    def _may_send(self, fencing: int) -> bool:
        """Return whether an order of this term may be sent now."""
        is_same_term = self._keeper.lease.fencing == fencing
        return is_same_term and self.may_order(self._clock())

    def _recorded_version(self) -> int:
        """Return the highest version that the lease's row records."""
        version = self._keeper.lease.note.get('highest_version', 0)
        return version if isinstance(version, int) else 0

    def _create_note(self) -> dict[str, object]:
        progress = self.progress()
        return progress.model_dump(mode='json') if progress else {}
