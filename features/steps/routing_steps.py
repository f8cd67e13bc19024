"""Steps for the upstream directory and the choice of upstreams."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint.config.model import Configuration, Pool, PoolKind, Zone
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.base import Committed, ListedInstance, Presence
from damaskpoint.routing.base import CallEnd, CallReport, RouteQuery, Ticket
from damaskpoint.routing.choice import TwoChoices
from damaskpoint.routing.directory import UpstreamDirectory, ZoneMark
from damaskpoint.routing.ranks import EntryRanks
from damaskpoint.routing.report import LoadReport
from damaskpoint.routing.router import create_router
from damaskpoint.routing.wiring import Identity, create_core, create_warmth
from damaskpoint.settings import RoutingOptions

if TYPE_CHECKING:
    from damaskpoint.routing.nodes import Node

_ZONES = ('z0', 'z1', 'z2', 'z3')
_POOL = Pool('p', PoolKind.MODEL, 2, 8, True, True)


def _configure(pool: Pool, version: int = 1, out: str = '') -> Configuration:
    zones = {name: Zone(name, name == out) for name in _ZONES}
    return Configuration(version, 'd', zones, {}, {pool.name: pool})


def _listed(
    name: str, zone: str, incarnation: int, presence: str
) -> ListedInstance:
    return ListedInstance(
        name, 'p', zone, '127.0.0.1', 1, 0, incarnation, Presence(presence)
    )


class RoutingHarness:
    """A routing core whose clock the steps advance."""

    def __init__(self, size: int, pool: Pool) -> None:
        """Start with upstreams that have not reported."""
        self.now = 100.0
        self.pool = pool
        options = RoutingOptions()
        self.directory = UpstreamDirectory()
        self.core = create_core(
            Identity('e', 'z0', '1'),
            options,
            self.directory,
            EntryRanks('e'),
            create_warmth(options),
            TwoChoices('z0', random.Random(4)),
        )
        self.directory.apply_configuration(_configure(pool), self.now)
        self.names = [f'u{number}' for number in range(size)]
        lines = [
            _listed(name, _ZONES[number % 4], 1, 'live')
            for number, name in enumerate(self.names)
        ]
        self.directory.apply_list(lines, self.now)
        self.core.tick(self.now)
        self.tickets: list[Ticket] = []

    def report(self) -> None:
        """Let every upstream report that it is warm."""
        limit = self.pool.warm_limit
        for name in self.names:
            report = LoadReport(1, True, 0, limit)
            self.core.observations.apply_report(
                name, report, self.now, self.now
            )

    def query(
        self, prefix: bytes = b'', left_s: float = 30, to: str = ''
    ) -> RouteQuery:
        """Return a query; ``to`` excludes all upstreams but one."""
        others = [name for name in self.names if to and name != to]
        excluded = frozenset(others)
        deadline = self.now + left_s
        return RouteQuery('r', 'p', '', '', prefix, excluded, deadline)

    def start(self, prefix: bytes = b'', to: str = '') -> Ticket | None:
        """Start a call if it gets an upstream at once."""
        query = self.query(prefix, to=to)
        ticket = self.core.try_acquire(query, self.now)
        if ticket is not None:
            self.tickets.append(ticket)
        return ticket

    def end(self, ticket: Ticket, report: CallReport) -> None:
        """End a call."""
        self.core.release(ticket, report, self.now)

    def nodes(self) -> dict[str, Node]:
        """Return the routing state of the upstreams by name."""
        return self.core.fleet.nodes_by_name

    def in_flight(self) -> list[int]:
        """Return the calls in flight of each upstream."""
        return [self.nodes()[name].load.own_in_flight for name in self.names]


_DONE = CallReport(CallEnd.SUCCEEDED, 0.05, 1, is_warm=True)
_EVENT = st.one_of(
    st.tuples(
        st.just('list'),
        st.lists(
            st.tuples(
                st.sampled_from(('u1', 'u2', 'u3')),
                st.integers(1, 3),
                st.sampled_from(('live', 'leaving')),
            ),
            max_size=4,
        ),
    ),
    st.tuples(
        st.just('mark'),
        st.tuples(st.sampled_from(('u1', 'u2', 'u3')), st.integers(1, 3)),
    ),
    st.tuples(
        st.just('zone'),
        st.tuples(
            st.sampled_from(_ZONES[:2]), st.integers(1, 5), st.booleans()
        ),
    ),
)


class _Oracle:
    """The expected state, tracked independently of the directory."""

    def __init__(self) -> None:
        self.marks: dict[str, int] = {}
        self.highest: dict[str, int] = {}
        self.zones: dict[str, tuple[int, bool]] = {}

    def apply_event(
        self, kind: str, event: Any, directory: UpstreamDirectory
    ) -> None:
        if kind == 'list':
            lines = []
            for name, incarnation, presence in event:
                zone = _ZONES[int(name[1]) % 2]
                lines.append(_listed(name, zone, incarnation, presence))
                self.highest[name] = max(self.highest.get(name, 0), incarnation)
                if presence == 'leaving':
                    self._mark(name, incarnation)
            directory.apply_list(lines, 1)
        elif kind == 'mark':
            self._mark(*event)
            directory.mark_leaving(event[0], event[1], 1)
        else:
            zone, version, is_out = event
            if version >= self.zones.get(zone, (0, False))[0]:
                self.zones[zone] = (version, is_out)
            directory.apply_zone_mark(zone, ZoneMark(version, is_out), 1)

    def check(self, directory: UpstreamDirectory) -> None:
        for name, incarnation in self.highest.items():
            is_open = directory.is_open(name, 2)
            is_out = self.zones.get(_ZONES[int(name[1]) % 2], (0, False))[1]
            is_leaving = self.marks.get(name, 0) >= incarnation
            assert is_open == (not is_out and not is_leaving), name

    def _mark(self, name: str, incarnation: int) -> None:
        self.marks[name] = max(self.marks.get(name, 0), incarnation)


@then('in {count:d} generated directory histories no removed upstream is open')
def check_histories(context: Any, count: int) -> None:
    """Generate late, outdated and repeated events in any order."""

    @seed(7)
    @settings(max_examples=count, database=None, deadline=None)
    @for_all(st.lists(_EVENT, max_size=30))
    def run_history(events: list[Any]) -> None:
        directory = UpstreamDirectory()
        plain = Configuration(0, 'd', {}, {}, {'p': _POOL})
        directory.apply_configuration(plain, 0)
        oracle = _Oracle()
        for kind, event in events:
            oracle.apply_event(kind, event, directory)
            oracle.check(directory)

    run_history()


@given('a routing directory with the listed upstreams')
def create_directory(context: Any) -> None:
    """Create a directory from a first list."""
    context.routing_now = 0
    context.directory = UpstreamDirectory()
    context.directory.apply_configuration(_configure(_POOL), 0)
    show_list(context)


@when('the routing list shows')
def show_list(context: Any) -> None:
    """Apply a list."""
    lines = [
        _listed(
            row['name'], row['zone'], int(row['incarnation']), row['presence']
        )
        for row in context.table
    ]
    context.directory.apply_list(lines, context.routing_now)


@when('{seconds:d} routing seconds pass')
def pass_time(context: Any, seconds: int) -> None:
    """Advance the directory's clock."""
    context.routing_now += seconds


