"""Steps for the reconciler of a pool and for sending orders."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from tornado import httpserver, testing, web
from tornado.httpclient import AsyncHTTPClient

from damaskpoint.reconcile.engine_client import (
    EngineClient,
    EngineReport,
    Order,
    create_engine_client,
)
from damaskpoint.reconcile.lease import LeaseOptions
from damaskpoint.reconcile.lease_keeper import create_lease_keeper
from damaskpoint.reconcile.planner import (
    EngineModel,
    EngineState,
    OrderPlanner,
    PacingOptions,
)
from damaskpoint.reconcile.pool import PoolGoal, PoolReconciler
from damaskpoint.reconcile.progress import build_lease_key
from damaskpoint.settings import ReconcilerOptions
from features.support.memory_platform import ScriptedTable, list_instance
from features.support.memory_table import WriteBody

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.errors import Failure
    from damaskpoint.platform.base import ListedInstance

_NEW = EngineState('any', frozenset((EngineModel('m', '2', frozenset()),)))
_OLD = EngineState('any', frozenset((EngineModel('m', '1', frozenset()),)))
_ORDER_S = 1.0
_TURN_S = 0.5


@dataclasses.dataclass
class FakeEngines(EngineClient):
    """Simulated engines with a clock that only the test advances."""

    now: float = 100
    states_by_name: dict[str, EngineState] = dataclasses.field(
        default_factory=dict
    )
    orders: list[str] = dataclasses.field(default_factory=list)
    in_flight: int = 0
    max_in_flight: int = 0
    failure: Failure | None = None

    def clock(self) -> float:
        return self.now

    async def read_state(
        self, engine: ListedInstance
    ) -> EngineReport | Failure:
        return EngineReport(1, self.states_by_name[engine.name])

    async def send(
        self, engine: ListedInstance, order: Order, guard: Callable[[], bool]
    ) -> Failure | None:
        assert guard()
        self.orders.append(engine.name)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        end = self.now + _ORDER_S
        while self.now < end:
            await asyncio.sleep(0)
        self.states_by_name[engine.name] = order.target
        self.in_flight -= 1
        return self.failure


@given('a pool of {count:d} engines with the old models')
def make_pool(context: Any, count: int) -> None:
    """Create the reconciler of a pool."""
    _make_pool(context, count, checks_fencing=True)


@given(
    'a pool of {count:d} engines with the old models that do not check fencing'
)
def make_unfenced_pool(context: Any, count: int) -> None:
    """Create the reconciler of a pool whose engines accept any order."""
    _make_pool(context, count, checks_fencing=False)


@given('an earlier holder has ordered version {version:d}')
def write_released_row(context: Any, version: int) -> None:
    """Write the row of a holder that released the lease."""
    _write_row(context, is_released=True, version=version)


@given('an earlier holder has crashed with the lease')
def write_crashed_row(context: Any) -> None:
    """Write the row of a holder that crashed without a release."""
    _write_row(context, is_released=False, version=1)


@when('its holder runs for {seconds:d} seconds')
def run(context: Any, seconds: int) -> None:
    """Run cycles of the reconciler under the simulated clock."""
    asyncio.run(_run(context, seconds))


@then('all engines have the target state')
def check_done(context: Any) -> None:
    """Compare the states of the engines."""
    states = set(context.engines.states_by_name.values())
    assert states == {_NEW}, states


@then('at most {count:d} engines had an order in flight at once')
def check_concurrent(context: Any, count: int) -> None:
    """Compare the maximum of concurrent orders."""
    assert 1 <= context.engines.max_in_flight <= count


@then('each engine received 1 order')
def check_single(context: Any) -> None:
    """Check the received orders."""
    orders = context.engines.orders
    assert sorted(orders) == sorted(context.engines.states_by_name), orders


@then('no engine received an order')
def check_no_order(context: Any) -> None:
    """Check the received orders."""
    assert not context.engines.orders


@given('an engine on a TCP port')
def serve_engine(context: Any) -> None:
    """Prepare to record orders; the sending step starts the server."""
    context.received_orders = []


@when('an order is sent whose lease expires during connect')
def send_late(context: Any) -> None:
    """Send with a guard that returns False."""
    context.failure = asyncio.run(_send(context, 200, _deny))


@when('it rejects an order with status 409')
def send_rejected(context: Any) -> None:
    """Send an order to an engine that responds with 409."""
    context.failure = asyncio.run(_send(context, 409, _allow))
    assert len(context.received_orders) == 1


@then('the order ends as {code}')
def check_end(context: Any, code: str) -> None:
    """Compare the failure."""
    assert context.failure.code.value == code, context.failure


@then('the engine has received no order')
def check_unread(context: Any) -> None:
    """Check the orders that the engine's handler received."""
    assert not context.received_orders


def _make_pool(context: Any, count: int, checks_fencing: bool) -> None:
    engines = FakeEngines()
    listed = {
        f'e{number}': list_instance(f'e{number}', 'p')
        for number in range(count)
    }
    for name in listed:
        engines.states_by_name[name] = _OLD
    options = ReconcilerOptions()
    context.engines = engines
    context.lease_table = ScriptedTable()
    keeper = create_lease_keeper(
        LeaseOptions(
            build_lease_key('p'), 'me', options.lease_s, options.lease_margin_s
        ),
        context.lease_table,
        engines.clock,
    )
    planner = OrderPlanner(PacingOptions(options.max_orders))
    context.pool = PoolReconciler(
        keeper, engines, planner, options, engines.clock
    )
    context.goal = PoolGoal(
        pool='p',
        version=3,
        target=_NEW,
        checks_fencing=checks_fencing,
        engines_by_name=listed,
        zones_out=frozenset(),
        is_candidate=True,
    )
    context.pool.update_goal(context.goal)


def _write_row(context: Any, is_released: bool, version: int) -> None:
    row_key = build_lease_key('p')
    body = WriteBody(
        table=row_key.table,
        key=row_key.key,
        data={
            'owner': 'other',
            'fencing': 7,
            'write_id': 'other/1',
            'is_released': is_released,
            'note': {'highest_version': version},
        },
    )
    context.lease_table.rows.apply([body])


async def _run(context: Any, seconds: int) -> None:
    end = context.engines.now + seconds
    while context.engines.now < end:
        await context.pool.run_once(context.goal)
        for _ in range(20):
            await asyncio.sleep(0)
        context.engines.now += _TURN_S


class _OrderHandler(web.RequestHandler):
    """Records orders and responds with a fixed status."""

    def initialize(self, received_orders: list[bytes], status: int) -> None:
        self._received_orders = received_orders
        self._status = status

    def post(self) -> None:
        self._received_orders.append(self.request.body)
        self.set_status(self._status)


def _allow() -> bool:
    return True


def _deny() -> bool:
    return False


async def _send(
    context: Any, status: int, guard: Callable[[], bool]
) -> Failure | None:
    shared = {'received_orders': context.received_orders, 'status': status}
    server = httpserver.HTTPServer(
        web.Application([('/.*', _OrderHandler, shared)])
    )
    socket, port = testing.bind_unused_port()
    server.add_socket(socket)
    engine = dataclasses.replace(list_instance('e', 'p'), port=port)
    client = AsyncHTTPClient(force_instance=True)
    sender = create_engine_client(client, 5, 5)
    failure = await sender.send(engine, Order('o', 1, _NEW), guard)
    server.stop()
    await server.close_all_connections()
    return failure
