"""Steps for the load tool: plans, event parsing, verdicts and scripts."""

from __future__ import annotations

import asyncio
import hashlib
import json
import pathlib
import random
import tempfile
import time
from typing import Any

from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from damaskpoint import protocol
from damaskpoint.errors import Failure
from damaskpoint.load.arrivals import LoadShape, plan_arrivals
from damaskpoint.load.caller import Target, send
from damaskpoint.load.events import EventParser
from damaskpoint.load.model import PlannedRequest, Sample
from damaskpoint.load.profiles import PROFILES_BY_NAME
from damaskpoint.load.script import load_script

_PROFILE = PROFILES_BY_NAME['lagos']
_SEED = 7
_DEADLINE_MS = 200


@when('{rate:d} requests a second are planned for {seconds:d} seconds twice')
def plan_twice(context: Any, rate: int, seconds: int) -> None:
    """Plan the same load with the same seed twice."""
    shape = LoadShape(rate, seconds)
    context.plans = [
        plan_arrivals(_PROFILE, shape, random.Random(_SEED)) for _ in range(2)
    ]


@then('both plans are equal')
def compare_plans(context: Any) -> None:
    """Check that the seed fixes the plan."""
    assert context.plans[0] == context.plans[1]


@then('the plan has between {least:d} and {most:d} requests')
def count_plan(context: Any, least: int, most: int) -> None:
    """Check that the plan has about the requested rate."""
    assert least <= len(context.plans[0]) <= most, len(context.plans[0])


@when(
    '{rate:d} requests a second are planned for {seconds:d} seconds with '
    'bursts of {factor:d} times for {length:d} second every {every:d}'
)
def plan_bursts(
    context: Any, rate: int, seconds: int, factor: int, length: int, every: int
) -> None:
    """Plan a load with bursts."""
    shape = LoadShape(rate, seconds, every, length, factor)
    context.plan = plan_arrivals(_PROFILE, shape, random.Random(_SEED))
    context.shape = shape


@then(
    'seconds within bursts have about {factor:d} times the requests of '
    'other seconds'
)
def compare_bursts(context: Any, factor: int) -> None:
    """Check that bursts raise the rate by the factor."""
    shape = context.shape
    inside = 0
    for planned in context.plan:
        if planned.at_s % shape.burst_every_s < shape.burst_length_s:
            inside += 1
    outside = (len(context.plan) - inside) / (shape.burst_every_s - 1)
    wanted = factor * outside
    assert abs(inside - wanted) < wanted / 5, (inside, outside)


@when('the events are fed in chunks of {size:d} bytes')
def feed_events(context: Any, size: int) -> None:
    """Feed a stream to the parser in chunks."""
    parser = EventParser()
    raw = context.text.encode() + b'\n\n'
    context.events = []
    for start in range(0, len(raw), size):
        context.events += parser.feed(raw[start : start + size])


@then('the events token and end are parsed')
def check_events(context: Any) -> None:
    """Check that both events were parsed completely."""
    named = [event for event in context.events if event[1]]
    assert named == [
        ('token', '{"text": "a"}'),
        ('end', '{"tokens": 1}'),
    ], context.events


class _FakeHandler(RequestHandler):
    """Responds as the scenario specifies."""

    def initialize(self, answer: str) -> None:
        self.answer = answer

    async def post(self) -> None:
        request_id = self.request.headers[protocol.HEADER_REQUEST_ID]
        body = json.loads(self.request.body)
        if self.answer != 'no echo':
            self.set_header(protocol.HEADER_REQUEST_ID, request_id)
        if self.answer == 'a late answer':
            await asyncio.sleep(2 * _DEADLINE_MS / 1000)
        if self.answer == 'a closed connection':
            self.detach().close()
            return
        if self.answer == 'a refusal':
            self.set_status(503)
            self.finish({'code': 'queue_full', 'ran': 'no'})
            return
        if self.answer == 'an unknown outcome':
            self.set_status(502)
            self.finish({'code': 'outcome_unknown', 'ran': 'unknown'})
            return
        if body['stream']:
            self._stream(request_id)
            return
        shown = 'other' if self.answer == "another's answer" else request_id
        self.finish({'request_id': shown, 'output': 1, 'stages': []})

    def _stream(self, request_id: str) -> None:
        self._event('token', {'text': 'text'})
        if self.answer == 'an error event':
            problem = {'code': 'outcome_unknown', 'ran': 'unknown'}
            self._event('error', problem)
        text = 'other' if self.answer == 'a wrong digest' else 'text'
        digest = hashlib.sha256(text.encode()).hexdigest()
        if self.answer in {'its own answer', 'a wrong digest'}:
            self._event('end', {'request_id': request_id, 'sha256': digest})

    def _event(self, name: str, data: dict[str, str]) -> None:
        self.write(f'event: {name}\ndata: {json.dumps(data)}\n\n')


@given('an upstream that answers a {kind} with {answer}')
def choose_answer(context: Any, kind: str, answer: str) -> None:
    """Set how the fake upstream will respond."""
    context.kind = kind
    context.answer = answer


@when('a caller sends it one request')
def send_one(context: Any) -> None:
    """Send one request to the fake upstream."""
    context.sample = asyncio.run(_send_one(context.kind, context.answer))


@then('the verdict is {verdict} with the code "{code}"')
def check_verdict(context: Any, verdict: str, code: str) -> None:
    """Check the verdict and the code."""
    assert context.sample.verdict.value == verdict, context.sample
    assert context.sample.code == code, context.sample


@then('the verdict is {verdict} with the code ""')
def check_plain_verdict(context: Any, verdict: str) -> None:
    """Check the verdict, with an empty code."""
    check_verdict(context, verdict, '')


async def _send_one(kind: str, answer: str) -> Sample:
    application = Application([('/.*', _FakeHandler, {'answer': answer})])
    server = HTTPServer(application)
    server.listen(0, '127.0.0.1')
    port = next(iter(server._sockets.values())).getsockname()[1]
    client = AsyncHTTPClient(force_instance=True)
    classes_by_kind = {
        traffic_class.kind.value: traffic_class
        for traffic_class in _PROFILE.traffic_classes
    }
    planned = PlannedRequest(0, 0, _PROFILE.accounts[0], classes_by_kind[kind])
    target = Target(client, f'http://127.0.0.1:{port}', _DEADLINE_MS, 'text')
    sample = await send(planned, target, time.monotonic())
    client.close()
    server.stop()
    return sample


@when('the fault script {text} is loaded')
def read_script(context: Any, text: str) -> None:
    """Load a fault script from a file."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'script.json5'
        path.write_text(text)
        context.script = load_script(path)


@then('loading fails with {code}')
def check_refusal(context: Any, code: str) -> None:
    """Check that the script was rejected with the code."""
    assert isinstance(context.script, Failure)
    assert context.script.code.value == code
