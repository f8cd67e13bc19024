"""Steps for the load tool."""

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
from damaskpoint.load.model import Planned, Sample
from damaskpoint.load.profiles import PROFILES_BY_NAME
from damaskpoint.load.script import load_script

_PROFILE = PROFILES_BY_NAME['lagos']
_SEED = 7
_DEADLINE_MS = 200


@when('{rate:d} requests a second are planned for {seconds:d} seconds twice')
def plan_twice(context: Any, rate: int, seconds: int) -> None:
    """Plan the same load with the same seed two times."""
    shape = LoadShape(rate, seconds)
    context.plans = [
        plan_arrivals(_PROFILE, shape, random.Random(_SEED)) for _ in range(2)
    ]


@then('both plans are equal')
def compare_plans(context: Any) -> None:
    """Fail unless the seed fixes the plan."""
    assert context.plans[0] == context.plans[1]


@then('the plan has between {least:d} and {most:d} requests')
def count_plan(context: Any, least: int, most: int) -> None:
    """Fail unless the rate is about right."""
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
    'the seconds of a burst hold about {factor:d} times the requests of the '
    'others'
)
def compare_bursts(context: Any, factor: int) -> None:
    """Fail unless bursts stand out as planned."""
    shape = context.shape
    inside = 0
    for planned in context.plan:
        if planned.at_s % shape.burst_every_s < shape.burst_length_s:
            inside += 1
    outside = (len(context.plan) - inside) / (shape.burst_every_s - 1)
    wanted = factor * outside
    assert abs(inside - wanted) < wanted / 5, (inside, outside)


@when('the events are fed in pieces of {size:d} bytes')
def feed_events(context: Any, size: int) -> None:
    """Feed a stream piece by piece."""
    parser = EventParser()
    raw = context.text.encode() + b'\n\n'
    context.events = []
    for start in range(0, len(raw), size):
        context.events += parser.feed(raw[start : start + size])


@then('the events token and end are read')
def check_events(context: Any) -> None:
    """Fail unless both events came out whole."""
    named = [event for event in context.events if event[1]]
    assert named == [
        ('token', '{"text": "a"}'),
        ('end', '{"tokens": 1}'),
    ], context.events


class _FakeHandler(RequestHandler):
    """Answers as the scenario says."""

    def initialize(self, answer: str) -> None:
        self.answer = answer

    async def post(self) -> None:
        request_id = self.request.headers[protocol.HEADER_REQUEST_ID]
        body = json.loads(self.request.body)
        if self.answer != 'no echo':
            self.set_header(protocol.HEADER_REQUEST_ID, request_id)
        if self.answer == 'a late answer':
            await asyncio.sleep(2 * _DEADLINE_MS / 1000)
        if self.answer == 'a cut connection':
            self.detach().close()
            return
        if self.answer == 'a true refusal':
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


@given('an upstream that answers a {shape} with {answer}')
def choose_answer(context: Any, shape: str, answer: str) -> None:
    """Keep what the fake upstream will do."""
    context.shape = shape
    context.answer = answer


@when('a caller sends it one request')
def send_one(context: Any) -> None:
    """Send one request to the fake upstream."""
    context.sample = asyncio.run(_send_one(context.shape, context.answer))


@then('the verdict is {verdict} with the code "{code}"')
def check_verdict(context: Any, verdict: str, code: str) -> None:
    """Fail unless the caller judged rightly."""
    assert context.sample.verdict.value == verdict, context.sample
    assert context.sample.code == code, context.sample


@then('the verdict is {verdict} with the code ""')
def check_plain_verdict(context: Any, verdict: str) -> None:
    """Fail unless the caller judged rightly, without a code."""
    check_verdict(context, verdict, '')


async def _send_one(shape: str, answer: str) -> Sample:
    application = Application([('/.*', _FakeHandler, {'answer': answer})])
    server = HTTPServer(application)
    server.listen(0, '127.0.0.1')
    port = next(iter(server._sockets.values())).getsockname()[1]
    client = AsyncHTTPClient(force_instance=True)
    sources = {source.shape.value: source for source in _PROFILE.sources}
    planned = Planned(0, 0, _PROFILE.accounts[0], sources[shape])
    target = Target(client, f'http://127.0.0.1:{port}', _DEADLINE_MS, 'text')
    sample = await send(planned, target, time.monotonic())
    client.close()
    server.stop()
    return sample


@when('the script {text} is read')
def read_script(context: Any, text: str) -> None:
    """Read a script of faults from a file."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'script.json5'
        path.write_text(text)
        context.script = load_script(path)


@then('it is refused as {code}')
def check_refusal(context: Any, code: str) -> None:
    """Fail unless the script was refused."""
    assert isinstance(context.script, Failure)
    assert context.script.code.value == code
