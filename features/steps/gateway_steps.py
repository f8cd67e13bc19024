"""Steps that put a gateway before stand-ins of the users' platform."""

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
    """Start store, runners and gateway."""
    _begin(context, needs_runners=True)


@given('a site without a configuration')
def start_empty(context: Any) -> None:
    """Start a gateway before an empty store."""
    _begin(context, needs_runners=False)


@given('a second runner of the service "{service}"')
def add_runner(context: Any, service: str) -> None:
    """Start another runner and wait until it is known."""
    site = context.site
    events = 5 if service == 'model' else 0
    site.start_runner(RunnerState(f'{service}-2', events=events), service)
    runners = _catalog(site).runners
    run(context, until(lambda: runners.find(f'{service}-2') is not None))


@given('the runner "{name}" is full')
def fill(context: Any, name: str) -> None:
    """Let a runner refuse everything."""
    context.site.runners_by_name[name].is_full = True


@given('the first {count:d} pieces fail at "{name}"')
def fail_pieces(context: Any, count: int, name: str) -> None:
    """Let a runner of a stage fail pieces."""
    context.site.runners_by_name[name].failing_pieces = count


@given('the runner "{name}" takes {seconds:g} seconds')
def slow_down(context: Any, name: str, seconds: float) -> None:
    """Let a runner take its time."""
    context.site.runners_by_name[name].work_s = seconds


@given('the runner "{name}" answers {status:d}')
def fail(context: Any, name: str, status: int) -> None:
    """Let a runner fail."""
    context.site.runners_by_name[name].status = status


@given('the runner "{name}" cuts streams after {events:d} events')
def cut(context: Any, name: str, events: int) -> None:
    """Let a runner cut its streams; after none, before the head."""
    state = context.site.runners_by_name[name]
    state.cut_after = events
    if not events:
        context.loop.run_until_complete(_cut_first(context, name))


async def _cut_first(context: Any, name: str) -> None:
    """Replace a runner by one that closes once it has read a request."""

    async def serve(reader: Any, writer: Any) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    context.closers.append(server.close)
    site = context.site
    site.ports_by_name[name] = server.sockets[0].getsockname()[1]
    site.register(name, 'model')
    runners = _catalog(site).runners
    port = site.ports_by_name[name]
    await until(lambda: runners.find(name).port == port)


@given('the entry of "{name}" says that it drains')
def drain(context: Any, name: str) -> None:
    """Write the entry and wait until it is heard."""
    context.site.register(name, 'plain', State='draining')
    runners = _catalog(context.site).runners
    run(context, until(lambda: runners.find(name) is None))


@given('the zone "{zone}" is evacuated')
def evacuate(context: Any, zone: str) -> None:
    """Ask for an evacuation and wait until it is heard."""
    context.site.store.put('op', f'evacuate/{zone}', {})
    runners = _catalog(context.site).runners
    run(context, until(lambda: not runners.usable('plain')))


@when('the zone "{zone}" is taken back')
def take_back(context: Any, zone: str) -> None:
    """End the evacuation and wait until that is heard."""
    context.site.store.remove('op', f'evacuate/{zone}')
    runners = _catalog(context.site).runners
    run(context, until(lambda: runners.usable('plain')))


@given('the store answers {status:d}')
def break_store(context: Any, status: int) -> None:
    """Let the store refuse all calls, and wait until that is seen."""
    store = context.site.store
    store.failing = status
    store.forget_history()
    calls = store.calls
    run(context, until(lambda: store.calls > calls + 2))


@given('the store forgets its history')
def forget(context: Any) -> None:
    """Forget the history, and wait until it was read again."""
    store = context.site.store
    calls = store.calls
    store.forget_history()
    run(context, until(lambda: store.calls > calls + 3))


@given('the table {table} has a row {key} of {content}')
def write_bad_row(context: Any, table: str, key: str, content: str) -> None:
    """Write a row, and another one behind it that must be heard."""
    site = context.site
    site.store.put(table, key, content.encode())
    site.start_runner(RunnerState('plain-9'), 'plain')
    runners = _catalog(site).runners
    run(context, until(lambda: runners.find('plain-9') is not None))


