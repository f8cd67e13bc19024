"""Steps that run a gateway and send requests to it."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

from behave import given, when
from tornado import httpclient, simple_httpclient

from features.support.gateway_site import HOST, KEY, Site, run, until
from standins.runner import RunnerState

_WAIT_S: Final = 3.0
_STEP_S: Final = 0.02
_SERVICES: Final = ('plain', 'model', 'stage')


async def _start(context: Any, site: Site, needs_runners: bool) -> None:
    site.start_store()
    for service in _SERVICES if needs_runners else ():
        events = 5 if service == 'model' else 0
        state = RunnerState(f'{service}-1', events=events)
        site.start_runner(state, service)
    if needs_runners:
        site.configure(1)
    gateway = site.create_gateway()
    context.running = asyncio.ensure_future(gateway.run())
    if needs_runners:
        catalog = _catalog(site)
        await until(lambda: catalog.configuration is not None)
        await until(lambda: len(catalog.runners) == len(_SERVICES))
    else:
        await asyncio.sleep(_STEP_S)


def _catalog(site: Site) -> Any:
    assert site.gateway is not None
    return site.gateway.catalog


def _close(context: Any) -> None:
    context.running.cancel()
    context.site.stop()


def _begin(context: Any, needs_runners: bool) -> None:
    context.site = Site()
    context.closers.append(lambda: _close(context))
    run(context, _start(context, context.site, needs_runners))


@given('a site with a runner of each service')
def start_site(context: Any) -> None:
    """Start the store, the runners and the gateway."""
    _begin(context, needs_runners=True)


@given('a site without a configuration')
def start_empty(context: Any) -> None:
    """Start a gateway with an empty store."""
    _begin(context, needs_runners=False)


@given('a second runner of the service "{service}"')
def add_runner(context: Any, service: str) -> None:
    """Start another runner and wait until the gateway knows it."""
    site = context.site
    events = 5 if service == 'model' else 0
    site.start_runner(RunnerState(f'{service}-2', events=events), service)
    runners = _catalog(site).runners
    run(context, until(lambda: runners.find(f'{service}-2') is not None))


@given('the runner "{name}" is full')
def make_full(context: Any, name: str) -> None:
    """Make a runner refuse all requests as full."""
    context.site.runners_by_name[name].is_full = True


@given('the first {count:d} pieces fail at "{name}"')
def fail_pieces(context: Any, count: int, name: str) -> None:
    """Make a runner of a stage fail its first pieces."""
    context.site.runners_by_name[name].pieces_to_fail = count


@given('the runner "{name}" finds the inputs of its next request gone')
def lose_inputs(context: Any, name: str) -> None:
    """Make a runner refuse its next request for lack of an input."""
    context.site.runners_by_name[name].inputs_to_lose = 1


@given('the runner "{name}" takes {seconds:g} seconds')
def slow_down(context: Any, name: str, seconds: float) -> None:
    """Set the time that a runner works on a request."""
    context.site.runners_by_name[name].service_time_s = seconds


@given('the runner "{name}" answers {status:d}')
def set_status(context: Any, name: str, status: int) -> None:
    """Set the status that a runner answers."""
    context.site.runners_by_name[name].status = status


@given('the runner "{name}" cuts streams after {events:d} events')
def cut_streams(context: Any, name: str, events: int) -> None:
    """Make a runner cut its streams; after 0 events, before the head."""
    state = context.site.runners_by_name[name]
    state.cut_after_events = events
    if not events:
        context.loop.run_until_complete(_close_before_head(context, name))


async def _close_before_head(context: Any, name: str) -> None:
    """Replace a runner by one that closes after it read a request's head."""

    async def serve(reader: Any, writer: Any) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.close()

    server = await context.site.replace_runner(name, 'model', serve)
    context.closers.append(server.close)


@given('the entry of "{name}" has the state draining')
def drain_runner(context: Any, name: str) -> None:
    """Write a draining entry and wait until the gateway has read it."""
    context.site.register(name, 'plain', State='draining')
    runners = _catalog(context.site).runners
    run(context, until(lambda: runners.find(name) is None))


