"""Steps on the platform's adapters, run against servers on real ports."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import TYPE_CHECKING, Any

from behave import then
from tornado import httpserver, testing, web

from damaskpoint.errors import Failure
from damaskpoint.platform.base import (
    Committed,
    Conflicted,
    Row,
    RowKey,
    Write,
)
from damaskpoint.platform.live_connections import LiveConnections
from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.platform.store_table import StoreObjects, StoreTable
from standins.history import create_history
from standins.platform import InstanceLog, Platform, create_platform_app
from standins.platform_faults import PlatformControl, TableFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_TIMEOUT_S = 0.4
_ROW_KEY = RowKey('t', 'key/1')
_INSTANCE = {
    'name': 'entry-1',
    'pool': 'entry',
    'zone': 'ikeja',
    'host': '127.0.0.1',
    'port': 1,
    'peer_port': 2,
    'incarnation': 3,
    'presence': 'leaving',
}


class Adapters:
    """The three adapters of one store."""

    def __init__(self, url: str) -> None:
        store = create_store(url, _TIMEOUT_S)
        self.table = StoreTable(store)
        self.object_store = StoreObjects(store)
        self.instances = StoreInstances(store)

    async def call(self, name: str) -> object:
        """Make the call that has this name in the feature's tables."""
        if name == 'table read':
            return await self.table.read((_ROW_KEY,))
        if name == 'table write':
            return await self.table.transact((Write(_ROW_KEY, None, {}),))
        if name == 'object put':
            return await self.object_store.put('a/b', b'x')
        if name == 'object get':
            return await self.object_store.get('a/b')
        return await self.instances.fetch()


class FaultyHandler(web.RequestHandler):
    """Answers every call with the same fault."""

    def initialize(self, fault: str, retry_after: str) -> None:
        self._fault = fault
        self._retry_after = retry_after

    async def prepare(self) -> None:
        if self._fault == 'answers too late':
            await asyncio.sleep(_TIMEOUT_S * 2)
        if self._fault == 'breaks the connection':
            self.detach().close()
            raise web.Finish
        if self._retry_after:
            self.set_header('Retry-After', self._retry_after)
        statuses = {'answers 503': 503, 'answers 429': 429, 'answers 400': 400}
        self.set_status(statuses.get(self._fault, 200))
        if self._fault == 'has no such object':
            self.set_status(404)
        body = '[1, "nonsense"]'
        if self._fault == 'answers too few rows':
            body = json.dumps({'rows': [], 'versions': []})
        self.finish(body)


@then('the adapters read back what they wrote')
def check_round_trip(context: Any) -> None:
    """Write and read rows, objects and instances at the stand-in."""
    for check in (_check_rows, _check_objects):
        asyncio.run(_serve(_create_standin(TableFault()), check))


@then(
    'a {call} while the platform loses the answer fails with {code}, ran {ran}'
)
def check_lost(context: Any, call: str, code: str, ran: str) -> None:
    """Lose the answer of a write, and check that it took effect."""

    async def check(adapters: Adapters) -> None:
        _check_failure(await adapters.call(call), code, ran)
        rows = await adapters.table.read((_ROW_KEY,))
        assert isinstance(rows, tuple), rows
        assert rows[0]
        assert rows[0].version == 1

    asyncio.run(_serve(_create_standin(TableFault(lose_next=1)), check))


@then('a {call} while the platform {fault} fails with {code}, ran {ran}')
def check_fault(
    context: Any, call: str, fault: str, code: str, ran: str
) -> None:
    """Make a call to a server with the fault and check its failure."""

    async def check(adapters: Adapters) -> None:
        _check_failure(await adapters.call(call), code, ran)

    if fault == 'does not listen':
        socket, port = testing.bind_unused_port()
        socket.close()
        asyncio.run(check(Adapters(f'http://127.0.0.1:{port}')))
        return
    asyncio.run(_serve(_create_faulty(fault, ''), check))


@then('a 429 with Retry-After "{header}" gives the retry delay {seconds}')
def check_retry_after(context: Any, header: str, seconds: str) -> None:
    """Check the delay for a header."""
    _check_retry_after(header, seconds)


