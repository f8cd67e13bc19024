"""Steps that send valid and invalid requests of callers to one entry."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import socket
import time
from typing import Any, Final

from behave import given, then, when
from tornado import simple_httpclient

from damaskpoint import defaults
from features.support.cluster import Cluster, Sections
from features.support.launcher import fetch
from features.support.sheets import (
    ACCOUNT,
    ANSWER_PATH,
    MODEL_POOL,
    SERVICE_PATH,
    SERVICE_POOL,
    SheetOptions,
)

_VALID_BODY: Final = b'{"input": {"question": "how much?"}}'
_KB_PER_MB: Final = 1024
_WAIT_S: Final = 20.0
_HEADERS: Final = {
    'X-Client-Account': ACCOUNT,
    'Authorization': f'Bearer {ACCOUNT}-secret',
}
_PIPELINE: Final = '/v1/pipelines'
_MANY_TOKENS: Final = 1_000_000
# Delay of the slow reader; longer than the notice phase of a shutdown.
_READ_DELAY_S: Final = 4.0
_DEEP_JSON: Final = b'[' * 60 + b']' * 60

# Path, body and headers of a case; a header of None is left out.
_Case = tuple[str, bytes, dict[str, str | None]]
_CASES: Final[dict[str, _Case]] = {
    'no credential': (ANSWER_PATH, _VALID_BODY, {'Authorization': None}),
    'wrong credential': (
        ANSWER_PATH,
        _VALID_BODY,
        {'Authorization': 'Bearer x'},
    ),
    'unknown account': (
        ANSWER_PATH,
        _VALID_BODY,
        {'X-Client-Account': 'nobody'},
    ),
    'unknown pipeline': (f'{_PIPELINE}/none', _VALID_BODY, {}),
    'unknown service': ('/v1/services/none/path', b'', {}),
    'model pool as service': (f'/v1/services/{MODEL_POOL}/path', b'', {}),
    'unknown path': ('/v2/anything', b'', {}),
    'malformed body': (ANSWER_PATH, b'{"input": ', {}),
    'body is a list': (ANSWER_PATH, b'[1]', {}),
    'unknown field': (ANSWER_PATH, b'{"input": 1, "more": 2}', {}),
    'deep body': (ANSWER_PATH, b'{"input": ' + _DEEP_JSON + b'}', {}),
    'not a number': (ANSWER_PATH, b'{"input": NaN}', {}),
    'not UTF-8': (ANSWER_PATH, b'{"input": "\xff\xfe"}', {}),
    'large body': (ANSWER_PATH, b' ' * (defaults.MAX_BODY_BYTES + 1), {}),
    'bad deadline': (ANSWER_PATH, _VALID_BODY, {'X-Deadline-Ms': 'soon'}),
    'zero deadline': (ANSWER_PATH, _VALID_BODY, {'X-Deadline-Ms': '0'}),
    'long key': (ANSWER_PATH, _VALID_BODY, {'Idempotency-Key': 'k' * 129}),
    'key with a space': (ANSWER_PATH, _VALID_BODY, {'Idempotency-Key': 'a b'}),
    'long request id': (ANSWER_PATH, _VALID_BODY, {'X-Request-Id': 'r' * 129}),
}


@given('a deployment of one engine, one service and one entry')
def start_deployment(context: Any) -> None:
    """Start it, and wait until a pipeline is served."""
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.runner.run(start_entry_site(context))


@when('these requests are sent to the entry')
def send_cases(context: Any) -> None:
    """Send every case, one after the other."""
    context.answers = {}
    context.cases = [row.as_dict() for row in context.table]
    for row in context.cases:
        context.answers[row['case']] = context.runner.run(
            _send_case(context.url, row['case'])
        )


@then('each of them has its status and code, and "ran" is no')
def check_cases(context: Any) -> None:
    """Collect all answers that differ."""
    mismatches = []
    for row in context.cases:
        status, body = context.answers[row['case']]
        problem = json.loads(body)
        found = (str(status), problem['code'], problem['ran'])
        if found != (row['status'], row['code'], 'no'):
            mismatches.append((row['case'], found))
    assert not mismatches, mismatches


@then('the entry still answers a pipeline request')
def check_still_serving(context: Any) -> None:
    """Send a valid request."""
    status, body = context.runner.run(
        _post(context.url, ANSWER_PATH, _VALID_BODY)
    )
    assert status == 200, body


@then('its metrics show each of these codes')
def check_counters(context: Any) -> None:
    """Look up each code in the metrics."""
    member = context.cluster.members_by_name['entry-1']
    _status, text = context.runner.run(fetch(f'{member.operator_url}/metrics'))
    for row in context.cases:
        assert f'code="{row["code"]}"' in text, row['code']


@when('a caller disconnects while its request is in a slow stage')
def disconnect_from_pipeline(context: Any) -> None:
    """Slow the engine down, and disconnect once it has the call."""
    context.runner.run(_send_and_disconnect(context, ANSWER_PATH, 'engine-1'))


@then('the engine records the call as cancelled')
def check_cancelled(context: Any) -> None:
    """Wait for the event in the engine's log."""
    context.runner.run(_wait_event(context, 'engine-1', 'cancelled'))