@given('the zone "{zone}" is evacuated')
def start_evacuation(context: Any, zone: str) -> None:
    """Start an evacuation and wait until the gateway follows it."""
    context.site.store.put('op', f'evacuate/{zone}', {})
    runners = _catalog(context.site).runners
    run(context, until(lambda: not runners.usable('plain')))


@when('the evacuation of the zone "{zone}" ends')
def end_evacuation(context: Any, zone: str) -> None:
    """End the evacuation and wait until the gateway follows it."""
    context.site.store.remove('op', f'evacuate/{zone}')
    runners = _catalog(context.site).runners
    run(context, until(lambda: runners.usable('plain')))


@given('the store answers {status:d}')
def break_store(context: Any, status: int) -> None:
    """Make the store fail all calls, and wait until some have failed."""
    store = context.site.store
    store.error_status = status
    store.discard_changes()
    calls = store.calls
    run(context, until(lambda: store.calls > calls + 2))


@given('the store forgets its history')
def forget_history_and_wait(context: Any) -> None:
    """Drop the store's history and wait until the tables are read again."""
    store = context.site.store
    calls = store.calls
    store.discard_changes()
    run(context, until(lambda: store.calls > calls + 3))


@given('the table {table} has a row {key} of {content}')
def write_bad_row(context: Any, table: str, key: str, content: str) -> None:
    """Write an invalid row, then a valid one, and wait for the latter."""
    site = context.site
    site.store.put(table, key, content.encode())
    site.start_runner(RunnerState('plain-9'), 'plain')
    runners = _catalog(site).runners
    run(context, until(lambda: runners.find('plain-9') is not None))


@when('a configuration with another key is applied')
def replace_key(context: Any) -> None:
    """Apply a configuration whose account has another key."""
    tenants = [{'Name': 'account-1', 'ApiKeys': ['key-2']}]
    context.site.configure(2, Tenants=tenants)
    catalog = _catalog(context.site)
    run(context, until(lambda: catalog.configuration.version == 2))


async def send_request(
    context: Any, method: str, path: str, **headers: str
) -> httpclient.HTTPResponse:
    """Send a request and return its answer; 599 if it was cut."""
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    named = {
        'Host': 'host-1',
        'Authorization': f'Bearer {KEY}',
        'Damaskpoint-Request-Id': f'id-{time.monotonic_ns()}',
        'Damaskpoint-Deadline-Ms': '2500',
        'Damaskpoint-Tenant': 'forged',
        'Damaskpoint-Prompt-Prefix': 'ab:10,cd:20',
        'Damaskpoint-Token-Counts': '30,5',
    }
    if path.startswith('/staged'):
        named['Damaskpoint-Pieces'] = '1,1'
        named['Damaskpoint-Piece-Key'] = 'input-1'
    named.update(
        {name.replace('_', '-'): text for name, text in headers.items()}
    )
    request = httpclient.HTTPRequest(
        f'http://{HOST}:{context.site.port}{path}',
        method=method,
        headers={name: text for name, text in named.items() if text},
        body=b'a body' if method == 'POST' else None,
        request_timeout=_WAIT_S,
    )
    try:
        return await client.fetch(request, raise_error=False)
    except simple_httpclient.HTTPStreamClosedError as error:
        return httpclient.HTTPResponse(request, error.code)


@when('a caller sends {method} {path} with the key "{key}"')
def send(context: Any, method: str, path: str, key: str) -> None:
    """Send a request and keep the answer."""
    context.path = path
    context.answer = run(
        context,
        send_request(context, method, path, Authorization=f'Bearer {key}'),
    )


@when('a caller sends POST {path} with the pieces "{counts}"')
def send_pieces(context: Any, path: str, counts: str) -> None:
    """Send a request with stages."""
    context.path = path
    key = {'Damaskpoint_Pieces': counts, 'Damaskpoint_Piece_Key': 'input-1'}
    context.answer = run(context, send_request(context, 'POST', path, **key))
    context.answered_at = time.monotonic()