@then('a 429 with Retry-After "" gives the retry delay {seconds}')
def check_no_retry_after(context: Any, seconds: str) -> None:
    """Check the delay without a header."""
    _check_retry_after('', seconds)


@then(
    'a connection to the store is probed after {idle:d} s and given up'
    ' {timeout:d} s later'
)
def check_probes(context: Any, idle: int, timeout: int) -> None:
    """Check the options of a connection; loopback loses no packets."""

    async def check() -> None:
        listener, port = testing.bind_unused_port()
        stream = await LiveConnections().connect('127.0.0.1', port)
        assert stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        options = [
            stream.socket.getsockopt(socket.IPPROTO_TCP, option)
            for option in (socket.TCP_KEEPIDLE, socket.TCP_USER_TIMEOUT)
        ]
        stream.close()
        listener.close()
        assert options == [idle, timeout * 1000], options

    asyncio.run(check())


@then(
    'a watch of {wait:g} s at an address that answers no connection ends within'
    ' {most:g} s'
)
def check_connect_timeout(context: Any, wait: float, most: float) -> None:
    """Fill the queue of a listener, which then drops new connections."""

    async def check() -> float:
        listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        port = listener.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', port))
        await asyncio.sleep(_TIMEOUT_S)
        store = create_store(f'http://127.0.0.1:{port}', _TIMEOUT_S)
        began_at = time.monotonic()
        _check_failure(
            await store.watch('t', 0, wait), 'platform_unavailable', 'no'
        )
        took_s = time.monotonic() - began_at
        for opened in (listener, *fillers):
            opened.close()
        return took_s

    took_s = asyncio.run(check())
    assert took_s <= most, took_s


def _check_retry_after(header: str, seconds: str) -> None:
    async def check(adapters: Adapters) -> None:
        failure = await adapters.call('table write')
        assert isinstance(failure, Failure)
        assert str(failure.retry_after_s) == seconds, failure

    asyncio.run(_serve(_create_faulty('answers 429', header), check))


async def _check_rows(adapters: Adapters) -> None:
    table = adapters.table
    first = await table.transact((Write(_ROW_KEY, 0, {'a': [1, None]}),))
    assert first == Committed((1,)), first
    assert await table.transact((Write(_ROW_KEY, 0, {}),)) == Conflicted((0,))
    rows = await table.read((RowKey('t', 'none'), _ROW_KEY))
    assert isinstance(rows, tuple)
    assert rows == (None, Row(_ROW_KEY, 1, {'a': [1, None]}))
    assert await table.scan('t', 'key/', '', 10) == rows[1:]


async def _check_objects(adapters: Adapters) -> None:
    body = bytes(range(256))
    assert await adapters.object_store.put('config/ä b', body) is None
    assert await adapters.object_store.get('config/ä b') == body
    listed = await adapters.instances.fetch()
    assert isinstance(listed, tuple)
    assert [line.presence.value for line in listed] == ['leaving']


def _check_failure(failure: object, code: str, ran: str) -> None:
    assert isinstance(failure, Failure), failure
    assert failure.code.value == code, failure
    assert failure.ran.value == ran, failure


def _create_standin(fault: TableFault) -> web.Application:
    log = InstanceLog([dict(_INSTANCE)], time.monotonic())
    platform = Platform(create_history('platform', ''), log)
    platform.faults.apply(PlatformControl(table=fault), time.monotonic())
    return create_platform_app(platform)


def _create_faulty(fault: str, retry_after: str) -> web.Application:
    shared = {'fault': fault, 'retry_after': retry_after}
    return web.Application([('/.*', FaultyHandler, shared)])


async def _serve(
    app: web.Application, check: Callable[[Adapters], Awaitable[None]]
) -> None:
    server = httpserver.HTTPServer(app)
    listener, port = testing.bind_unused_port()
    server.add_socket(listener)
    await check(Adapters(f'http://127.0.0.1:{port}'))
    server.stop()
    await server.close_all_connections()
