"""Instances that roll out a version of a service, in virtual time.

Gates, evidence, phases and coordinators are real; the store, gossip, requests
and runners are simulated.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.platform import names
from features.support.rollout_instance import BOUNDS, SimulatedInstance
from features.support.rollout_parts import (
    NEW,
    OLD,
    ROUTES,
    SERVICE,
    SimulatedRunner,
    SimulatedStore,
    VersionFault,
    create_runner,
)

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Route, Runner
    from damaskpoint.rollout.visits import Visit

    # Time, number and action.
    _Event = tuple[float, int, Callable[[], None]]

ORDERED_AT: Final = 3.0
_CRASH_S: Final = 2.0
_READ_S: Final = 1.2
_RETRIED: Final = 2
_KNOWN_BAD: Final = 50


@dataclass(slots=True, eq=False)
class _Work:
    """A request at a runner."""

    instance: SimulatedInstance
    route: Route
    runner: SimulatedRunner
    visit: Visit
    is_bad: bool = False
    is_crashed: bool = False


@dataclass(slots=True)
class RolloutWorld:
    """A service with old and new runners, and its instances."""

    seed: int
    count: int = 4
    per_s: float = 60
    duration_s: float = 12
    old_runners: int = 6
    new_from_s: float = 0
    has_new: bool = True
    fault: VersionFault = field(default_factory=VersionFault)
    sees: Callable[[int, int, float], bool] = lambda *_: True
    # Factor on the rate of requests, and on times by zone, at a time.
    rate_factor: Callable[[float], float] = lambda _: 1
    zone_factor: Callable[[str, float], float] = lambda *_: 1
    # Whether an instance can read and write the store, at a time.
    reaches_store: Callable[[int, float], bool] = lambda *_: True
    now: float = 0
    store: SimulatedStore = field(default_factory=SimulatedStore)
    instances: list[SimulatedInstance] = field(default_factory=list)
    runners: list[SimulatedRunner] = field(default_factory=list)
    sent_new_at: list[float] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    bad_at: list[float] = field(default_factory=list)
    cut_unsafe: int = 0
    ended_at: float | None = None
    _rng: random.Random = field(default_factory=random.Random)
    _events: list[_Event] = field(default_factory=list)
    _works: list[_Work] = field(default_factory=list)
    _numbers: Any = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Create the instances and the runners."""
        self._rng = random.Random(self.seed)
        for position in range(self.old_runners):
            for version in (OLD, NEW):
                self.runners.append(create_runner(version, position))
        self.instances = [
            SimulatedInstance(self, number, 1) for number in range(self.count)
        ]
        self.at(0, self._arrive)
        self.at(0, self._gossip)
        self.at(0, self._advance)
        self.at(ORDERED_AT, self.order)

    # Queries.

    @property
    def deadline(self) -> float:
        """Return by when the rollout has to end."""
        return ORDERED_AT + self.duration_s

    @property
    def state(self) -> str:
        """Return what the platform reads."""
        key = (names.TABLE_STATUS, f'{names.KEY_PREFIX_ROLLOUT}{SERVICE}')
        content = self.store.rows.get(key, (b'', 0))[0].decode()
        for state in ('completed', 'rolled_back', 'running'):
            if state in content:
                return state
        return ''

    def list_known(self) -> list[SimulatedRunner]:
        """Return the runners that are registered."""
        return [
            item
            for item in self.runners
            if item.entry.version == OLD
            or (self.has_new and self.now >= ORDERED_AT + self.new_from_s)
        ]

    def list_usable(self, version: str = '') -> list[Runner]:
        """Return the entries of the usable runners, also crashed ones."""
        return [
            item.entry
            for item in self.list_known()
            if version in {'', item.entry.version}
        ]

    # Commands.

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, until: float | None = None) -> None:
        """Play until some seconds after the deadline."""
        until = self.deadline + 10 if until is None else until
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[-1]()
        self.now = until

    def restart(self, number: int) -> None:
        """Kill an instance and start it again."""
        self.instances[number].is_running = False
        start = self.instances[number].start + 1
        self.instances[number] = SimulatedInstance(self, number, start)

    def crash(self, position: int) -> None:
        """Let a runner lose its requests and be away for a while."""
        runner = self.runners[position]
        runner.down_until = self.now + _CRASH_S
        for work in tuple(self._works):
            if work.runner is runner:
                work.is_crashed = True
                self._finish(work)

    # Steps.

    def order(self) -> None:
        """Write the order, as the operator does, also after a restore."""
        body = (
            f'{{"Service": "{SERVICE}", "To": "{NEW}",'
            f' "DurationS": {self.duration_s}}}'
        )
        key = f'{names.KEY_PREFIX_ROLLOUT}{SERVICE}'
        self.store.put(names.TABLE_OPERATOR, key, body.encode())

    def _advance(self) -> None:
        for instance in tuple(self.instances):
            if instance.frozen_until > self.now:
                continue
            if self.reaches_store(instance.number, self.now):
                self._read(instance)
            self.store.is_down = not self.reaches_store(
                instance.number, self.now
            )
            _complete(instance.rollouts.coordinator.advance(self.now))
        if self.ended_at is None and self.state in {'completed', 'rolled_back'}:
            self.ended_at = self.now
        self.at(self.now + 0.1, self._advance)

    def _read(self, instance: SimulatedInstance) -> None:
        is_old = self.now - instance.read_at >= _READ_S
        if instance.read_version == self.store.version and not is_old:
            return
        instance.read_version = self.store.version
        instance.read_at = self.now
        rollouts = instance.rollouts
        orders = self.store.read(names.TABLE_OPERATOR, self.now)
        if self.store.era > instance.read_era:
            rollouts.orders.restore(orders, self.now)
        else:
            rollouts.orders.replace(orders, self.now)
        instance.read_era = self.store.era
        rollouts.follower.apply(
            self.store.read(names.TABLE_ROLLOUTS, self.now),
            self.now,
            is_whole=True,
        )

    def _gossip(self) -> None:
        for sender in self.instances:
            if sender.frozen_until <= self.now:
                self._publish(sender)
        self.at(self.now + 0.15, self._gossip)

    def _publish(self, sender: SimulatedInstance) -> None:
        sender.beats += 1
        fact = sender.create_fact()
        published = sender.rollouts.coordinator.list_facts(self.now)
        for receiver in self.instances:
            if receiver is sender or receiver.frozen_until > self.now:
                continue
            if self.sees(sender.number, receiver.number, self.now):
                receiver.seen_at_by_name[sender.own_name] = self.now
                receiver.rollouts.coordinator.apply_facts(fact, published)

    def _arrive(self) -> None:
        rate = self.per_s * self.rate_factor(self.now)
        self.at(self.now + self._rng.expovariate(rate), self._arrive)
        instance = self._rng.choice(self.instances)
        if instance.frozen_until > self.now:
            return
        route, base_s = self._rng.choice(ROUTES)
        self._send(instance, route, base_s, frozenset())

    def _send(
        self,
        instance: SimulatedInstance,
        route: Route,
        base_s: float,
        excluded: frozenset[str],
    ) -> None:
        """Send a request, or nothing if no runner is eligible."""
        runner = self._choose(instance, route, excluded)
        if runner is None:
            return
        self.sent_at.append(self.now)
        if runner.entry.version == NEW:
            self.sent_new_at.append(self.now)
        visit = instance.gate.begin(runner.entry, route, self.now)
        if runner.down_until <= self.now:
            self._work(_Work(instance, route, runner, visit), base_s)
            return
        visit.end(self.now, math.inf)
        refused = Failure(Code.UPSTREAM_UNREACHABLE, 'down', Ran.NO)
        visit.record_answer(refused, self.now)
        if len(excluded) < _RETRIED:
            tried = excluded | {runner.entry.name}
            self._send(instance, route, base_s, tried)

    def _choose(
        self,
        instance: SimulatedInstance,
        route: Route,
        excluded: frozenset[str],
    ) -> SimulatedRunner | None:
        """Return the less loaded of two eligible runners."""
        usable = [
            item for item in self.list_usable() if item.name not in excluded
        ]
        chosen = instance.gate.select(
            SERVICE, route.name, usable, self.now, is_retry=bool(excluded)
        )
        if not chosen:
            return None
        found = [item for item in self.runners if item.entry in chosen]
        pair = self._rng.choices(found, k=2)
        return min(pair, key=lambda item: item.in_flight)

    def _work(self, work: _Work, base_s: float) -> None:
        """Let a runner work on a request."""
        runner = work.runner
        work.is_bad = runner.entry.version == NEW and self.fault.strikes(
            self._rng, self.now - ORDERED_AT, work.route.name, runner.in_flight
        )
        took_s = base_s * self._rng.lognormvariate(0, 0.4)
        took_s *= 1 + 0.08 * runner.in_flight
        took_s *= self.zone_factor(runner.entry.zone, self.now)
        if work.is_bad and self.fault.how == 'is slow':
            took_s *= 5
        runner.in_flight += 1
        self._works.append(work)
        took_s = min(took_s, work.route.timeout_s)
        self.at(self.now + took_s, functools.partial(self._finish, work))

    def _finish(self, work: _Work) -> None:
        """Record the end of a request, unless its instance was killed."""
        if work not in self._works:
            return
        self._works.remove(work)
        work.runner.in_flight -= 1
        if not work.instance.is_running:
            return
        visit = work.visit
        if work.is_bad:
            self.bad_at.append(self.now)
        _count_cut(self, work)
        failure = None
        if work.is_crashed or (work.is_bad and self.fault.how == 'breaks'):
            failure = Failure(Code.UPSTREAM_BROKEN, 'broken', Ran.UNKNOWN)
        elif work.is_bad and self.fault.how == 'fails':
            visit.record_failed_status()
        else:
            visit.record_begun(self.now)
        visit.end(self.now, math.inf)
        visit.record_answer(failure, self.now)


def find_excess(world: RolloutWorld) -> float:
    """Return by how much the new version got more requests than allowed."""
    new = sum(ORDERED_AT <= at <= world.deadline for at in world.sent_new_at)
    total = sum(ORDERED_AT <= at <= world.deadline for at in world.sent_at)
    bound = total * BOUNDS.exposure_share + BOUNDS.exposure_slack
    return new - bound


def find_rollback_s(world: RolloutWorld) -> float:
    """Return the time from the 50th bad response to the last request."""
    if len(world.bad_at) < _KNOWN_BAD or not world.sent_new_at:
        return 0
    return max(world.sent_new_at) - sorted(world.bad_at)[_KNOWN_BAD - 1]


def _count_cut(world: RolloutWorld, work: _Work) -> None:
    """Count a request that the stop of its old runner would have cut."""
    is_stopped = world.state == 'completed'
    if is_stopped and work.runner.entry.version == OLD:
        world.cut_unsafe += int(not work.route.is_repeatable)


def _complete(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration:
        return
    raise AssertionError('the coroutine waits')
