"""Steps on leases: owners with clocks and freezes of their own."""

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

_LENGTH_S = 4.0
_MARGIN_S = 0.2
_ROW_KEY = RowKey('leases', 'x')


@dataclass
class World:
    """True time, the table, and the owners with their clocks."""

    table: ScriptedTable = field(default_factory=ScriptedTable)
    now: float = 100
    owners_by_name: dict[str, Owner] = field(default_factory=dict)
    # Fencing numbers by owner, in the order in which they were used.
    used: list[tuple[int, str]] = field(default_factory=list)

    def find(self, name: str) -> Owner:
        if name not in self.owners_by_name:
            self.owners_by_name[name] = Owner(self, name, 1)
        return self.owners_by_name[name]

    def list_holders(self) -> list[str]:
        """Return who would act now if it looked at its clock now."""
        holders = []
        for name, owner in self.owners_by_name.items():
            if owner.is_holder():
                holders.append(name)
        return holders


class Owner:
    """A process that wants the lease; its clock runs at its own rate."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        self._world = world
        self._rate = rate
        options = LeaseOptions(_ROW_KEY, name, _LENGTH_S, _MARGIN_S)
        self.keeper = create_lease_keeper(options, world.table, self.clock)

    def clock(self) -> float:
        return self._world.now * self._rate

    def is_holder(self) -> bool:
        return self.keeper.lease.is_held(self.clock())

    def turn(self) -> None:
        run_without_loop(self.keeper.turn(dict, may_claim=True))


@given('owner {name:w} holds the lease')
def take(context: Any, name: str) -> None:
    """Let an owner take the lease."""
    context.world = World()
    context.world.find(name).turn()
    assert context.world.find(name).is_holder()


@given('owner {name}, whose clock runs at {rate:g}, holds the lease')
def take_with_clock(context: Any, name: str, rate: float) -> None:
    """Let an owner with a clock of its own rate take the lease."""
    context.world = World()
    context.world.owners_by_name[name] = Owner(context.world, name, rate)
    context.world.find(name).turn()
    assert context.world.find(name).is_holder()


@given(
    'owner {name} is frozen for {seconds:g} seconds just as its claim has '
    'taken effect'
)
def freeze_claim(context: Any, name: str, seconds: float) -> None:
    """Let another work between the claim's effect and its answer."""
    context.world = World()
    context.world.find(name)
    rival = _Rival(context.world, 'b', seconds)
    context.world.table.after_write.append(rival)


@given('owner b takes turns meanwhile and after')
def name_rival(context: Any) -> None:
    """Name the rival; it works while the other is frozen."""
    context.world.find('b')


@given('the answer to the next lease write is lost')
def lose_answer(context: Any) -> None:
    """Lose the answer of the first write."""
    context.world = World()
    context.world.table.faults.append(WriteFault.ANSWER_LOST)


@given('the lease table is down')
def lease_table_down(context: Any) -> None:
    """Take the table down."""
    context.world.table.is_down = True


@when('owner {name} gives it back')
def give_back(context: Any, name: str) -> None:
    """Release the lease."""
    run_without_loop(context.world.find(name).keeper.release({}))


@when('owner {name} takes a turn')
def take_turn(context: Any, name: str) -> None:
    """Let an owner read and write once."""
    context.world.find(name).turn()


@when('owner {name} takes turns for {seconds:g} seconds')
def take_turns(context: Any, name: str, seconds: float) -> None:
    """Let an owner work while others do nothing."""
    end = context.world.now + seconds
    while context.world.now < end:
        context.world.find(name).turn()
        context.world.now += 0.1


@then('there is one holder all the time')
def check_one(context: Any) -> None:
    """Let the rival work on, and look each time."""
    for _ in range(60):
        _check_holders(context.world)
        context.world.find('b').turn()
        context.world.now += 0.1
    assert context.world.list_holders() == ['b']


