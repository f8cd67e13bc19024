"""Steps that test the stand-ins and the relay on their own."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from behave import given, then, when
from tornado import httpclient

from damaskpoint import protocol
from features.support.caller import read_events
from features.support.cluster import Cluster, Member
from features.support.launcher import fetch
from standins import derive

if TYPE_CHECKING:
    from collections.abc import Coroutine

_INPUT = {'key': 'k', 'tokens': 8}


def _run(context: Any, work: Coroutine[object, object, Any]) -> Any:
    return context.loop.run_until_complete(work)


def _cluster(context: Any) -> Cluster:
    cluster = Cluster()
    context.closers.append(cluster.close)
    context.cluster = cluster
    return cluster


@given('a stand-in platform')
def start_platform(context: Any) -> None:
    """Start a platform."""
    _run(context, _cluster(context).start_platform())


@given('a stand-in engine')
def start_engine(context: Any) -> None:
    """Start a warm engine."""
    _start_engine(context, '--starts=warm')


@given('a stand-in engine that ignores fencing')
def start_ignoring_engine(context: Any) -> None:
    """Start an engine that executes orders with stale fencing numbers too."""
    _start_engine(context, '--starts=warm', '--ignores-fencing')


@given('a stand-in engine that starts cold with a limit of {limit:d} call')
def start_cold_engine(context: Any, limit: int) -> None:
    """Start a cold engine."""
    _start_engine(context, '--starts=cold', f'--cold-limit={limit}')


def _start_engine(context: Any, *arguments: str) -> None:
    cluster = _cluster(context)
    start = cluster.add_upstream('engine', 'e1', 'engines', 'z', *arguments)
    context.engine = _run(context, start)
    context.url = context.engine.url


@given('its next {count:d} answers to writes are lost')
def lose_answers(context: Any, count: int) -> None:
    """Make the table lose answers."""
    table = {'lose_next': count}
    _run(context, context.cluster.control('platform', table=table))


@given('its write limit is {rate:d} per second')
def limit_writes(context: Any, rate: int) -> None:
    """Set the table's rate limit."""
    table = {'writes_per_s': rate}
    _run(context, context.cluster.control('platform', table=table))


@given('its next {count:d} answers are crossed')
def cross_answers(context: Any, count: int) -> None:
    """Make the engine swap answers."""
    _run(context, context.cluster.control('e1', cross_next=count))


@given('its next {count:d} answers are dropped')
def drop_answers(context: Any, count: int) -> None:
    """Make the engine close connections instead of answering."""
    _run(context, context.cluster.control('e1', drop_next=count))


@given('a relay in front of it that cuts the next answer after {count:d} bytes')
def cut_by_relay(context: Any, count: int) -> None:
    """Route calls through a relay that cuts an answer."""
    _relay(context).cut_next(count)


@given('a relay in front of it that crosses the next {count:d} connections')
def cross_by_relay(context: Any, count: int) -> None:
    """Route calls through a relay that swaps answers."""
    _relay(context).cross_next = count


def _relay(context: Any) -> Any:
    engine: Member = context.engine
    added = context.cluster.add_relay('e1', engine.host, engine.port)
    context.url = f'http://{_run(context, added)}:{engine.port}'
    return context.cluster.relays_by_name['e1']


@when('the writes of each row are sent as one transaction')
def transact(context: Any) -> None:
    """Send a transaction for each row and check its status."""
    for row in context.table:
        writes = [_parse_write(text) for text in row['writes'].split(', ')]
        status, body = _run(context, _transact(context, writes))
        assert status == int(row['status']), body


def _parse_write(text: str) -> dict[str, Any]:
    row, version = text.split('=')
    table, key = row.split('/')
    return {'Table': table, 'part': '', 'Key': key, 'Ver': int(version)}


async def _transact(
    context: Any, writes: list[dict[str, Any]]
) -> tuple[int, str]:
    url = f'{context.cluster.platform_url}/v1/rows-tx'
    value = base64.b64encode(b'{}').decode()
    changed = [{**write, 'Value': value} for write in writes]
    change = {'ExpectedRev': writes, 'Writes': changed, 'Remove': []}
    return await fetch(url, json.dumps(change))


@then('the table contains')
def check_rows(context: Any) -> None:
    """Check the version of each row."""
    for row in context.table:
        table, key = row['row'].split('/')
        query = urlencode({'Table': table, 'From': key, 'To': f'{key}\x00'})
        url = f'{context.cluster.platform_url}/v1/rows-get?{query}'
        _status, body = _run(context, fetch(url))
        found = json.loads(body)['Rows']
        version = str(found[0]['Ver']) if found else 'none'
        assert version == row['version'], (row['row'], found)


@when('{count:d} writes are sent concurrently')
def write_at_once(context: Any, count: int) -> None:
    """Send the transactions concurrently."""

    async def send() -> list[tuple[int, str]]:
        writes = [_parse_write(f'orders/{number}=0') for number in range(count)]
        calls = [_transact(context, [write]) for write in writes]
        return await asyncio.gather(*calls)

    context.statuses = [status for status, _body in _run(context, send())]


@then('some of them are refused with {status:d}')
def check_refusals(context: Any, status: int) -> None:
    """Check that some writes succeeded and some were refused."""
    assert set(context.statuses) == {200, status}, context.statuses


@when('the list is set to "{first}", then to "{second}"')
def set_lists(context: Any, first: str, second: str) -> None:
    """Publish two lists, one after the other."""
    for name in (first, second):
        member = Member(name, 'p', 'z', '127.0.0.1', 1)
        context.cluster.members_by_name = {name: member}
        _run(context, context.cluster.publish())


