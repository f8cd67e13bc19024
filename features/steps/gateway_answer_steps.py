"""Steps that check the answers of a gateway and what its runners received."""

from __future__ import annotations

import time
from typing import Any, Final

from behave import then
from tornado import simple_httpclient

from features.support.gateway_site import HOST, run, until

# Bound on an answer that does not wait for a runner (seconds).
_IMMEDIATE_S: Final = 0.5


@then('the waiting caller gets {status:d} with the header Connection: close')
def check_waiting(context: Any, status: int) -> None:
    """Wait for the answer to the request in progress."""
    answer = run(context, context.waiting)
    assert answer.code == status, answer.code
    assert answer.headers['Connection'] == 'close'


@then('each request that a runner received got a complete answer')
def check_none_interrupted(context: Any) -> None:
    """Compare the requests that ran with those that were answered."""
    seen = len(context.site.runners_by_name['plain-1'].requests)
    assert seen == context.answered, (seen, context.answered)


@then('the gateway is not ready')
def check_not_ready(context: Any) -> None:
    """Request readiness as the balancer does."""
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
    """Check the status, the runner's seal and the body."""
    check_body(context, 200)


@then('the answer is 500 with the body of the runner')
def check_failed(context: Any) -> None:
    """Check the status, the runner's seal and the body."""
    check_body(context, 500)


def check_body(context: Any, status: int) -> None:
    """Check the status, the seal and the body of the last answer."""
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
    """Check the status, and that no runner received the request."""
    assert context.answer.code == status, context.answer.code
    for state in context.site.runners_by_name.values():
        assert not state.requests, state.name


@then('the answer has a Retry-After header')
def check_retry_after(context: Any) -> None:
    """Check that Retry-After is positive."""
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
    """Check the headers that the gateway sets."""
    name, headers = _last_seen(context)
    assert headers['Damaskpoint-Tenant'] == 'account-1'
    assert headers['Damaskpoint-Expect-Instance'] == name
    assert 0 < int(headers['Damaskpoint-Deadline-Ms']) <= 2500


@then("the runner saw neither the key nor the caller's own account")
def check_dropped(context: Any) -> None:
    """Check that the caller's credential and account are not forwarded."""
    _, headers = _last_seen(context)
    assert 'Authorization' not in headers
    assert 'forged' not in headers.values()


@then('the pieces of the second stage had all results of the first as inputs')
def check_inputs(context: Any) -> None:
    """Compare the inputs of the second stage with the first's handles."""
    batches = context.site.runners_by_name['stage-1'].batches
    first = [entry for call in batches for entry in call if not entry['Stage']]
    second = [entry for call in batches for entry in call if entry['Stage']]
    assert [entry['Key'] for entry in first] == ['input-1', 'input-1']
    assert len(second) == 3
    for entry in second:
        assert sorted(entry['Inputs']) == ['stage-1/0', 'stage-1/1']


@then('the runner saw the results of the second stage')
def check_results(context: Any) -> None:
    """Check the header that lists their handles."""
    _, headers = _last_seen(context)
    named = headers['Damaskpoint-Inputs'].split(',')
    assert named == ['stage-1/2', 'stage-1/3', 'stage-1/4'], named


@then('all results were released')
def check_released(context: Any) -> None:
    """Wait until the runner has received the release of each result."""
    stage = context.site.runners_by_name['stage-1']
    run(context, until(lambda: len(set(stage.released)) == 5))


@then('the results were released {seconds:g} s before the end of the answer')
def check_released_early(context: Any, seconds: float) -> None:
    """Compare the time of the release with the end of the answer."""
    stage = context.site.runners_by_name['stage-1']
    assert len(stage.released) == 2, stage.released
    assert context.answered_at - stage.released_at >= seconds


@then('the stages ran {count:d} times and no runner got more than one request')
def check_stage_runs(context: Any, count: int) -> None:
    """Count the calls of the stage and the requests of each model runner."""
    runners = context.site.runners_by_name
    assert len(runners['stage-1'].batches) == count
    for name in ('model-1', 'model-2'):
        assert len(runners[name].requests) == 1, name


@then('the stream has the events {first:d} to {last:d} once each')
def check_events(context: Any, first: int, last: int) -> None:
    """Check the status and the ids of the events."""
    assert context.answer.code == 200, context.answer.code
    ids = [
        int(line.removeprefix(b'id: '))
        for line in context.answer.body.splitlines()
        if line.startswith(b'id: ')
    ]
    assert ids == list(range(first, last + 1)), ids


@then('the connection closes before the answer is complete')
def check_incomplete(context: Any) -> None:
    """Check the code by which tornado's client reports a closed connection."""
    assert context.answer.code == 599, context.answer.code


@then('the runner "{name}" sees the disconnect within {seconds:g} seconds')
def check_disconnect(context: Any, name: str, seconds: float) -> None:
    """Wait until the runner notices the closed connection."""
    state = context.site.runners_by_name[name]
    began_at = time.monotonic()
    run(context, until(lambda: state.disconnected_ids))
    assert time.monotonic() - began_at < seconds


@then('the second one gets 503 immediately and may retry at another instance')
def check_shutdown_refusal(context: Any) -> None:
    """Check the refusal's status, headers and time."""
    head, _, _body = context.answer.partition('\r\n\r\n')
    assert head.startswith('HTTP/1.1 503'), context.answer
    assert 'Connection: close' in head, head
    assert 'Retry-After: 0.050' in head, head
    is_immediate = context.took_s < _IMMEDIATE_S
    assert is_immediate, context.took_s