@then(
    'while owner {name}, whose clock runs at {rate:g}, waits there is '
    'one holder'
)
def check_clocks(context: Any, name: str, rate: float) -> None:
    """Look every hundredth of a second until the lease has changed hands."""
    world = context.world
    world.owners_by_name[name] = Owner(world, name, rate)
    for _ in range(500):
        _check_holders(world)
        world.find(name).turn()
        _check_holders(world)
        world.now += 0.01
    assert world.list_holders() == [name]


@then('owner {name} holds the lease with fencing number {number:d}')
def check_holder(context: Any, name: str, number: int) -> None:
    """Look at the owner's belief."""
    owner = context.world.find(name)
    assert owner.is_holder()
    assert owner.keeper.lease.fencing == number


@then('owner {name} does not hold the lease')
def check_no_holder(context: Any, name: str) -> None:
    """Look at the owner's belief."""
    assert not context.world.find(name).is_holder()


@then('owner {name} {verb} wait for orders of another')
def check_wait(context: Any, name: str, verb: str) -> None:
    """Look at whether another's term ran out."""
    took_over_at = context.world.find(name).keeper.lease.took_over_at
    assert (took_over_at is None) == (verb == 'need not')


@then(
    '{count:d} schedules of three owners with freezes, lost answers and '
    'clocks 1 percent apart keep one holder'
)
def check_one_holder(context: Any, count: int) -> None:
    """Look at all beliefs at each moment of each schedule."""
    _run_schedules(count, _check_holders)


@then(
    'in {count:d} of these schedules no fencing number has two owners '
    'or goes down'
)
def check_fencing(context: Any, count: int) -> None:
    """Look at the numbers that owners use, in the order of use."""
    _run_schedules(count, _check_numbers)


def _run_schedules(count: int, check: Any) -> None:
    event = st.tuples(
        # Who acts next, after how long, and what befalls its write. A long
        # pause of one owner is a freeze: the others act meanwhile.
        st.sampled_from('abc'),
        st.floats(0, 1.5),
        st.sampled_from(('turn', 'turn', 'turn', 'release', 'freeze')),
        st.sampled_from((WriteFault.NONE, WriteFault.NONE, *WriteFault)),
    )
    rate = st.floats(0.995, 1.005)
    rates = st.tuples(rate, rate, rate)

    @seed(24)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(st.lists(event, min_size=10, max_size=60), rates)
    def play(
        events: list[tuple[str, float, str, WriteFault]],
        drawn_rates: tuple[float, ...],
    ) -> None:
        world = World()
        for name, rate in zip('abc', drawn_rates, strict=True):
            world.owners_by_name[name] = Owner(world, name, rate)
        for name, pause_s, kind, fault in events:
            world.now += pause_s
            check(world)
            _act(world, name, kind, fault)
            check(world)

    play()


def _act(world: World, name: str, kind: str, fault: WriteFault) -> None:
    owner = world.find(name)
    world.table.faults.clear()
    if kind == 'freeze':
        # Time passes between the clock's reading and the write's effect.
        world.table.before_write.append(_Pause(world))
    else:
        world.table.faults.append(fault)
    if kind == 'release':
        run_without_loop(owner.keeper.release({}))
    else:
        owner.turn()
    world.table.before_write.clear()


class _Rival:
    """Lets another owner work while the first is frozen."""

    def __init__(self, world: World, name: str, seconds: float) -> None:
        self._world = world
        self._name = name
        self._seconds = seconds

    async def __call__(self) -> None:
        end = self._world.now + self._seconds
        while self._world.now < end:
            self._world.find(self._name).turn()
            self._world.now += 0.1


class _Pause:
    """Lets a process freeze while its write is on the way."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def __call__(self) -> None:
        self._world.now += _LENGTH_S * 1.2


def _check_holders(world: World) -> None:
    holders = world.list_holders()
    assert len(holders) <= 1, holders


def _check_numbers(world: World) -> None:
    for name in world.list_holders():
        number = world.find(name).keeper.lease.fencing
        if world.used and world.used[-1] == (number, name):
            continue
        if world.used:
            assert number > world.used[-1][0], (world.used, number, name)
        world.used.append((number, name))
