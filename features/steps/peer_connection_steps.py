"""Steps that call a peer which serves raw bytes on its connections."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from behave import given, then, when

from damaskpoint.batching.peer_connections import PeerConnections
from damaskpoint.errors import Failure
from damaskpoint.forwarding.exchange import RunnerRequest
from damaskpoint.membership.facts import Address
from features.support.gateway_site import run

_HOST: Final = '127.0.0.1'
_OK: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
# Each answer, and the number of them after which the peer closes.
_PEERS: Final = {
    'closes a connection after 2 answers': (_OK, 2),
    'announces the close in an answer': (
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',
        9,
    ),
    'ends answers with the connection': (b'HTTP/1.1 200 OK\r\n\r\nok', 1),
    'sends bytes after an answer': (_OK + _OK, 9),
    'never answers': (b'', 9),
}
_CALL: Final = RunnerRequest('POST', '/pieces', (), b'', is_last=False)


@given('a peer that {behaviour}')
def start_peer(context: Any, behaviour: str) -> None:
    """Serve on a free port; count connections and ends of connections."""
    answer, limit = _PEERS[behaviour]
    context.connections = 0
    context.closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        context.connections += 1
        for _ in range(limit):
            try:
                await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, asyncio.CancelledError):
                # The caller has closed, or the scenario's loop ends.
                break
            writer.write(answer)
        writer.close()
        context.closed.set()

    server = run(context, asyncio.start_server(serve, _HOST, 0))
    context.add_cleanup(server.close)
    port = server.sockets[0].getsockname()[1]
    context.address = Address(_HOST, port)
    context.peer_connections = PeerConnections()


@when('{count:d} calls are made to the peer one after the other')
def call_peer(context: Any, count: int) -> None:
    """Keep the answers."""

    async def call_all() -> list[object]:
        answers: list[object] = []
        for _ in range(count):
            answers.append(
                await context.peer_connections.call(context.address, _CALL)
            )
            # Lets what the peer sends after its answer arrive.
            await asyncio.sleep(0.02)
        return answers

    context.answers = run(context, call_all())


@when('a call to the peer is cancelled')
def cancel_call(context: Any) -> None:
    """Cancel a call that waits for its answer."""

    async def cancel() -> None:
        call = asyncio.ensure_future(
            context.peer_connections.call(context.address, _CALL)
        )
        await asyncio.sleep(0.05)
        call.cancel()
        await asyncio.wait((call,))

    run(context, cancel())


@then('all calls are answered on {connections:d} connections')
def check_answers(context: Any, connections: int) -> None:
    """Compare the answers and the number of connections."""
    for answer in context.answers:
        assert not isinstance(answer, Failure), answer
        assert answer[1] == b'ok', answer
    assert context.connections == connections, context.connections


@then('the peer sees its connection close')
def check_closed(context: Any) -> None:
    """Wait for the end of the connection."""
    run(context, asyncio.wait_for(context.closed.wait(), 2))
