"""Steps on runners whose answers do not end."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import Any, Final

from behave import given, then, when
from tornado import httpclient

from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding.exchange import RunnerRequest, open_exchange
from damaskpoint.forwarding.report_client import create_report_client
from damaskpoint.load.fetching import fetch
from damaskpoint.membership.facts import Address
from damaskpoint.observe.dump_fetch import fetch_metrics
from damaskpoint.platform.store import create_store
from damaskpoint.reconcile.engine_client import create_engine_client
from damaskpoint.routing.base import Upstream
from damaskpoint.routing.poller import fetch_report
from damaskpoint.settings import RoutingOptions
from damaskpoint.wire.peer_client import create_peer_client
from features.steps.gateway_steps import send_request
from features.support.gateway_site import HOST, run, until
from features.support.memory_platform import list_instance
from standins.endless_runner import EndlessRunner
from standins.raw_runner import RawEnd, RawRunner

_MAX_BYTES: Final = 16 * 1_048_576
_MAX_STREAM_BYTES: Final = 256 * 1_048_576
_BLOCK_BYTES: Final = 65_536
_DEADLINE_MS: Final = '1000'
# Time after which the other request is sent (seconds).
_OTHER_DELAY_S: Final = 0.1
_CALL_S: Final = 1.0
_CONNECT_S: Final = 1.0
# Time until bytes on loopback have surely arrived (seconds).
_ARRIVAL_S: Final = 0.1
_OK: Final = b'HTTP/1.1 200 OK\r\nDamaskpoint-Response-Seal: seal-of-raw\r\n'
_CHUNKED: Final = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
_INTERIM: Final = b'HTTP/1.1 103 Early Hints\r\n\r\n'
_CHUNK: Final = b'4000\r\n' + b'x' * 0x4000 + b'\r\n'
_EVENT: Final = b'id: 1\ndata: piece\n\n'
# Beginning and repeated part of each answer.
_ANSWERS: Final = {
    'bytes instead of a head': (b'', b'x'),
    'a header': (_OK + b'X-Long: ', b'x'),
    'interim heads': (b'', _INTERIM),
    'an unframed event': (_OK + b'\r\ndata: ', b'x'),
    'an event in chunks': (_CHUNKED + b'6\r\ndata: \r\n', _CHUNK),
    "a chunk's size": (_CHUNKED, b'0'),
    'trailers': (_CHUNKED + b'0\r\n', b'X-More: x\r\n'),
    'an unframed answer': (_OK + b'\r\n', b'x'),
    'events': (_OK + b'\r\n', _EVENT),
}


@given('the runner "{name}" sends {part} without end')
def send_endlessly(context: Any, name: str, part: str) -> None:
    """Replace a runner by one that never stops sending."""
    start_endless(context, part)
    service = name.partition('-')[0]
    run(context, context.site.move_runner(name, service, context.endless.port))


@given('an upstream that sends {part} without end')
def start_endless(context: Any, part: str) -> None:
    """Start a runner that never stops sending."""
    beginning, unit = _ANSWERS[part]
    repeated = unit * (_BLOCK_BYTES // len(unit))
    max_bytes = _MAX_STREAM_BYTES if part == 'events' else _MAX_BYTES
    runner = EndlessRunner(HOST, beginning, repeated, max_bytes)
    context.closers.append(runner.close)
    context.endless = runner


@when('a caller sends POST {path} while another sends GET {other}')
def send_both(context: Any, path: str, other: str) -> None:
    """Send a request to the endless runner, and one that needs no runner."""

    async def send() -> None:
        context.sent_at = time.monotonic()
        first = asyncio.ensure_future(
            send_request(
                context, 'POST', path, Damaskpoint_Deadline_Ms=_DEADLINE_MS
            )
        )
        await asyncio.sleep(_OTHER_DELAY_S)
        other_sent_at = time.monotonic()
        await send_request(context, 'GET', other)
        context.other_took_s = time.monotonic() - other_sent_at
        context.answer = await first
        context.took_s = time.monotonic() - context.sent_at

    run(context, send())


@then('the first answer is a failure within {seconds:g} s')
def check_failure(context: Any, seconds: float) -> None:
    """Check that the request failed, not after its deadline."""
    assert context.answer.code >= 500, context.answer.code
    assert context.took_s < seconds, context.took_s


@then('the runner sees the close within {seconds:g} s')
def check_abandoned(context: Any, seconds: float) -> None:
    """Wait until the runner has noticed that its connection is closed."""
    run(context, until(lambda: context.endless.abandoned_at))
    took_s = context.endless.abandoned_at[0] - context.sent_at
    assert took_s < seconds, took_s


@then('the other request is answered within {seconds:g} s')
def check_other(context: Any, seconds: float) -> None:
    """Check the time of the request that needed no runner."""
    assert context.other_took_s < seconds, context.other_took_s


@given('a connection on which a body of {count:d} chunks has arrived')
def open_chunked(context: Any, count: int) -> None:
    """Send a request to a runner whose body has chunks of one byte."""
    body = b'1\r\nx\r\n' * count + b'0\r\n\r\n'
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
    context.chunk_count = count

    async def send() -> None:
        runner = RawRunner(head, body, RawEnd.CLOSE)
        server = await asyncio.start_server(runner.serve, HOST, 0)
        context.closers.append(server.close)
        address = server.sockets[0].getsockname()[:2]
        exchange = await open_exchange(address, _CONNECT_S, _CONNECT_S)
        assert not isinstance(exchange, Failure)
        exchange.send(RunnerRequest('GET', '/', (), b''))
        await exchange.read_head()
        await asyncio.sleep(_ARRIVAL_S)
        context.exchange = exchange

    run(context, send())


@when('the body is read while another task counts its turns')
def read_and_count(context: Any) -> None:
    """Read the body; the other task runs once in each turn of the loop."""
    context.turns = 0

    async def count_turns() -> None:
        while True:
            context.turns += 1
            await asyncio.sleep(0)

    async def read() -> None:
        counting = asyncio.ensure_future(count_turns())
        body = await context.exchange.read_body()
        counting.cancel()
        context.exchange.close()
        assert len(body) == context.chunk_count, len(body)

    run(context, read())


@then('the other task had at least {count:d} turns')
def check_turns(context: Any, count: int) -> None:
    """Check that the reader did not occupy the event loop."""
    assert context.turns >= count, context.turns


async def _read_report(port: int) -> object:
    upstream = Upstream('u', 'p', 'z', HOST, port, 1)
    return await fetch_report(
        create_report_client(1), upstream, RoutingOptions()
    )


async def _read_engine(port: int) -> object:
    engine = dataclasses.replace(list_instance('e', 'p'), host=HOST, port=port)
    client = create_engine_client(create_report_client(1), _CALL_S, _CALL_S)
    return await client.read_state(engine)


async def _read_store(port: int) -> object:
    return await create_store(f'http://{HOST}:{port}', _CALL_S).read_table('t')


async def _ask_peer(port: int) -> object:
    return await create_peer_client(_CALL_S).get_in_force(Address(HOST, port))


async def _read_dump(port: int) -> object:
    return await fetch_metrics(Address(HOST, port), _CALL_S)


async def _send_load(port: int) -> object:
    request = httpclient.HTTPRequest(f'http://{HOST}:{port}/')
    answer = await fetch(httpclient.AsyncHTTPClient(), request)
    return answer or Failure(Code.UPSTREAM_BROKEN)


_CALLS_BY_CLIENT: Final = {
    'report': _read_report,
    'engine': _read_engine,
    'store': _read_store,
    'peer': _ask_peer,
    'dump': _read_dump,
    'load': _send_load,
}


@when('the {client} client calls it')
def call_endless(context: Any, client: str) -> None:
    """Make a call with one of the clients."""
    context.sent_at = time.monotonic()
    call = _CALLS_BY_CLIENT[client]
    context.outcome = run(context, call(context.endless.port))


@then('the call fails, and the upstream sees the close within {seconds:g} s')
def check_call_failed(context: Any, seconds: float) -> None:
    """Check that the call returned a failure and closed its connection."""
    assert isinstance(context.outcome, Failure), context.outcome
    check_abandoned(context, seconds)
