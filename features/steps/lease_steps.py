"""Steps for leases, with owners that have separate clocks and freezes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint.platform.base import RowKey
from damaskpoint.reconcile.lease import LeaseOptions
from damaskpoint.reconcile.lease_keeper import create_lease_keeper
from features.support.memory_platform import (
    ScriptedTable,
    WriteFault,
    run_without_loop,
)

_DURATION_S = 4.0
_MARGIN_S = 0.2
_ROW_KEY = RowKey('leases', 'x')


@dataclass
class World:
    """The simulated time, the table and the owners."""

    table: ScriptedTable = field(default_factory=ScriptedTable)
    now: float = 100
    owners_by_name: dict[str, Owner] = field(default_factory=dict)
    # Fencing numbers and their owners, in the order of use.
    used_numbers: list[tuple[int, str]] = field(default_factory=list)

    def get_owner(self, name: str) -> Owner:
        if name not in self.owners_by_name:
            self.owners_by_name[name] = Owner(self, name, 1)
        return self.owners_by_name[name]

    def list_holders(self) -> list[str]:
        """Return the owners that would consider themselves holder now."""
        holders = []
        for name, owner in self.owners_by_name.items():
            if owner.is_holder():
                holders.append(name)
        return holders


class Owner:
    """A process that competes for the lease, with a clock of its own rate."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        self._world = world
        self._rate = rate
        options = LeaseOptions(_ROW_KEY, name, _DURATION_S, _MARGIN_S)
        self.keeper = create_lease_keeper(options, world.table, self.clock)

    def clock(self) -> float:
        return self._world.now * self._rate

    def is_holder(self) -> bool:
        return self.keeper.lease.is_held(self.clock())

    def run_once(self) -> None:
        run_without_loop(self.keeper.run_once(dict, may_claim=True))


@given('owner {name:w} holds the lease')
def acquire(context: Any, name: str) -> None:
    """Let an owner acquire the lease."""
    context.world = World()
    context.world.get_owner(name).run_once()
    assert context.world.get_owner(name).is_holder()


@given('owner {name}, whose clock runs at {rate:g}, holds the lease')
def acquire_with_clock(context: Any, name: str, rate: float) -> None:
    """Let an owner whose clock runs at another rate acquire the lease."""
    context.world = World()
    context.world.owners_by_name[name] = Owner(context.world, name, rate)
    context.world.get_owner(name).run_once()
    assert context.world.get_owner(name).is_holder()


@given(
    'owner {name} is frozen for {seconds:g} seconds right after its claim '
    'takes effect'
)
def freeze_claim(context: Any, name: str, seconds: float) -> None:
    """Let another owner run between the claim's effect and its response."""
    context.world = World()
    context.world.get_owner(name)
    rival = _Rival(context.world, 'b', seconds)
    context.world.table.after_write.append(rival)


@given('owner b runs meanwhile and afterwards')
def create_rival(context: Any) -> None:
    """Create the rival; it runs while the other owner is frozen."""
    context.world.get_owner('b')


@given('the response to the next lease write is lost')
def lose_response(context: Any) -> None:
    """Lose the response of the first write."""
    context.world = World()
    context.world.table.faults.append(WriteFault.ANSWER_LOST)


@given('the lease table is down')
def lease_table_down(context: Any) -> None:
    """Take the table down."""
    context.world.table.is_down = True


@when('owner {name} releases the lease')
def release_lease(context: Any, name: str) -> None:
    """Release the lease."""
    run_without_loop(context.world.get_owner(name).keeper.release({}))


@when('owner {name} runs once')
def run_owner(context: Any, name: str) -> None:
    """Let an owner read and write once."""
    context.world.get_owner(name).run_once()


@when('owner {name} runs for {seconds:g} seconds')
def run_owner_for(context: Any, name: str, seconds: float) -> None:
    """Let an owner run while the others do nothing."""
    end = context.world.now + seconds
    while context.world.now < end:
        context.world.get_owner(name).run_once()
        context.world.now += 0.1


@then('there is at most one holder at any time')
def check_at_most_one(context: Any) -> None:
    """Let the rival run on and check the holders each time."""
    for _ in range(60):
        _check_holders(context.world)
        context.world.get_owner('b').run_once()
        context.world.now += 0.1
    assert context.world.list_holders() == ['b']