@then('the upstream {name} is open to new work')
def check_open(context: Any, name: str) -> None:
    """Expect an open upstream."""
    assert context.directory.is_open(name, context.routing_now)


@then('the upstream {name} is not open to new work')
def check_closed(context: Any, name: str) -> None:
    """Expect an upstream that is not open."""
    assert not context.directory.is_open(name, context.routing_now)


@given(
    'a routing core with {size:d} warm upstreams that take {limit:d} calls each'
)
def create_warm_core(context: Any, size: int, limit: int) -> None:
    """Create a core whose upstreams are proven warm."""
    pool = dataclasses.replace(_POOL, warm_limit=limit)
    context.harness = RoutingHarness(size, pool)
    context.harness.report()


@given('a routing core with {size:d} cold upstreams that do not report')
def create_nonreporting_core(context: Any, size: int) -> None:
    """Create a core for a pool without load reports."""
    pool = dataclasses.replace(_POOL, reports_load=False)
    context.harness = RoutingHarness(size, pool)


@when('its leases are granted and {seconds:d} routing seconds pass')
def grant_leases(context: Any, seconds: int) -> None:
    """Act as the table for the claims."""
    harness = context.harness
    claims = harness.core.permits.claims
    for _ in range(seconds * 10):
        harness.now += 0.1
        harness.core.tick(harness.now)
        claims.apply_rows(
            dict.fromkeys(claims.plan_reads(harness.now)), harness.now
        )
        writes = claims.plan_writes(harness.now)
        versions = tuple(write.expected_version + 1 for write in writes)
        claims.apply_outcome(writes, Committed(versions), harness.now)