@when('a caller sends GET {path} with {header} set to "{text}"')
def send_header(context: Any, path: str, header: str, text: str) -> None:
    """Send a request with a header of its own."""
    name = header.replace('-', '_')
    context.answer = run(
        context, send_request(context, 'GET', path, **{name: text})
    )


@when('a caller sends GET {path} with {header} set to ""')
def send_without(context: Any, path: str, header: str) -> None:
    """Send a request without a header."""
    send_header(context, path, header, '')


@when('{count:d} callers send {method} {path}')
def send_many(context: Any, count: int, method: str, path: str) -> None:
    """Send requests with different prompts one after another."""
    context.answers = []
    for number in range(count):
        prompt = {'Damaskpoint_Prompt_Prefix': f'a{number}:10,cd:20'}
        sending = send_request(context, method, path, **prompt)
        context.answers.append(run(context, sending))


@when('a caller disconnects once the runner "{name}" received its GET {path}')
def disconnect(context: Any, name: str, path: str) -> None:
    """Send a request and disconnect once the runner has received it."""

    async def send_and_disconnect() -> None:
        _, writer = await asyncio.open_connection(HOST, context.site.port)
        writer.write(_create_raw_request(path))
        await until(lambda: context.site.runners_by_name[name].requests)
        writer.close()

    run(context, send_and_disconnect())


def _create_raw_request(path: str) -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nHost: host-1\r\n'
        f'Authorization: Bearer {KEY}\r\n'
        'Damaskpoint-Request-Id: id-1\r\n\r\n'
    ).encode()


@given('writes to the store take {seconds:g} seconds')
def slow_writes(context: Any, seconds: float) -> None:
    """Set the time that the store takes for writes."""
    context.site.store.write_delay_s = seconds


@when('a caller sends GET {path} on an open connection as the gateway stops')
def send_while_stopping(context: Any, path: str) -> None:
    """Send on a connection kept open, when the drain has just ended."""

    async def stop() -> None:
        reader, writer = await asyncio.open_connection(HOST, context.site.port)
        context.site.gateway.begin_shutdown()
        await until(lambda: context.site.gateway.is_stopped)
        writer.write(_create_raw_request(path))
        try:
            answer = await reader.read()
        except ConnectionResetError:
            # The gateway closed the connection before it read the request;
            # the next step checks that no runner received it.
            answer = b''
        writer.close()
        context.answered = int(answer.startswith(b'HTTP/1.1 200'))

    run(context, stop())


@when('a shutdown begins while a caller waits for GET {path}')
def stop_while_waiting(context: Any, path: str) -> None:
    """Begin a shutdown once the runner has the request."""

    async def stop() -> None:
        context.waiting = asyncio.ensure_future(
            send_request(context, 'GET', path)
        )
        plain = context.site.runners_by_name['plain-1']
        await until(lambda: plain.requests)
        context.site.gateway.begin_shutdown()

    run(context, stop())


@when('callers send GET {path} {first_s:g} s and {second_s:g} s later')
def send_later(
    context: Any, path: str, first_s: float, second_s: float
) -> None:
    """Send on a connection opened now, and on one opened for the second.

    Keeps the answer of the second request.
    """

    async def send() -> None:
        _, first = await asyncio.open_connection(HOST, context.site.port)
        await asyncio.sleep(first_s)
        first.write(_create_raw_request(path))
        await asyncio.sleep(second_s - first_s)
        reader, second = await asyncio.open_connection(HOST, context.site.port)
        began_at = time.monotonic()
        second.write(_create_raw_request(path))
        answer = await asyncio.wait_for(reader.readuntil(b'}'), _WAIT_S)
        context.answer = answer.decode()
        context.took_s = time.monotonic() - began_at
        for writer in (first, second):
            writer.close()

    run(context, send())