@when('the list steps back by {steps:d}')
def step_back(context: Any, steps: int) -> None:
    """Serve an older list; no new list is set."""
    _control_list(context, {'steps_back': steps})


@when('the list steps back by {steps:d} and lags {seconds:d} seconds')
def step_back_and_lag(context: Any, steps: int, seconds: int) -> None:
    """Serve the lists with a lag."""
    _control_list(context, {'steps_back': steps, 'lag_s': seconds})


def _control_list(context: Any, control: dict[str, object]) -> None:
    url = f'{context.cluster.platform_url}/control/instances'
    status, body = _run(context, fetch(url, json.dumps(control)))
    assert status == 200, body


@then('the list shows "{name}"')
def check_list(context: Any, name: str) -> None:
    """Check the names in the list."""
    assert _list_names(context) == [name]


@then('the list shows ""')
def check_empty_list(context: Any) -> None:
    """Check that the list is empty."""
    assert not _list_names(context)


def _list_names(context: Any) -> list[str]:
    url = f'{context.cluster.platform_url}/v1/rows-get?Table=servers'
    _status, body = _run(context, fetch(url))
    return [row['Key'] for row in json.loads(body)['Rows']]


async def _call_stage(
    context: Any, kind: str, request_id: str, after: str = ''
) -> tuple[int, str, str]:
    """Return the status, the body and the answer's request id.

    A connection error returns status 0.
    """
    headers = {'X-Request-Id': request_id, 'X-Stage': 's', 'X-Attempt': '1'}
    if after:
        headers[protocol.HEADER_LAST_EVENT_ID] = after
    body = {'stream': kind == 'generate', 'input': _INPUT}
    client = httpclient.AsyncHTTPClient(force_instance=True)
    try:
        answer = await client.fetch(
            f'{context.url}/v1/stages/{kind}',
            method='POST',
            headers=headers,
            body=json.dumps(body),
            raise_error=False,
            request_timeout=10,
        )
    except (OSError, httpclient.HTTPError) as error:
        return 0, repr(error), ''
    answered_id = answer.headers.get('X-Request-Id', '')
    return answer.code, answer.body.decode(), answered_id


@when('the engine streams a text of 8 tokens')
def stream(context: Any) -> None:
    """Read a stream to its end."""
    answer = _run(context, _call_stage(context, 'generate', 'r1'))
    context.answer = read_events(answer[1])


@then('the text is complete and derived from the request')
def check_text(context: Any) -> None:
    """Compare the text with the one computed from the request."""
    expected = ''.join(derive.derive_tokens('generate', 'r1', _INPUT))
    assert context.answer.is_whole
    assert context.answer.text == expected
    assert context.answer.body['sha256'] == derive.hash_text(expected)


@when('the same stream is resumed after token {offset:d}')
def resume(context: Any, offset: int) -> None:
    """Resume the earlier stream."""
    work = _call_stage(context, 'generate', 'r1', str(offset))
    context.resumed = _run(context, work)[1]


@then('{count:d} tokens arrive and the end event has the same digest')
def check_resumed_stream(context: Any, count: int) -> None:
    """Check that only the remaining tokens arrive."""
    assert context.resumed.count('event: token') == count
    end_event = read_events(context.resumed).body
    assert end_event['sha256'] == context.answer.body['sha256']


@when('an unknown stream is resumed after token {offset:d}')
def resume_unknown(context: Any, offset: int) -> None:
    """Resume a stream that the engine does not know."""
    work = _call_stage(context, 'generate', 'r9', str(offset))
    context.status = _run(context, work)[0]


@then('the engine answers {status:d}')
def check_status(context: Any, status: int) -> None:
    """Check the status."""
    assert context.status == status


@when('{count:d} calls are sent concurrently')
def call_at_once(context: Any, count: int) -> None:
    """Send calls of different requests concurrently."""

    async def send() -> list[tuple[int, str, str]]:
        calls = [
            _call_stage(context, 'encode', f'r{number}')
            for number in range(count)
        ]
        return await asyncio.gather(*calls)

    context.answers = _run(context, send())


@then('both fail, and the engine restarts with incarnation {number:d}')
def check_break(context: Any, number: int) -> None:
    """Check that no call is answered and that the engine restarted."""
    assert [answer[0] for answer in context.answers] == [0, 0]
    _status, body = _run(context, fetch(f'{context.url}/v1/state'))
    assert json.loads(body)['incarnation'] == number


@when('it receives orders with the fencing numbers {numbers}')
def send_orders(context: Any, numbers: str) -> None:
    """Send one order per fencing number."""
    context.statuses = []
    for number in numbers.split(', '):
        models = [{'model': f'm{number}', 'version': '1'}]
        body = {
            'fencing': int(number),
            'order_id': number,
            'target': {'role': 'any', 'models': models},
        }
        url = f'{context.url}/v1/orders'
        status, _body = _run(context, fetch(url, json.dumps(body)))
        context.statuses.append(status)


@then('it answers {statuses}')
def check_statuses(context: Any, statuses: str) -> None:
    """Check the statuses in order."""
    expected = [int(status) for status in statuses.split(', ')]
    assert context.statuses == expected


@then('each answer carries the id of the other call')
def check_crossed(context: Any) -> None:
    """Check that both answers arrived at the wrong callers."""
    answered_ids = [answer[2] for answer in context.answers]
    assert answered_ids == ['r1', 'r0'], context.answers


@then('the engine ran {count:d} calls and no caller got an answer')
def check_run(context: Any, count: int) -> None:
    """Check that the engine ran the calls whose answers were lost."""
    assert {answer[0] for answer in context.answers} == {0}
    url = f'{context.engine.url}/control/usage'
    _status, body = _run(context, fetch(url))
    assert json.loads(body)['calls_by_stage'] == {'encode': count}