@when('{count:d} routed calls start and stay in flight')
def start_many(context: Any, count: int) -> None:
    """Start calls that stay in flight."""
    for _ in range(count):
        assert context.harness.start() is not None


@when('{count:d} routed calls of one prefix start and stay in flight')
def start_with_prefix(context: Any, count: int) -> None:
    """Start calls of one prefix that stay in flight."""
    for _ in range(count):
        assert context.harness.start(b'contract') is not None


@when('{count:d} routed calls of one prefix run one after the other')
def run_with_prefix(context: Any, count: int) -> None:
    """Run calls of one prefix."""
    _run_one_by_one(context.harness, count, b'contract')


@when('{count:d} routed calls run one after the other')
def run_without_prefix(context: Any, count: int) -> None:
    """Run calls without a prefix."""
    _run_one_by_one(context.harness, count, b'')


@then('no upstream has more than {most:d} routed calls in flight')
def check_max_in_flight(context: Any, most: int) -> None:
    """Expect an even load."""
    assert max(context.harness.in_flight()) <= most, context.harness.in_flight()


@then('all routed calls went to one upstream')
def check_one_upstream(context: Any) -> None:
    """Expect all calls of the prefix at the same upstream."""
    assert (
        len({ticket.upstream.name for ticket in context.harness.tickets}) == 1
    )


@then('at least {least:d} routed calls went to the local availability zone')
def check_zone(context: Any, least: int) -> None:
    """Expect upstreams of the local zone."""
    local = [
        ticket
        for ticket in context.harness.tickets
        if ticket.upstream.zone == 'z0'
    ]
    assert len(local) >= least, len(local)


@when(
    'one of {size:d} upstreams leaves between two rounds of {count:d} routed'
    ' prefixes'
)
def mark_one_leaving(context: Any, size: int, count: int) -> None:
    """Route prefixes before and after one upstream leaves."""
    harness = context.harness
    chosen: list[list[str]] = []
    for _ in range(2):
        row = []
        for number in range(count):
            ticket = harness.start(str(number).encode())
            row.append(ticket.upstream.name)
            harness.end(ticket, _DONE)
        chosen.append(row)
        harness.directory.mark_leaving('u3', 1, harness.now)
    context.moved = [
        before for before, after in zip(*chosen, strict=True) if before != after
    ]


@then('at most {most:d} of the routed prefixes moved')
def check_moved(context: Any, most: int) -> None:
    """Expect that some prefixes moved, but few."""
    assert 0 < len(context.moved) <= most, len(context.moved)


@when('the upstream {name} ends {count:d} routed calls as {end}')
def end_calls(context: Any, name: str, count: int, end: str) -> None:
    """Send calls to one upstream only, and end them."""
    harness = context.harness
    for _ in range(count):
        # The previous end may have left the upstream unproven.
        harness.now += 2
        harness.core.tick(harness.now)
        harness.report()
        ticket = harness.start(to=name)
        harness.end(ticket, CallReport(CallEnd(end), 0.05))


@then('the breaker of {name} is {state}')
def check_breaker(context: Any, name: str, state: str) -> None:
    """Compare a breaker's state."""
    breaker = context.harness.nodes()[name].breaker
    assert breaker.state.value == state, breaker


@then(
    'a routed call is refused with a retry time of at most {seconds:g} seconds'
)
def check_refused(context: Any, seconds: float) -> None:
    """Expect a refusal with a realistic retry time."""
    harness = context.harness
    assert harness.start() is None
    failure = harness.core.waiting.check(
        harness.query(left_s=0.2), 0, harness.now
    )
    assert failure is not None
    assert failure.code is Code.NO_UPSTREAM
    assert 0 < failure.retry_after_s <= seconds, failure


@when('{seconds:g} routing seconds pass with reports')
def pass_with_reports(context: Any, seconds: float) -> None:
    """Advance the clock and prove the upstreams warm."""
    harness = context.harness
    harness.now += seconds
    harness.report()
    harness.core.tick(harness.now)


@then('exactly {started:d} of {count:d} routed calls start')
def check_started(context: Any, started: int, count: int) -> None:
    """Count the calls that get an upstream at once."""
    harness = context.harness
    harness.tickets.clear()
    for _ in range(count):
        harness.start()
    assert len(harness.tickets) == started, len(harness.tickets)


@when('the started routed calls end as succeeded')
@when('the started routed calls end as warm')
def end_started(context: Any) -> None:
    """End the calls with a complete answer."""
    for ticket in context.harness.tickets:
        context.harness.end(ticket, _DONE)
    context.harness.tickets.clear()


