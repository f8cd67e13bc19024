"""Steps on the bytes of answers that are held for callers."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

from behave import given, then, when

from damaskpoint.forwarding.answer_budget import AnswerBudget, AnswerHold
from features.support.gateway_site import HOST, run
from features.support.process_site import encode_head

_MB: Final = 1_000_000
_CHUNK_BYTES: Final = 32_768
_PIECE_BYTES: Final = 60_000
_WAIT_S: Final = 20.0


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


@when('{count:d} answers grow to {size:d} bytes in turns')
def grow_answers(context: Any, count: int, size: int) -> None:
    """Each takes a piece in turn; one that is complete is released."""
    budget = context.answers.budget
    context.most_bytes = 0

    async def grow() -> None:
        hold = AnswerHold(budget, lambda: None)
        for _ in range(size // _PIECE_BYTES):
            await hold.grow(_PIECE_BYTES)
            context.most_bytes = max(context.most_bytes, budget.held_bytes)
            await asyncio.sleep(0)
        hold.release()

    async def grow_all() -> None:
        async with asyncio.timeout(_WAIT_S):
            await asyncio.gather(*(grow() for _ in range(count)))

    run(context, grow_all())


@then('all of them were held in the end and at most {size:d} MB at once')
def check_grown(context: Any, size: int) -> None:
    """Check the peak, and that nothing is held any more."""
    assert context.most_bytes <= size * _MB, context.most_bytes
    assert not context.answers.budget.held_bytes
