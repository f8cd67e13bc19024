"""Steps for requests that arrive or wait while a gateway shuts down."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

from behave import given, then, when

from damaskpoint.catalog.model import RequestKind, Route, Target
from damaskpoint.entry.shutdown import ShutdownState
from damaskpoint.errors import Code
from damaskpoint.forwarding.completion import CompletionCheck
from damaskpoint.forwarding.metadata import RequestMetadata
from damaskpoint.forwarding.request import CallerRequest
from damaskpoint.settings_base import ShutdownOptions
from features.support.gateway_site import HOST, KEY, run, until

_WAIT_S: Final = 10.0
_ROUTE: Final = 'route-1'
# Time of the check (monotonic seconds).
_NOW: Final = 1_000.0


def _encode_request(path: str, request_id: str) -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nHost: host-1\r\n'
        f'Authorization: Bearer {KEY}\r\n'
        'Damaskpoint-Pieces: 1,1\r\nDamaskpoint-Piece-Key: input-1\r\n'
        f'Damaskpoint-Request-Id: {request_id}\r\n\r\n'
    ).encode()


async def _request_status(context: Any, path: str, request_id: str) -> int:
    """Return the status of the answer; 0 if the connection closes first.

    Reads until the connection is closed.
    """
    reader, writer = await asyncio.open_connection(HOST, context.site.port)
    writer.write(_encode_request(path, request_id))
    answer = await asyncio.wait_for(reader.read(), _WAIT_S)
    writer.close()
    return int(answer.split()[1]) if answer else 0


@when('a shutdown begins while a caller waits for a stream')
def stop_while_streaming(context: Any) -> None:
    """Begin a shutdown once the runner has the request."""

    async def stop() -> None:
        model = context.site.runners_by_name['model-1']
        seen = len(model.requests)
        context.waiting = asyncio.ensure_future(
            _request_status(context, '/stream/one', 'waiting-1')
        )
        await until(lambda: len(model.requests) > seen)
        context.site.gateway.begin_shutdown()

    run(context, stop())


@then('an idle connection is closed between {least:g} s and {most:g} s later')
def check_idle_closed(context: Any, least: float, most: float) -> None:
    """Open a connection and wait until the gateway closes it."""

    async def wait() -> float:
        began_at = time.monotonic()
        reader, writer = await asyncio.open_connection(HOST, context.site.port)
        received = await asyncio.wait_for(reader.read(), _WAIT_S)
        writer.close()
        assert not received, received
        return time.monotonic() - began_at

    took_s = run(context, wait())
    assert least <= took_s <= most, took_s


@when('a shutdown ends while callers wait for GET {first} and GET {second}')
def wait_for_end(context: Any, first: str, second: str) -> None:
    """Send both on routes with a long timeout, then begin a shutdown."""

    async def stop() -> None:
        site = context.site
        await site.lengthen_timeouts()
        waiting = [
            asyncio.ensure_future(_request_status(context, path, f'id-{path}'))
            for path in (first, second)
        ]
        plain = site.runners_by_name['plain-1']
        stage = site.runners_by_name['stage-1']
        await until(lambda: plain.requests and stage.batches)
        site.gateway.begin_shutdown()
        context.statuses = await asyncio.gather(*waiting)

    run(context, stop())


@then(
    'the first gets {first:d}, and the second {second:d} as no runner has its'
    ' request'
)
def check_statuses(context: Any, first: int, second: int) -> None:
    """Check the answers, and that the model runner received nothing."""
    assert context.statuses == [first, second], context.statuses
    assert not context.site.runners_by_name['model-1'].requests


@given(
    'a shutdown that began {age:g} s ago, with {notice:g} s of notice of its'
    ' {limit:g} s'
)
def begin_shutdown(
    context: Any, age: float, notice: float, limit: float
) -> None:
    """Create a shutdown state and the check of the requests in it."""
    context.began_at = _NOW - age
    shutdown = ShutdownState(ShutdownOptions(notice_s=notice, limit_s=limit))
    shutdown.begin(context.began_at)
    context.check = CompletionCheck(shutdown)


@given(
    '{runs:d} runs of a route that took up to {longest:g} s, {mean:g} s on'
    ' average'
)
def record_runs(context: Any, runs: int, longest: float, mean: float) -> None:
    """Record one longest run; the others take equally long."""
    run_request = _create_request(context.began_at, 60)
    for number in range(runs):
        others_s = (mean * runs - longest) / max(1, runs - 1)
        context.check.record_run(run_request, others_s if number else longest)


@given('runs of a route, with their sizes: {runs}')
def record_sized_runs(context: Any, runs: str) -> None:
    """Record runs, written as "COUNT of PROMPT/GENERATED in SECONDS"."""
    for group in runs.split(';'):
        words = group.split()
        size = _parse_size(words[2])
        run_request = _create_request(context.began_at, 60, size)
        for _ in range(int(words[0])):
            context.check.record_run(run_request, float(words[4]))


@when('a request of size {size} is sent {sent:g} s after the signal')
def check_sized_request(context: Any, size: str, sent: float) -> None:
    """Check whether a request of this size can still be answered."""
    context.failure = context.check.check(
        _create_request(context.began_at + sent, 60, _parse_size(size)),
        0,
        _NOW,
    )


def _parse_size(text: str) -> tuple[int, ...]:
    """Return the tokens of the prompt and the most to be generated."""
    return tuple(int(count) for count in text.split('/'))


@when(
    'a request with {left:g} s left, sent {sent:g} s after the signal, needs'
    ' {stages:g} s for its stages'
)
def check_request(
    context: Any, left: float, sent: float, stages: float
) -> None:
    """Check whether the request can still be answered."""
    arrived_at = context.began_at + sent
    context.failure = context.check.check(
        _create_request(arrived_at, _NOW + left - arrived_at), stages, _NOW
    )


def _create_request(
    arrived_at: float, deadline_s: float, token_counts: tuple[int, ...] = ()
) -> CallerRequest:
    route = Route(
        name=_ROUTE,
        host='host-1',
        prefix='/',
        kind=RequestKind.STREAM,
        timeout_s=60,
        objective_s=1,
        priority=0,
        targets=(Target('service-1', 1),),
        max_attempts=1,
    )
    return CallerRequest(
        method='GET',
        target='/',
        headers=(),
        body=b'',
        metadata=RequestMetadata(
            'request-1', deadline_s, None, token_counts=token_counts
        ),
        route=route,
        account=None,
        arrived_at=arrived_at,
        first_sent_at=arrived_at,
    )


@then('the shutdown check says {decision}')
def check_decision(context: Any, decision: str) -> None:
    """Compare the decision; a refusal says that the caller may retry soon."""
    if decision == 'accepted':
        assert context.failure is None, context.failure
        return
    assert context.failure.code is Code.SHUTTING_DOWN, context.failure
    assert context.failure.retry_after_s > 0
