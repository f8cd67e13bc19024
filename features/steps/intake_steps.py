"""Steps on the decisions about callers that send too much."""

from __future__ import annotations

import asyncio
import random
from typing import Any, Final

from behave import given, then, when

from damaskpoint.gateway.intake import Intake, IntakeLimits, Phase, Upload
from features.support.gateway_site import HOST, run
from features.support.process_site import encode_head

_MB: Final = 1_000_000
_STEP_S: Final = 0.1
_CHUNK_BYTES: Final = 32_768
_MAX_CONNECTIONS: Final = 20
# Events of each sequence.
_EVENTS: Final = 200
_EVENTS_PER_STEP: Final = 5
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


class _RandomCallers:
    """Callers that do anything in any order."""

    def __init__(self, seed: int) -> None:
        """Start without connections."""
        self._random = random.Random(seed)
        self.trial = _Trial(_MB)
        self.open: list[Upload] = []

    def act(self) -> None:
        """Let something happen."""
        kind = self._random.choice(
            ('open', 'body', 'send', 'send', 'send', 'end', 'refuse', 'close')
        )
        if kind == 'open' or not self.open:
            self.open.append(self.trial.intake.open(self.trial.now))
        else:
            self._act_on(kind, self._random.choice(self.open))
        if not self._random.randrange(_EVENTS_PER_STEP):
            self.trial.step()

    def check(self) -> None:
        """Compare the counts with the sum over all connections."""
        held = sum(
            upload.held_bytes + upload.buffered_bytes for upload in self.open
        )
        intake = self.trial.intake
        assert intake.held_bytes == held, (intake.held_bytes, held)
        assert intake.connections == len(self.open)

    def _act_on(self, kind: str, upload: Upload) -> None:
        intake = self.trial.intake
        if kind == 'close':
            intake.close(upload)
            # The server learns of some closes twice.
            intake.close(upload)
            self.open.remove(upload)
        elif kind == 'send':
            self.trial.send(upload, self._random.choice((1, _CHUNK_BYTES)))
        elif (kind, upload.phase) == ('body', Phase.IDLE):
            length = self._random.choice((0, 10, 200_000, 900_000))
            intake.begin_body(upload, length, self.trial.now)
        else:
            self._end(kind, upload)

    def _end(self, kind: str, upload: Upload) -> None:
        intake = self.trial.intake
        if (kind, upload.phase) == ('end', Phase.SERVED):
            intake.end_request(upload, self.trial.now)
        if (kind, upload.phase) == ('refuse', Phase.BODY):
            intake.refuse(upload)


@when(
    '{count:d} seeded callers open, send, stop, are served and leave at random'
)
def act_at_random(context: Any, count: int) -> None:
    """Run one sequence of events for each seed."""
    context.random_callers = [_RandomCallers(seed) for seed in range(count)]


@then('the counts equal what is held after each event, and are 0 in the end')
def check_counts(context: Any) -> None:
    """Check the counts after each event."""
    for callers in context.random_callers:
        for _ in range(_EVENTS):
            callers.act()
            callers.check()
        intake = callers.trial.intake
        for upload in callers.open:
            intake.close(upload)
        assert (intake.held_bytes, intake.connections) == (0, 0)