@when('the same order is sent twice with one key, and once with another body')
def send_orders(context: Any) -> None:
    """Send three requests in a row."""
    headers = {'Idempotency-Key': 'order-1'}
    context.orders = []
    for body in (b'two bottles', b'two bottles', b'three bottles'):
        context.orders.append(
            context.runner.run(_post(context.url, SERVICE_PATH, body, headers))
        )


@then('the first two answers are identical and the service ran the order once')
def check_same_order(context: Any) -> None:
    """Compare the answers, and count the calls at the service."""
    first, second, _third = context.orders
    assert first[0] == 200, first
    assert first == second
    assert _count_started(context, 'service-1') == 1


@then('the third is refused as "{code}"')
def check_third(context: Any, code: str) -> None:
    """Check the code of the failure."""
    assert json.loads(context.orders[2][1])['code'] == code


@when('a caller disconnects while its order is at the service')
def disconnect_from_order(context: Any) -> None:
    """Disconnect once the service has the call."""
    context.runner.run(
        _send_and_disconnect(context, SERVICE_PATH, 'service-1', 'order-2')
    )


@then('the same order with the same key gets the answer, and it ran once')
def check_order_after_disconnect(context: Any) -> None:
    """Retry until the first run has an outcome."""
    headers = {'Idempotency-Key': 'order-2'}
    deadline = time.monotonic() + _WAIT_S
    status = 0
    body = ''
    while status != 200 and time.monotonic() < deadline:
        status, body = context.runner.run(
            _post(context.url, SERVICE_PATH, _VALID_BODY, headers)
        )
    assert status == 200, body
    assert _count_started(context, 'service-1') == 1


@when('the entry is terminated before its caller reads a large answer')
def read_slowly(context: Any) -> None:
    """Let the answer fill the buffers, terminate the entry, and then read."""
    late_read = context.runner.run(_read_after_termination(context))
    context.exit_status = late_read[0]
    context.slow_answer = late_read[1]


@then('the caller still gets the whole answer and the entry exits with 0')
def check_slow_answer(context: Any) -> None:
    """Parse the answer; a truncated one is not valid JSON."""
    assert context.exit_status == 0, context.exit_status
    _head, _separator, body = context.slow_answer.partition(b'\r\n\r\n')
    text = json.loads(body)['output']['text']
    assert len(text.split()) == _MANY_TOKENS, len(text.split())


@then("the entry's resident memory is under {bound:d} MB")
def check_memory(context: Any, bound: int) -> None:
    """Read the resident set size from procfs."""
    pid = context.cluster.launcher.find_pid('entry-1')
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(
        record for record in status.split('\n') if record.startswith('VmRSS')
    )
    used_mb = int(line.split()[1]) / _KB_PER_MB
    assert used_mb < bound, f'{used_mb:.1f} MB'


async def start_entry_site(
    context: Any, sections: Sections | None = None
) -> None:
    """Start an entry with settings and what it needs, until it serves."""
    cluster = Cluster(sections=sections or {})
    context.cluster = cluster
    context.add_cleanup(cluster.close)
    await _start_upstreams(cluster)
    entry = await cluster.add_entry('entry-1', 'zone-a')
    context.url = entry.url
    assert await cluster.apply(SheetOptions()) == 0
    await cluster.wait_entry('entry-1')
    await _wait_until_served(entry.url)


async def _start_upstreams(cluster: Cluster) -> None:
    await cluster.start_platform()
    flags = ('--model=model-1:1', '--starts=warm', '--token-ms=0')
    await cluster.add_upstream(
        'engine', 'engine-1', MODEL_POOL, 'zone-a', *flags
    )
    await cluster.add_upstream(
        'service', 'service-1', SERVICE_POOL, 'zone-a', '--starts=warm'
    )


