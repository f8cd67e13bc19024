"""Steps that look at what came of requests to a gateway."""

from __future__ import annotations

import time
from typing import Any, Final

from behave import then
from tornado import simple_httpclient

from features.support.gateway_site import HOST, run, until

# Bound on an answer that waits for nothing (seconds).
_AT_ONCE_S: Final = 0.5


@then(
    'the waiting caller gets {status:d} and is told that the connection closes'
)
def check_waiting(context: Any, status: int) -> None:
    """Wait for the answer of the request that was open."""
    answer = run(context, context.waiting)
    assert answer.code == status, answer.code
    assert answer.headers['Connection'] == 'close'


@then('each request that a runner saw was answered whole')
def check_none_cut(context: Any) -> None:
    """Compare what ran with what was answered."""
    seen = len(context.site.runners_by_name['plain-1'].requests)
    assert seen == context.answered, (seen, context.answered)


@then('the gateway is not ready')
def check_not_ready(context: Any) -> None:
    """Ask as the balancer does."""
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    answer = run(
        context,
        client.fetch(
            f'http://{HOST}:{context.site.ready_port}/v1/ready',
            raise_error=False,
        ),
    )
    assert answer.code == 503, answer.code


@then('the answer is 200 with the body of the runner')
def check_whole(context: Any) -> None:
    """Look for the runner's seal and its bytes."""
    check_body(context, 200)


@then('the answer is 500 with the body of the runner')
def check_failed(context: Any) -> None:
    """Look for the runner's seal and its bytes."""
    check_body(context, 500)


def check_body(context: Any, status: int) -> None:
    """Check status, seal and body."""
    answer = context.answer
    assert answer.code == status, (answer.code, answer.body)
    assert answer.headers['Damaskpoint-Response-Seal'].startswith('seal-of-')
    if b'data:' in answer.body:
        assert answer.body.count(b'data:') == 5, answer.body
    else:
        assert context.path.encode() in answer.body, answer.body


@then('the answer is {status:d}')
def check_status(context: Any, status: int) -> None:
    """Check the status alone."""
    assert context.answer.code == status, context.answer.code


@then('the answer is {status:d} and no runner saw the request')
def check_unseen(context: Any, status: int) -> None:
    """Check the status, and that nothing ran."""
    assert context.answer.code == status, context.answer.code
    for state in context.site.runners_by_name.values():
        assert not state.requests, state.name


@then('the answer says when to come back')
def check_retry_after(context: Any) -> None:
    """Look for the time."""
    assert float(context.answer.headers['Retry-After']) > 0


@then('all answers are {status:d}')
def check_all(context: Any, status: int) -> None:
    """Check the status of each answer."""
    codes = [answer.code for answer in context.answers]
    assert set(codes) == {status}, codes


def _last_seen(context: Any) -> Any:
    for state in context.site.runners_by_name.values():
        if state.requests:
            return state.name, state.requests[-1][0]
    raise AssertionError('no runner saw a request')


@then('the runner saw the account, its own name and a deadline')
def check_added(context: Any) -> None:
    """Look at the headers that the gateway sets."""
    name, headers = _last_seen(context)
    assert headers['Damaskpoint-Tenant'] == 'account-1'
    assert headers['Damaskpoint-Expect-Instance'] == name
    assert 0 < int(headers['Damaskpoint-Deadline-Ms']) <= 2500


@then("the runner saw neither the key nor the caller's own account")
def check_dropped(context: Any) -> None:
    """Look for what must not be passed on."""
    _, headers = _last_seen(context)
    assert 'Authorization' not in headers
    assert 'forged' not in headers.values()


@then('the pieces of the second stage took all results of the first')
def check_inputs(context: Any) -> None:
    """Compare inputs and handles."""
    batches = context.site.runners_by_name['stage-1'].batches
    first = [entry for call in batches for entry in call if not entry['Stage']]
    second = [entry for call in batches for entry in call if entry['Stage']]
    assert [entry['Key'] for entry in first] == ['input-1', 'input-1']
    assert len(second) == 3
    for entry in second:
        assert sorted(entry['Inputs']) == ['stage-1/0', 'stage-1/1']


@then('the runner saw the results of the second stage')
def check_results(context: Any) -> None:
    """Look at the header that names them."""
    _, headers = _last_seen(context)
    named = headers['Damaskpoint-Inputs'].split(',')
    assert named == ['stage-1/2', 'stage-1/3', 'stage-1/4'], named


@then('all results were given up')
def check_released(context: Any) -> None:
    """Wait until the runner heard of all."""
    stage = context.site.runners_by_name['stage-1']
    run(context, until(lambda: len(set(stage.released)) == 5))


@then('the stream has the events {first:d} to {last:d} once each')
def check_events(context: Any, first: int, last: int) -> None:
    """Look at the ids."""
    assert context.answer.code == 200, context.answer.code
    ids = [
        int(line.removeprefix(b'id: '))
        for line in context.answer.body.splitlines()
        if line.startswith(b'id: ')
    ]
    assert ids == list(range(first, last + 1)), ids


@then('the connection breaks off within the answer')
def check_cut(context: Any) -> None:
    """The client tells of a closed connection."""
    assert context.answer.code == 599, context.answer.code


@then('the runner "{name}" sees within {seconds:g} seconds that nobody waits')
def check_left(context: Any, name: str, seconds: float) -> None:
    """Wait for the close at the runner."""
    state = context.site.runners_by_name[name]
    began_at = time.monotonic()
    run(context, until(lambda: state.disconnected_ids))
    assert time.monotonic() - began_at < seconds


@then('it gets 503 at once, and is told to come back to another instance')
def see_refused(context: Any) -> None:
    """The refusal is whole, and its connection closes."""
    head, _, _body = context.answer.partition('\r\n\r\n')
    assert head.startswith('HTTP/1.1 503'), context.answer
    assert 'Connection: close' in head, head
    assert 'Retry-After: 0.050' in head, head
    is_at_once = context.took_s < _AT_ONCE_S
    assert is_at_once, context.took_s