@then(
    'there is one holder while owner {name}, whose clock runs at {rate:g}, '
    'waits'
)
def check_clocks(context: Any, name: str, rate: float) -> None:
    """Check the holders every 0.01 seconds until the owner changes."""
    world = context.world
    world.owners_by_name[name] = Owner(world, name, rate)
    for _ in range(500):
        _check_holders(world)
        world.get_owner(name).run_once()
        _check_holders(world)
        world.now += 0.01
    assert world.list_holders() == [name]


@then('owner {name} holds the lease with fencing number {number:d}')
def check_holder(context: Any, name: str, number: int) -> None:
    """Check the owner's view and its fencing number."""
    owner = context.world.get_owner(name)
    assert owner.is_holder()
    assert owner.keeper.lease.fencing == number


@then('owner {name} does not hold the lease')
def check_no_holder(context: Any, name: str) -> None:
    """Check the owner's view."""
    assert not context.world.get_owner(name).is_holder()


@then('owner {name} {verb} wait for orders of an earlier holder')
def check_wait(context: Any, name: str, verb: str) -> None:
    """Check whether the lease was claimed from another owner after expiry."""
    took_over_at = context.world.get_owner(name).keeper.lease.took_over_at
    assert (took_over_at is None) == (verb == 'need not')


@then(
    '{count:d} random schedules of three owners with freezes, lost responses '
    'and clocks 1 percent apart have at most one holder'
)
def check_one_holder(context: Any, count: int) -> None:
    """Check the holders before and after each event of each schedule."""
    _run_schedules(count, _check_holders)


@then(
    'in {count:d} such schedules no fencing number has two owners or decreases'
)
def check_fencing(context: Any, count: int) -> None:
    """Check the fencing numbers of the holders, in the order of use."""
    _run_schedules(count, _check_fencing_numbers)


def _run_schedules(count: int, check: Any) -> None:
    event = st.tuples(
        # The owner that runs next, the pause before it, the kind of event and
        # the fault of its write. An owner that is not chosen for long is in
        # effect frozen, while the others run.
        st.sampled_from('abc'),
        st.floats(0, 1.5),
        st.sampled_from(('run', 'run', 'run', 'release', 'freeze')),
        st.sampled_from((WriteFault.NONE, WriteFault.NONE, *WriteFault)),
    )
    rate = st.floats(0.995, 1.005)
    rates = st.tuples(rate, rate, rate)

    @seed(24)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(st.lists(event, min_size=10, max_size=60), rates)
    def run_schedule(
        events: list[tuple[str, float, str, WriteFault]],
        drawn_rates: tuple[float, ...],
    ) -> None:
        world = World()
        for name, rate in zip('abc', drawn_rates, strict=True):
            world.owners_by_name[name] = Owner(world, name, rate)
        for name, pause_s, kind, fault in events:
            world.now += pause_s
            check(world)
            _run_event(world, name, kind, fault)
            check(world)

    run_schedule()


def _run_event(world: World, name: str, kind: str, fault: WriteFault) -> None:
    owner = world.get_owner(name)
    world.table.faults.clear()
    if kind == 'freeze':
        # Time passes between the read of the clock and the write's effect.
        world.table.before_write.append(_Freeze(world))
    else:
        world.table.faults.append(fault)
    if kind == 'release':
        run_without_loop(owner.keeper.release({}))
    else:
        owner.run_once()
    world.table.before_write.clear()


class _Rival:
    """Lets another owner run while the first is frozen."""

    def __init__(self, world: World, name: str, seconds: float) -> None:
        self._world = world
        self._name = name
        self._seconds = seconds

    async def __call__(self) -> None:
        end = self._world.now + self._seconds
        while self._world.now < end:
            self._world.get_owner(self._name).run_once()
            self._world.now += 0.1


class _Freeze:
    """Freezes a process while its write is in flight."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def __call__(self) -> None:
        self._world.now += _DURATION_S * 1.2


def _check_holders(world: World) -> None:
    holders = world.list_holders()
    assert len(holders) <= 1, holders


def _check_fencing_numbers(world: World) -> None:
    for name in world.list_holders():
        number = world.get_owner(name).keeper.lease.fencing
        if world.used_numbers and world.used_numbers[-1] == (number, name):
            continue
        if world.used_numbers:
            assert number > world.used_numbers[-1][0], (
                world.used_numbers,
                number,
                name,
            )
        world.used_numbers.append((number, name))