async def _wait_until_served(url: str) -> None:
    """Wait until routing has a warm engine."""
    deadline = time.monotonic() + _WAIT_S
    status = 0
    while status != 200 and time.monotonic() < deadline:
        status, body = await _post(url, ANSWER_PATH, _VALID_BODY)
        await asyncio.sleep(0.1)
    assert status == 200, body


async def ask_pipeline(context: Any) -> int:
    """Return the status of a valid request."""
    status, _ = await _post(context.url, ANSWER_PATH, _VALID_BODY)
    return status


async def _send_case(url: str, case: str) -> tuple[int, str]:
    if case == 'wrong method':
        return await fetch(f'{url}{ANSWER_PATH}')
    if case == 'huge declared body':
        return await _declare_huge(url)
    path, body, headers = _CASES[case]
    return await _post(url, path, body, headers)


async def _post(
    url: str,
    path: str,
    body: bytes,
    headers: dict[str, str | None] | dict[str, str] | None = None,
) -> tuple[int, str]:
    all_headers = {**_HEADERS, **(headers or {})}
    present_headers = {
        name: value for name, value in all_headers.items() if value is not None
    }
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    try:
        answer = await client.fetch(
            f'{url}{path}',
            method='POST',
            headers=present_headers,
            body=body,
            raise_error=False,
        )
    finally:
        client.close()
    return answer.code, answer.body.decode(errors='replace')


async def _declare_huge(url: str) -> tuple[int, str]:
    """Declare a body that never arrives; the refusal must not wait for it."""
    reader, writer = await _connect(url)
    head = f'POST {ANSWER_PATH} HTTP/1.1\r\nHost: x\r\n'
    writer.write(f'{head}Content-Length: 99999999999\r\n\r\n'.encode())
    raw = (await reader.read()).decode()
    writer.close()
    start, _separator, body = raw.partition('\r\n\r\n')
    return int(start.split()[1]), body


async def _read_after_termination(context: Any) -> tuple[int, bytes]:
    body = json.dumps({'input': {'tokens': _MANY_TOKENS}})
    lines = [f'POST {ANSWER_PATH} HTTP/1.1', 'Host: x', 'Connection: close']
    lines += [f'{name}: {value}' for name, value in _HEADERS.items()]
    lines += [f'Content-Length: {len(body)}', '', body]
    before = _count_events(context, 'engine-1', 'ended')
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host, port = context.url.removeprefix('http://').split(':')
    caller.connect((host, int(port)))
    reader, writer = await asyncio.open_connection(sock=caller, limit=4096)
    writer.write('\r\n'.join(lines).encode())
    while _count_events(context, 'engine-1', 'ended') < before + 4:
        await asyncio.sleep(0.05)
    context.cluster.launcher.send('entry-1', signal.SIGTERM)
    await asyncio.sleep(_READ_DELAY_S)
    raw = await reader.read(-1)
    writer.close()
    return await context.cluster.launcher.wait_exit('entry-1'), raw


async def _connect(
    url: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = url.removeprefix('http://').split(':')
    return await asyncio.open_connection(host, int(port))


async def _send_and_disconnect(
    context: Any, path: str, upstream: str, key: str = 'none'
) -> None:
    await context.cluster.control(upstream, slow_factor=20)
    headers = {**_HEADERS, 'Idempotency-Key': key}
    lines = [f'POST {path} HTTP/1.1', 'Host: x']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(_VALID_BODY)}', '', '']
    before = _count_started(context, upstream)
    _reader, writer = await _connect(context.url)
    writer.write('\r\n'.join(lines).encode() + _VALID_BODY)
    while _count_started(context, upstream) == before:
        await asyncio.sleep(0.05)
    writer.close()


async def _wait_event(context: Any, actor: str, event: str) -> None:
    deadline = time.monotonic() + _WAIT_S
    while time.monotonic() < deadline:
        if _count_events(context, actor, event):
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f'{actor}: no event {event}')


def _count_started(context: Any, actor: str) -> int:
    return _count_events(context, actor, 'started')


def _count_events(context: Any, actor: str, event: str) -> int:
    path = context.cluster.launcher.folder / f'{actor}.jsonl'
    lines = path.read_text().split('\n') if path.exists() else ['']
    # The text after the last line end is still being written.
    found = [json.loads(line) for line in lines[:-1]]
    return sum(1 for record in found if record.get('event') == event)
