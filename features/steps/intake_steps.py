"""Steps on the decisions about callers that send too much."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

from behave import given, then, when

from damaskpoint.forwarding.answer_budget import AnswerBudget, AnswerHold
from damaskpoint.gateway.intake import Intake, IntakeLimits, Phase, Upload
from features.support.gateway_site import HOST, run
from features.support.process_site import encode_head

_MB: Final = 1_000_000
_STEP_S: Final = 0.1
_CHUNK_BYTES: Final = 32_768
_MAX_CONNECTIONS: Final = 20
_WAIT_S: Final = 20.0
_CHUNKED: Final = 'Transfer-Encoding: chunked'
_OVER_BYTES: Final = 150_000


class _Trial:
    """Uploads to a budget, in steps of virtual time."""

    def __init__(self, budget_bytes: int) -> None:
        """Start at time 0."""
        self.intake = Intake(
            IntakeLimits(budget_bytes, budget_bytes, _MAX_CONNECTIONS * 2)
        )
        self.now = float(0)
        self.most_bytes = 0
        self.codes_by_upload: dict[Upload, str] = {}

    def begin(self, length: int) -> Upload:
        """Open a connection and begin a body."""
        upload = self.intake.open(self.now)
        self.intake.begin_body(upload, length, self.now)
        return upload

    def send(self, upload: Upload, count: int) -> None:
        """Send bytes unless the upload is paused or refused."""
        if upload.phase is not Phase.BODY or upload.is_paused:
            return
        assert upload.length is not None
        left = upload.length - upload.held_bytes
        self.intake.receive(upload, min(count, left), self.now)
        if upload.held_bytes == upload.length:
            self.intake.finish_body(upload)
        self.most_bytes = max(self.most_bytes, self.intake.held_bytes)

    def step(self) -> None:
        """Let time pass and apply the decisions."""
        self.now += _STEP_S
        for upload, failure in self.intake.advance(self.now).refused:
            self.codes_by_upload[upload] = failure.code.value
            self.intake.refuse(upload)


@given('a budget of {size:d} MB for bodies')
def create_trial(context: Any, size: int) -> None:
    """Start without connections."""
    context.trial = _Trial(size * _MB)


@when('{count:d} uploads of {length:d} bytes stop one byte short')
def stop_short(context: Any, count: int, length: int) -> None:
    """Send in turns until no upload gets on."""
    trial = context.trial
    uploads = [trial.begin(length) for _ in range(count)]
    for _ in range(length // _CHUNK_BYTES + 1):
        for upload in uploads:
            left = length - 1 - upload.held_bytes
            trial.send(upload, min(_CHUNK_BYTES, left))


@when('another upload of {length:d} bytes arrives {delay:g} s later')
def arrive_later(context: Any, length: int, delay: float) -> None:
    """Send as fast as it is taken."""
    trial = context.trial
    for _ in range(round(delay / _STEP_S)):
        trial.step()
    context.other = trial.begin(length)
    context.began_at = trial.now
    _send_steadily(context, _CHUNK_BYTES, _STEP_S)


@when(
    'another upload of {length:d} bytes sends {count:d} bytes every {every:g} s'
)
def send_slowly(context: Any, length: int, count: int, every: float) -> None:
    """Send until the upload is complete or refused."""
    context.other = context.trial.begin(length)
    context.began_at = context.trial.now
    _send_steadily(context, count, every)


def _send_steadily(context: Any, count: int, every_s: float) -> None:
    trial = context.trial
    while context.other.phase is Phase.BODY:
        trial.send(context.other, count)
        for _ in range(round(every_s / _STEP_S)):
            trial.step()


@then('the other one is complete within {seconds:g} s')
def check_complete_within(context: Any, seconds: float) -> None:
    """Check that it was served, and when."""
    check_complete(context)
    assert context.trial.now - context.began_at <= seconds, context.trial.now


@then('the other one is complete')
def check_complete(context: Any) -> None:
    """Check that it was served."""
    codes = context.trial.codes_by_upload
    assert context.other.phase is Phase.SERVED, codes.get(context.other)


@then('the other one is refused with {code}')
def check_refused(context: Any, code: str) -> None:
    """Check the code of its refusal."""
    codes = context.trial.codes_by_upload
    assert codes.get(context.other) == code, codes


@then('at most {size:d} MB were held')
def check_held(context: Any, size: int) -> None:
    """Compare the peak."""
    assert context.trial.most_bytes <= size * _MB, context.trial.most_bytes


@when('{count:d} uploads of {length:d} bytes arrive in turns')
def arrive_in_turns(context: Any, count: int, length: int) -> None:
    """Send all in turns until each is complete or refused.

    A complete one ends at once.
    """
    trial = context.trial
    uploads = [trial.begin(length) for _ in range(count)]
    context.complete = 0
    while any(upload.phase is Phase.BODY for upload in uploads):
        for upload in uploads:
            trial.send(upload, _CHUNK_BYTES)
            if upload.phase is Phase.SERVED:
                context.complete += 1
                trial.intake.close(upload)
        trial.step()
    context.uploads = uploads


@then('at least {least:d} of them are complete and the others are refused')
def check_turns(context: Any, least: int) -> None:
    """Count the ends."""
    assert context.complete >= least, context.complete
    codes = set(context.trial.codes_by_upload.values())
    assert codes == {'memory_short'}, codes


@when('{count:d} connections are opened, the first with a body in progress')
def open_many(context: Any, count: int) -> None:
    """Close what is chosen after each one."""
    context.intake = Intake(IntakeLimits(_MB, _MB, _MAX_CONNECTIONS))
    context.uploads = []
    for number in range(count):
        upload = context.intake.open(number)
        if not number:
            context.intake.begin_body(upload, _MB, number)
        context.uploads.append(upload)
        surplus = context.intake.choose_surplus()
        if surplus is not None:
            context.intake.close(surplus)


@then('the oldest silent ones are closed and the first is kept')
def check_open(context: Any) -> None:
    """Check which connections are left."""
    kept = [
        upload for upload in context.uploads if upload.phase is not Phase.CLOSED
    ]
    newest = context.uploads[1 - _MAX_CONNECTIONS :]
    assert kept == [context.uploads[0], *newest]


_BODIES: Final = {
    'is announced over the limit': (f'Content-Length: {_OVER_BYTES}', b''),
    'goes over the limit in chunks': (
        _CHUNKED,
        (b'2710\r\n' + b'x' * 10_000 + b'\r\n') * 11,
    ),
    'announces a chunk over the limit': (
        _CHUNKED,
        b'30000\r\n' + b'x' * 110_000,
    ),
    'stops short of its end': ('Content-Length: 10', b'x'),
}


async def _send_body(context: Any, case: str, rest: bytes) -> bytes:
    """Return the answer; sends ``rest`` once the answer has begun."""
    header, body = _BODIES[case]
    head = encode_head('POST /unsafe/1 HTTP/1.1', header)
    reader, writer = await asyncio.open_connection(HOST, context.site.port)
    writer.write(head + body)
    async with asyncio.timeout(_WAIT_S):
        answer = await reader.readuntil(b'\r\n')
        writer.write(rest)
        try:
            answer += await reader.read()
        except ConnectionResetError:
            assert rest, answer
    writer.close()
    return answer


@when('a caller sends a body that {case}')
def send_bad_body(context: Any, case: str) -> None:
    """Send it and read to the end of the connection."""
    context.answer = run(context, _send_body(context, case, b''))
    assert b'Connection: close' in context.answer, context.answer


@when('a caller sends the rest of a body after its refusal')
def send_late_rest(context: Any) -> None:
    """Complete a body whose refusal has begun."""
    case = 'stops short of its end'
    context.answer = run(context, _send_body(context, case, b'x' * 9))


@then('the refusal is {status:d} and no runner has the request')
def check_refusal(context: Any, status: int) -> None:
    """Check the answer and the runners."""
    assert int(context.answer.split()[1]) == status, context.answer
    assert not context.site.runners_by_name['plain-1'].requests


class _Answers:
    """Answers that are held against a budget, by their numbers."""

    def __init__(self, limit_bytes: int) -> None:
        """Hold nothing."""
        self.budget = AnswerBudget(limit_bytes)
        self.holds: list[AnswerHold] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.cut: list[int] = []

    def begin(self, size: int) -> None:
        """Hold an answer as soon as there is room."""
        number = len(self.holds)
        hold = AnswerHold(self.budget, lambda: self._cut(number))
        self.holds.append(hold)
        self.tasks.append(asyncio.ensure_future(hold.grow(size)))

    def list_done(self) -> list[bool]:
        """Return which answers are held."""
        return [task.done() for task in self.tasks]

    def _cut(self, number: int) -> None:
        self.cut.append(number)
        self.holds[number].release()


@given('a budget of {size:d} MB for answers')
def create_answers(context: Any, size: int) -> None:
    """Hold nothing."""
    context.answers = _Answers(size * _MB)


@when('answers of {sizes} bytes are to be held')
def hold_answers(context: Any, sizes: str) -> None:
    """Begin them in this order."""

    async def begin() -> None:
        for size in sizes.replace(' and', ',').split(','):
            context.answers.begin(int(size))
        await asyncio.sleep(0)

    run(context, begin())


@then('the third one waits and the small one does not')
def check_third_waits(context: Any) -> None:
    """Check which answers are held."""
    done = context.answers.list_done()
    assert done == [True, True, False, True], done


@when(
    'the first caller takes nothing for {seconds:g} s and the second one does'
)
def take_nothing(context: Any, seconds: float) -> None:
    """Let the budget decide at the later time."""
    first, second = context.answers.holds[:2]
    now = time.monotonic()
    first.progressed_at = now - seconds
    second.progressed_at = now

    async def advance() -> None:
        context.answers.budget.advance(now)
        await asyncio.sleep(0)

    run(context, advance())


@then('only the first caller is cut and the third answer is held')
def check_cut(context: Any) -> None:
    """Check who was cut."""
    assert context.answers.cut == [0], context.answers.cut
    run(context, asyncio.sleep(0))
    assert all(context.answers.list_done()), context.answers.list_done()


@then('the second one waits until the first is released')
def check_alone(context: Any) -> None:
    """Release the first and check again."""
    done = context.answers.list_done()
    assert done == [True, False, False, True], done
    context.answers.holds[0].release()
    run(context, asyncio.sleep(0))
    run(context, asyncio.sleep(0))
    assert all(context.answers.list_done()), context.answers.list_done()
    held = context.answers.budget.held_bytes
    assert held == sum(hold.held_bytes for hold in context.answers.holds), held


@given('the runner "{name}" sends {count:d} events of {size:d} bytes')
def replace_by_events(context: Any, name: str, count: int, size: int) -> None:
    """Replace a runner by one that sends a large stream."""
    event = b'data: ' + b'x' * (size - 8) + b'\n\n'

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 200 OK\r\nDamaskpoint-Response-Seal: seal-of-raw\r\n'
            + f'Content-Length: {count * size}\r\n\r\n'.encode()
        )
        for _ in range(count):
            writer.write(event)
            await writer.drain()
        writer.close()

    async def replace() -> None:
        await context.site.lengthen_timeouts()
        server = await context.site.replace_runner(name, 'model', serve)
        context.closers.append(server.close)

    run(context, replace())


@when('a caller reads a stream at {rate:d} bytes/s')
def read_slowly(context: Any, rate: int) -> None:
    """Read in steps to the end of the connection."""

    async def read() -> None:
        reader, writer = await asyncio.open_connection(
            HOST, context.site.port, limit=_CHUNK_BYTES
        )
        writer.write(encode_head('GET /stream/1 HTTP/1.1', 'Connection: close'))
        parts = []
        while part := await reader.read(_CHUNK_BYTES):
            parts.append(part)
            await asyncio.sleep(len(part) / rate)
        context.received = b''.join(parts)
        writer.close()

    run(context, read())


@then('it has all {count:d} events')
def check_events(context: Any, count: int) -> None:
    """Count the events."""
    assert context.received.startswith(b'HTTP/1.1 200 '), context.received[:99]
    assert context.received.count(b'data: ') == count