@when('a version without keys comes into force')
def revoke(context: Any) -> None:
    """Write a version that has another key."""
    tenants = [{'Name': 'account-1', 'ApiKeys': ['key-2']}]
    context.site.configure(2, Tenants=tenants)
    catalog = _catalog(context.site)
    run(context, until(lambda: catalog.configuration.version == 2))


async def _send(
    context: Any, method: str, path: str, **headers: str
) -> httpclient.HTTPResponse:
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
        context, _send(context, method, path, Authorization=f'Bearer {key}')
    )


@when('a caller sends POST {path} with the pieces "{counts}"')
def send_pieces(context: Any, path: str, counts: str) -> None:
    """Send a request with stages."""
    context.path = path
    context.answer = run(
        context, _send(context, 'POST', path, Damaskpoint_Pieces=counts)
    )


@when('a caller sends GET {path} with {header} set to "{text}"')
def send_header(context: Any, path: str, header: str, text: str) -> None:
    """Send a request with a header of its own."""
    name = header.replace('-', '_')
    context.answer = run(context, _send(context, 'GET', path, **{name: text}))


@when('a caller sends GET {path} with {header} set to ""')
def send_without(context: Any, path: str, header: str) -> None:
    """Send a request without a header."""
    send_header(context, path, header, '')


@when('{count:d} callers send GET {path}')
def send_many(context: Any, count: int, path: str) -> None:
    """Send requests one after the other."""
    context.answers = [
        run(context, _send(context, 'GET', path)) for _ in range(count)
    ]


@when('a caller leaves once the runner "{name}" has its GET {path}')
def leave(context: Any, name: str, path: str) -> None:
    """Send a request and close the connection."""

    async def send_and_leave() -> None:
        _, writer = await asyncio.open_connection(HOST, context.site.port)
        writer.write(_create_raw_request(path))
        await until(lambda: context.site.runners_by_name[name].seen)
        writer.close()

    run(context, send_and_leave())


def _create_raw_request(path: str) -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nHost: host-1\r\n'
        f'Authorization: Bearer {KEY}\r\n'
        'Damaskpoint-Request-Id: id-1\r\n\r\n'
    ).encode()


@given('writes to the store take {seconds:g} seconds')
def slow_writes(context: Any, seconds: float) -> None:
    """Let the store take its time for writes."""
    context.site.store.write_s = seconds


@when('a caller sends GET {path} on an open connection as the gateway ends')
def send_at_the_end(context: Any, path: str) -> None:
    """Send when nothing was open any more, on a connection kept since."""

    async def stop() -> None:
        reader, writer = await asyncio.open_connection(HOST, context.site.port)
        context.site.gateway.begin_shutdown()
        await until(lambda: context.site.gateway.is_stopped)
        writer.write(_create_raw_request(path))
        try:
            answer = await reader.read()
        except ConnectionResetError:
            # The request crossed the close; the next step sees whether a
            # runner got it all the same.
            answer = b''
        writer.close()
        context.answered = int(answer.startswith(b'HTTP/1.1 200'))

    run(context, stop())


@when('the gateway is told to stop while a caller waits for GET {path}')
def stop_while_waiting(context: Any, path: str) -> None:
    """Begin a shutdown once the runner has the request."""

    async def stop() -> None:
        context.waiting = asyncio.ensure_future(_send(context, 'GET', path))
        plain = context.site.runners_by_name['plain-1']
        await until(lambda: plain.seen)
        context.site.gateway.begin_shutdown()

    run(context, stop())


@when('callers send GET {path} {first_s:g} s and {second_s:g} s later')
def send_later(
    context: Any, path: str, first_s: float, second_s: float
) -> None:
    """Open two connections now; read what the second request gets."""

    async def send() -> None:
        opened = [
            await asyncio.open_connection(HOST, context.site.port)
            for _ in range(2)
        ]
        await asyncio.sleep(first_s)
        opened[0][1].write(_create_raw_request(path))
        await asyncio.sleep(second_s - first_s)
        began_at = time.monotonic()
        opened[1][1].write(_create_raw_request(path))
        context.answer = (await opened[1][0].readuntil(b'}')).decode()
        context.took_s = time.monotonic() - began_at
        for _, writer in opened:
            writer.close()

    run(context, send())
