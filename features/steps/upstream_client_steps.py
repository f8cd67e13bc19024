"""Steps that run the upstream client against a server that sends raw bytes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any, Final

from behave import given, then, when

from damaskpoint.forwarding.report_client import create_report_client
from damaskpoint.pipeline.call import CallFailure, UpstreamAnswer, UpstreamCall
from damaskpoint.pipeline.upstream_client import UpstreamClient
from damaskpoint.routing.base import Upstream
from damaskpoint.routing.poller import fetch_report
from damaskpoint.routing.report import LoadReport
from damaskpoint.settings import RoutingOptions

_HOST: Final = '127.0.0.1'
_BOUND: Final = 10_000
_TIMEOUT_S: Final = 0.3
_FAR_S: Final = 20.0
_OK: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_TRUNCATED: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
_ENDLESS: Final = b'HTTP/1.1 200 OK\r\n\r\nok'
_LARGE: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n' + (
    b'x' * 20_000
)
# The bytes of an answer, and whether the connection is closed after them.
_ANSWERS: Final = {
    'answers': (_OK, False),
    'closes after the read': (b'', True),
    'truncates its answer': (_TRUNCATED, True),
    'answers without a delimited body': (_ENDLESS, True),
    'answers beyond the size bound': (_LARGE, False),
    'answers with invalid HTTP': (b'hello\r\n\r\n', True),
    'never answers': (b'', False),
}
_REPORT: Final = (
    b'{"incarnation": 1, "warmth": "warm", "in_flight": 0, "limit": 1}'
)
_STATUS_PREFIX: Final = 'answers with the status '


@dataclass(slots=True)
class RawUpstream:
    """A server that counts requests and connections, and answers as set."""

    behaviour: str
    reads: int = 0
    connections: int = 0
    # Of an answer with a given status.
    body: bytes = b'ok'
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        is_open = True
        try:
            while is_open:
                is_open = await self._serve_one(reader, writer)
        except asyncio.CancelledError:
            # The event loop of the scenario is closing.
            is_open = False
        self.closed.set()
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return False
        self.reads += 1
        written, closes = self._choose()
        writer.write(written)
        await writer.drain()
        return not closes

    def _choose(self) -> tuple[bytes, bool]:
        if self.behaviour.startswith('answers the first request'):
            is_first = self.reads == 1
            return (_OK, False) if is_first else (b'', True)
        if self.behaviour.startswith(_STATUS_PREFIX):
            status = self.behaviour.removeprefix(_STATUS_PREFIX)[:3].encode()
            length = b'Content-Length: %d\r\n\r\n' % len(self.body)
            answer = b'HTTP/1.1 200 OK\r\n' + length + self.body
            if self.behaviour.endswith('and then 200'):
                return b'HTTP/1.1 %b x\r\n\r\n' % status + answer, False
            return answer.replace(b'200', status, 1), False
        return _ANSWERS[self.behaviour]


@given('an upstream that {behaviour}')
def make_upstream(context: Any, behaviour: str) -> None:
    """Set the behaviour; the server starts when a call is sent."""
    context.behaviour = behaviour


@when('a call that is {kind} is sent to it')
def send_one(context: Any, kind: str) -> None:
    """Send one call."""
    asyncio.run(_send(context, kind, 1, 0))


@when('{count:d} calls that are {kind} are sent to it')
def send_many(context: Any, count: int, kind: str) -> None:
    """Send calls sequentially."""
    asyncio.run(_send(context, kind, count, 0))


@when('its load report is read')
def read_report(context: Any) -> None:
    """Read the report of the upstream."""
    context.report = asyncio.run(_read_report(context.behaviour))


@then('the report is {state}')
def check_report(context: Any, state: str) -> None:
    """Compare whether there is a report."""
    is_read = isinstance(context.report, LoadReport)
    assert is_read == (state == 'read'), context.report


async def _read_report(behaviour: str) -> object:
    upstream = RawUpstream(behaviour, body=_REPORT)
    server = await asyncio.start_server(upstream.serve, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = create_report_client(1)
    report = await fetch_report(
        client, Upstream('e', 'p', 'z', _HOST, port, 1), RoutingOptions()
    )
    client.close()
    server.close()
    return report


@when('a call is sent after its send deadline')
def send_late(context: Any) -> None:
    """Send a call whose send deadline has passed."""
    asyncio.run(_send(context, 'idempotent', 1, _FAR_S))


@when('a call to it is cancelled')
def cancel_call(context: Any) -> None:
    """Cancel a call that the upstream has read."""
    context.saw_close = asyncio.run(_cancel(context.behaviour))


@then('the upstream sees the connection close')
def check_close(context: Any) -> None:
    """Check that the upstream saw the close."""
    assert context.saw_close


@then('the call ends as "{end}" and the upstream has read {reads:d} requests')
def check_end(context: Any, end: str, reads: int) -> None:
    """Compare the end and the number of requests read."""
    assert context.end == end, context.end
    assert context.upstream.reads == reads, context.upstream


@then(
    'the last call ends as "{end}" and the upstream has read {reads:d} '
    'requests on {connections:d} connections'
)
def check_connections(
    context: Any, end: str, reads: int, connections: int
) -> None:
    """Compare the end and the numbers of requests and connections."""
    check_end(context, end, reads)
    assert context.upstream.connections == connections, context.upstream


async def _send(context: Any, kind: str, count: int, lateness_s: float) -> None:
    upstream = RawUpstream(context.behaviour)
    context.upstream = upstream
    server = await asyncio.start_server(upstream.serve, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    if context.behaviour == 'is not listening':
        server.close()
        await server.wait_closed()
    client = UpstreamClient(_TIMEOUT_S, _BOUND)
    for _ in range(count):
        call = _make_call(kind == 'idempotent', lateness_s, _limit_s(upstream))
        answer = await client.send((_HOST, port), call)
        context.end = _name_end(answer)
    client.close_idle(time.monotonic() + _FAR_S)
    server.close()


async def _cancel(behaviour: str) -> bool:
    upstream = RawUpstream(behaviour)
    server = await asyncio.start_server(upstream.serve, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = UpstreamClient(_TIMEOUT_S, _BOUND)
    call = _make_call(is_idempotent=True, lateness_s=0, limit_s=_FAR_S)
    work = asyncio.ensure_future(client.send((_HOST, port), call))
    while upstream.reads == 0:
        await asyncio.sleep(0.01)
    work.cancel()
    await asyncio.wait_for(upstream.closed.wait(), _FAR_S)
    server.close()
    return work.cancelled()


def _make_call(
    is_idempotent: bool, lateness_s: float, limit_s: float
) -> UpstreamCall:
    now = time.monotonic()
    return UpstreamCall(
        method='POST',
        path='/x',
        headers=(('Host', _HOST),),
        body=b'',
        deadline=now + limit_s,
        send_deadline=now + _FAR_S - 2 * lateness_s,
        is_idempotent=is_idempotent,
    )


def _limit_s(upstream: RawUpstream) -> float:
    return _TIMEOUT_S if upstream.behaviour == 'never answers' else _FAR_S


def _name_end(answer: UpstreamAnswer | CallFailure) -> str:
    if isinstance(answer, CallFailure):
        return answer.end.value
    return 'succeeded' if answer.body == b'ok' else 'other'
