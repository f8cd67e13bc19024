"""Steps for the connections of callers while a gateway shuts down."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from behave import then, when
from tornado import httputil, netutil
from tornado.http1connection import HTTP1Connection

from damaskpoint.gateway.caller_server import CallerServer
from features.support.gateway_site import HOST, KEY, run, until

_WAIT_S: Final = 10.0
# Longest time between the end of an answer and that of its connection.
_CLOSE_S: Final = 0.3
_BODY: Final = b'a body'


def _encode_head(line: str, request_id: str, *headers: str) -> bytes:
    lines = (
        line,
        'Host: host-1',
        f'Authorization: Bearer {KEY}',
        f'Damaskpoint-Request-Id: {request_id}',
        *headers,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def _list_requests(context: Any) -> list[str]:
    """Return the ids of the requests that runners have received."""
    return [
        headers['Damaskpoint-Request-Id']
        for runner in context.site.runners_by_name.values()
        for headers, _ in runner.requests
    ]


@when('a shutdown begins during the answer to {request}')
def stop_during_answer(context: Any, request: str) -> None:
    """Begin once a runner has the request, or once its answer has begun."""
    line = request.removeprefix('the rest of ')

    async def stop() -> None:
        await context.site.lengthen_timeouts()
        reader, writer = await asyncio.open_connection(HOST, context.site.port)
        writer.write(_encode_head(line, 'first', 'Connection: keep-alive'))
        context.received = b''
        if line != request:
            context.received = await reader.readuntil(b'\r\n\r\n')
            await _begin_another(context)
        await until(lambda: _list_requests(context))
        context.site.gateway.begin_shutdown()
        await _read_to_end(context, reader, line)
        writer.close()

    run(context, stop())


async def _read_to_end(
    context: Any, reader: asyncio.StreamReader, line: str
) -> None:
    """Read the rest of the answer, then what follows on the connection."""
    context.received += await _read_answer(reader, line)
    context.rest = await asyncio.wait_for(reader.read(), _CLOSE_S)


async def _begin_another(context: Any) -> None:
    """Begin a later answer, which keeps the shutdown from ending first."""
    context.other = await asyncio.open_connection(HOST, context.site.port)
    context.other[1].write(_encode_head('GET /stream/2 HTTP/1.1', 'second'))
    await until(lambda: len(_list_requests(context)) > 1)


async def _read_answer(reader: asyncio.StreamReader, line: str) -> bytes:
    """Read to the end of an answer, but not to that of the connection."""
    if 'safe' in line:
        end = line.rpartition(' ')[0].encode()
    elif line.endswith('1.1'):
        end = b'\r\n0\r\n\r\n'
    else:
        end = b'id: 5\ndata: piece\n\n'
    return await asyncio.wait_for(reader.readuntil(end), _WAIT_S)


@then('the answer is complete and the connection ends with it')
def check_end(context: Any) -> None:
    """Check the status; the end was read by the step before."""
    assert b' 200 ' in context.received, context.received
    assert not context.rest, context.rest


@when(
    'a caller sends the head of a request, and the body {seconds:g} s into a'
    ' shutdown'
)
def send_slow_body(context: Any, seconds: float) -> None:
    """Send the head, begin a shutdown, and send the body later."""

    async def send() -> None:
        reader, writer = await asyncio.open_connection(HOST, context.site.port)
        head = _encode_head(
            'POST /unsafe/1 HTTP/1.1',
            'slow',
            f'Content-Length: {len(_BODY)}',
            'Damaskpoint-Deadline-Ms: 500',
        )
        writer.write(head)
        await asyncio.sleep(_CLOSE_S)
        context.site.gateway.begin_shutdown()
        await asyncio.sleep(seconds)
        writer.write(_BODY)
        context.late_answer = await asyncio.wait_for(reader.read(), _WAIT_S)
        writer.close()

    run(context, send())


@then('the late request gets {status:d}')
def check_late_status(context: Any, status: int) -> None:
    """Check the status of the answer."""
    assert context.late_answer, 'the connection was closed'
    assert int(context.late_answer.split()[1]) == status, context.late_answer


@when('a caller sends two orders at once and a shutdown begins')
def send_two_orders(context: Any) -> None:
    """Send both in one write; begin the shutdown before the first answer."""

    async def send() -> None:
        reader, writer = await asyncio.open_connection(HOST, context.site.port)
        line = 'POST /unsafe/1 HTTP/1.1'
        orders = [
            _encode_head(line, name, 'Content-Length: 0')
            for name in ('first', 'second')
        ]
        writer.write(b''.join(orders))
        await until(lambda: _list_requests(context))
        context.site.gateway.begin_shutdown()
        context.received = await asyncio.wait_for(reader.read(), _WAIT_S)
        writer.close()

    run(context, send())


@then('one order has run, the other has no answer')
def check_orders(context: Any) -> None:
    """Check that the order after the announced close was not passed on."""
    assert context.received.count(b'HTTP/1.1 ') == 1, context.received
    assert b'Connection: close' in context.received
    assert _list_requests(context) == ['first'], _list_requests(context)


@when(
    'idle connections are closed up to {steps:d} steps of the loop after a'
    ' request'
)
def close_while_reading(context: Any, steps: int) -> None:
    """Close them after each number of steps, a fresh server each time."""

    async def close_all() -> None:
        context.ends = [await _close_after(step) for step in range(steps)]

    run(context, close_all())


async def _close_after(steps: int) -> tuple[int, int]:
    """Return the numbers of requests that were handled and answered."""
    handled: list[httputil.HTTPServerRequest] = []

    def handle(request: httputil.HTTPServerRequest) -> None:
        handled.append(request)
        _answer_empty(request)

    server = CallerServer(handle)
    reader, writer = await _connect(server)
    writer.write(_encode_head('GET / HTTP/1.1', 'one'))
    await _run_loop(steps)
    server.close_idle_connections()
    answer = await _read_byte(reader)
    writer.close()
    server.stop()
    return len(handled), len(answer)


async def _connect(
    server: CallerServer,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and wait until the server reads from it."""
    sockets = netutil.bind_sockets(0, HOST)
    server.add_sockets(sockets)
    streams = await asyncio.open_connection(*sockets[0].getsockname())
    await asyncio.sleep(0.02)
    return streams


async def _run_loop(steps: int) -> None:
    for _ in range(steps):
        await asyncio.sleep(0)


def _answer_empty(request: httputil.HTTPServerRequest) -> None:
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    connection.write_headers(
        httputil.ResponseStartLine('HTTP/1.1', 204, 'No Content'),
        httputil.HTTPHeaders(),
    )
    connection.finish()


async def _read_byte(reader: asyncio.StreamReader) -> bytes:
    """Return the first byte; none if the connection ends before it."""
    try:
        return await asyncio.wait_for(reader.read(1), _CLOSE_S)
    except ConnectionResetError:
        return b''


@then('each request was answered')
def check_all_answered(context: Any) -> None:
    """Check that each request was handled once and had an answer."""
    assert set(context.ends) == {(1, 1)}, context.ends