@when(
    '{slow:d} of the upstreams answer 10 times as slowly over {count:d}'
    ' routed calls'
)
def answer_slowly(context: Any, slow: int, count: int) -> None:
    """Run calls that are slow on the first upstreams."""
    harness = context.harness
    slow_names = set(harness.names[:slow])
    for _ in range(count):
        harness.now += 0.01
        harness.report()
        ticket = harness.start()
        is_slow = ticket.upstream.name in slow_names
        duration = 0.5 if is_slow else 0.05
        harness.end(ticket, CallReport(CallEnd.SUCCEEDED, duration, 1, True))


@then('{count:d} upstreams count as slow')
def check_slow(context: Any, count: int) -> None:
    """Expect this number of outliers."""
    nodes = context.harness.nodes().values()
    slow = [node for node in nodes if node.load.is_outlier]
    assert len(slow) == count, len(slow)


@when('routed calls of 1 second use its whole capacity')
def use_all_capacity(context: Any) -> None:
    """Measure the service time, then use all capacity."""
    harness = context.harness
    for _ in range(30):
        ticket = harness.start()
        harness.end(ticket, CallReport(CallEnd.SUCCEEDED, 1, 1, True))
    for _ in range(harness.pool.warm_limit):
        assert harness.start() is not None
    assert harness.start() is None


@then('a routed call with {left:g} seconds left is refused at once')
def check_no_wait(context: Any, left: float) -> None:
    """Expect a failure with a retry time."""
    harness = context.harness
    failure = harness.core.waiting.check(
        harness.query(left_s=left), 0, harness.now
    )
    assert failure is not None
    assert failure.retry_after_s > 0


@then('a routed call with {left:g} seconds left may wait')
def check_wait(context: Any, left: float) -> None:
    """Expect no failure."""
    harness = context.harness
    query = harness.query(left_s=left)
    assert harness.core.waiting.check(query, 0, harness.now) is None


@when('{count:d} routed calls wait behind {running:d} that run')
def wait_behind(context: Any, count: int, running: int) -> None:
    """Start calls that wait in the router on the scenario's loop."""
    harness = context.harness
    context.router = create_router(harness.core, lambda: harness.now)
    for _ in range(running):
        assert harness.start() is not None
    context.answers = []

    async def acquire(number: int) -> None:
        answer = await context.router.acquire(harness.query())
        context.answers.append((number, answer))

    async def begin() -> list[asyncio.Task[None]]:
        tasks = [
            asyncio.ensure_future(acquire(number)) for number in range(count)
        ]
        await asyncio.sleep(0)
        return tasks

    context.waiting_tasks = context.loop.run_until_complete(begin())


@then('they start in FIFO order as capacity becomes free')
def check_order(context: Any) -> None:
    """End the running calls one after the other."""
    harness = context.harness
    for count in range(1, len(context.waiting_tasks) + 1):
        ticket = harness.tickets.pop(0)
        context.router.release(ticket, _DONE)
        _run_loop(context, count)
        number, answer = context.answers[-1]
        assert number == count - 1, context.answers
        assert isinstance(answer, Ticket)
        harness.tickets.append(answer)


@when('the zone of all routed upstreams is taken out')
def take_zones_out(context: Any) -> None:
    """Apply zone marks as if from a peer."""
    harness = context.harness
    for zone in _ZONES:
        mark = ZoneMark(2, is_out=True)
        harness.directory.apply_zone_mark(zone, mark, harness.now)
    harness.core.tick(harness.now)


@then('all waiting routed calls are refused at once')
def check_all_refused(context: Any) -> None:
    """Expect a failure for each call without any time passing."""
    _run_loop(context, len(context.waiting_tasks))
    for _, answer in context.answers:
        assert isinstance(answer, Failure)
        assert answer.code is Code.NO_UPSTREAM


def _run_loop(context: Any, wanted: int) -> None:
    """Run the loop until ``wanted`` calls have their answers."""

    async def wait_for_answers() -> None:
        for _ in range(50):
            if len(context.answers) >= wanted:
                return
            await asyncio.sleep(0)

    context.loop.run_until_complete(wait_for_answers())
    assert len(context.answers) >= wanted, context.answers


def _run_one_by_one(harness: RoutingHarness, count: int, prefix: bytes) -> None:
    for _ in range(count):
        ticket = harness.start(prefix)
        assert ticket is not None
        harness.end(ticket, _DONE)
