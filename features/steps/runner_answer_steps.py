"""Steps on answers whose bytes are given, and how they are forwarded."""

from __future__ import annotations

import asyncio
import http
import logging
from typing import Any, Final

from behave import given, then, when

from damaskpoint.forwarding.events import EventSplitter
from features.steps.gateway_answer_steps import check_events
from features.steps.gateway_steps import send_request
from features.support.gateway_site import HOST, KEY, run
from standins.raw_runner import RawEnd, RawRunner

# Code by which tornado's client reports a connection that closed early.
_CUT: Final = 599
_EVENTS: Final = 5
_WAIT_S: Final = 3.0
_PART: Final = b'id: 3\ndata: pi'
_LINE_ENDS_BY_NAME: Final = {'LF': b'\n', 'CRLF': b'\r\n', 'CR': b'\r'}
_SEND_LOGGER: Final = 'damaskpoint.forwarding.attempts'
_PLAIN_BODY: Final = b'an answer'
_HEAD: Final = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'


class RecordList(logging.Handler):
    """Keeps all log records."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@given('the log of sends is kept')
def keep_log(context: Any) -> None:
    """Keep the log records of sends until the end of the scenario."""
    logger = logging.getLogger(_SEND_LOGGER)
    context.send_log = RecordList()
    logger.addHandler(context.send_log)
    level = logger.level
    logger.setLevel(logging.INFO)
    context.closers.append(lambda: logger.setLevel(level))
    context.closers.append(lambda: logger.removeHandler(context.send_log))


@given('a stream of {count:d} events with {line_end}')
def create_stream(context: Any, count: int, line_end: str) -> None:
    """Keep the events of a stream and all of its bytes."""
    context.events = _create_events(count, _LINE_ENDS_BY_NAME[line_end])
    context.stream = b''.join(context.events)


@when('it is split at each place, and into single bytes')
def split_stream(context: Any) -> None:
    """Feed the stream in two parts, for each split, and byte by byte."""
    stream = context.stream
    splits = [
        [stream[:place], stream[place:]] for place in range(1, len(stream))
    ]
    splits.append([bytes((byte,)) for byte in stream])
    context.split_results = []
    for parts in splits:
        splitter = EventSplitter()
        fed = b''.join(splitter.feed(part) for part in parts)
        context.split_results.append((splitter, fed))


@then('all of its bytes are complete events up to the id {last_id}')
def check_splits(context: Any, last_id: str) -> None:
    """Check the bytes of events and what remains, for each split."""
    for splitter, fed in context.split_results:
        assert fed + splitter.pending == context.stream
        assert not splitter.is_inside_event, splitter.pending
        assert splitter.last_id == last_id, splitter.last_id


@when('it is cut at each place')
def cut_stream(context: Any) -> None:
    """Feed each beginning of the stream."""
    context.are_inside = [
        _is_cut_inside(context.stream, place)
        for place in range(len(context.stream))
    ]


def _is_cut_inside(stream: bytes, place: int) -> bool:
    splitter = EventSplitter()
    splitter.feed(stream[:place])
    return splitter.is_inside_event


@then('it is complete only after the last line end of an event')
def check_cuts(context: Any) -> None:
    """Compare with the places at which an event is complete.

    An event with CR LF is complete from the CR of its empty line on.
    """
    complete = {0}
    end = 0
    for event in context.events:
        end += len(event)
        complete.update((end - 1, end))
    for place, is_inside in enumerate(context.are_inside):
        assert is_inside == (place not in complete), place


@given('the runner "{name}" sends {sent} framed by {framing}, then a {end}')
def answer_raw(
    context: Any, name: str, sent: str, framing: str, end: str
) -> None:
    """Replace a runner by one that writes the bytes of a stream."""
    count, _, variant = sent.partition(' events')
    line_end = _LINE_ENDS_BY_NAME.get(variant.removeprefix(' with '), b'\n')
    parts = _create_events(int(count), line_end)
    is_whole = len(parts) == _EVENTS
    if variant == ' and a part':
        parts.append(_PART)
    if variant == ' and a blank line':
        parts.append(b'\n')
    context.sent_body = b''.join(parts)
    head, body = _frame(parts, framing, is_whole)
    _replace(context, name, 'model', RawRunner(head, body, RawEnd(end)))


@given(
    'the runner "{name}" sends a plain answer without a length, then a {end}'
)
def answer_plain(context: Any, name: str, end: str) -> None:
    """Replace a runner by one whose plain answers have no length."""
    runner = RawRunner(b'HTTP/1.1 200 OK\r\n', _PLAIN_BODY, RawEnd(end))
    _replace(context, name, 'plain', runner)


@given('the runner "{name}" answers with the status {status}, {length}')
def answer_status(context: Any, name: str, status: str, length: str) -> None:
    """Replace a runner; ``N and then M`` sends an answer without a body first.

    It is a runner of the service in its name.
    """
    first, _, then_status = status.partition(' and then ')
    head = f'HTTP/1.1 {then_status or first} x\r\n'
    if then_status:
        head = f'HTTP/1.1 {first} x\r\n\r\n{head}'
    if length == 'with a length':
        head = f'{head}Content-Length: {len(_PLAIN_BODY)}\r\n'
    runner = RawRunner(head.encode(), _PLAIN_BODY, RawEnd.CLOSE)
    _replace(context, name, name.partition('-')[0], runner)


def _replace(context: Any, name: str, service: str, runner: RawRunner) -> None:
    context.raw_runner = runner
    server = run(
        context, context.site.replace_runner(name, service, runner.serve)
    )
    context.closers.append(server.close)


def _create_events(count: int, line_end: bytes = b'\n') -> list[bytes]:
    events = [
        f'id: {number}\ndata: piece\n\n'.encode()
        for number in range(1, count + 1)
    ]
    return [event.replace(b'\n', line_end) for event in events]


def _frame(
    parts: list[bytes], framing: str, is_whole: bool
) -> tuple[bytes, bytes]:
    """Return head and body of an answer that ends after the given parts.

    Framed by ``ended chunks`` or the ``length of all``, it ends as complete
    even if the parts are not all of the stream; ``half-ended chunks`` lack the
    last bytes of the end.
    """
    body = b''.join(parts)
    if framing.endswith('chunks'):
        is_ended = is_whole or framing == 'ended chunks'
        chunks = [b'%x\r\n%b\r\n' % (len(part), part) for part in parts]
        ending = b'0\r\n\r\n' if is_ended else b''
        if framing == 'half-ended chunks':
            ending = b'0\r\n'
        head = f'{_HEAD}Transfer-Encoding: chunked\r\n'
        return head.encode(), b''.join(chunks) + ending
    if framing.startswith('length'):
        is_ended = framing == 'length of all'
        length = sum(map(len, parts if is_ended else _create_events(_EVENTS)))
        return f'{_HEAD}Content-Length: {length}\r\n'.encode(), body
    return _HEAD.encode(), body


@then('the send is logged with the framing {framing} and the ending {ending}')
def check_logged(context: Any, framing: str, ending: str) -> None:
    """Check the fields of the last send."""
    record = context.send_log.records[-1]
    assert record.framing == framing, record.framing
    assert record.ending == ending, record.ending
    assert record.body_bytes > 0, record.body_bytes


@then(
    'the log names {count:d} bytes of a partial event and the reason "{reason}"'
)
def check_partial(context: Any, count: int, reason: str) -> None:
    """Check what the last send says of a partial event, and its reason."""
    record = context.send_log.records[-1]
    assert record.partial_event_bytes == count, record.partial_event_bytes
    assert record.reason == reason, record.reason


@then('the log names {count:d} bytes of a partial event and the reason ""')
def check_whole(context: Any, count: int) -> None:
    """Check that the last send ended without a failure."""
    check_partial(context, count, '')


@when('a caller sends POST {path} with the prompt "{prompt}"')
def send_prompt(context: Any, path: str, prompt: str) -> None:
    """Send a request whose prompt has the given parts."""
    sending = send_request(
        context, 'POST', path, Damaskpoint_Prompt_Prefix=prompt
    )
    context.answer = run(context, sending)


@then('the send is logged with the progress {progress}')
def check_progress(context: Any, progress: str) -> None:
    """Check how far the answer of the last send had come."""
    record = context.send_log.records[-1]
    assert record.progress == progress, record.progress


@then('the log names the prompt parts "{parts}" and {tokens:d} tokens')
def check_prompt(context: Any, parts: str, tokens: int) -> None:
    """Check the shared parts and the length of the prompt."""
    record = context.send_log.records[-1]
    assert record.prompt_parts == parts.split(','), record.prompt_parts
    assert record.prompt_tokens == tokens, record.prompt_tokens


@then('the answer does not look complete')
def check_broken(context: Any) -> None:
    """Check for a cut connection, or a failure if no event was forwarded."""
    _check_broken(context.answer)


@then('none of the answers looks complete')
def check_all_broken(context: Any) -> None:
    """Check each answer, and that the raw runner was asked."""
    assert context.raw_runner.request_heads
    for answer in context.answers:
        _check_broken(answer)


def _check_broken(answer: Any) -> None:
    assert answer.code in {_CUT, http.HTTPStatus.BAD_GATEWAY}, answer.code
    assert answer.code == _CUT or b'id: ' not in answer.body


@then('each stream has the events {first:d} to {last:d} once each')
def check_all_events(context: Any, first: int, last: int) -> None:
    """Check each stream, and that the raw runner was asked."""
    assert context.raw_runner.request_heads
    for answer in context.answers:
        context.answer = answer
        check_events(context, first, last)


@then('the answer is the whole stream')
def check_whole_stream(context: Any) -> None:
    """Check that all bytes of the stream were forwarded unchanged."""
    assert context.answer.code == http.HTTPStatus.OK, context.answer.code
    assert context.answer.body == context.sent_body, context.answer.body


@when('an HTTP/1.0 caller sends POST {path} and {wish}')
def send_old(context: Any, path: str, wish: str) -> None:
    """Read the answer of an HTTP/1.0 request until its connection ends."""
    keep = 'Connection: keep-alive\r\n' if wish == 'asks to keep it' else ''
    request = (
        f'POST {path} HTTP/1.0\r\nHost: host-1\r\n{keep}'
        f'Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n'
        'Damaskpoint-Request-Id: id-1\r\n\r\n'
    )

    async def send() -> None:
        reader, writer = await asyncio.open_connection(HOST, context.site.port)
        writer.write(request.encode())
        context.answer_bytes = b''
        context.connection_end = 'close'
        try:
            while part := await asyncio.wait_for(reader.read(100), _WAIT_S):
                context.answer_bytes += part
        except ConnectionResetError:
            context.connection_end = 'reset'
        writer.close()

    run(context, send())


@then('its connection ends by a {end}')
def check_old(context: Any, end: str) -> None:
    """Check how the connection ended; a close means all events."""
    assert context.connection_end == end, context.connection_end
    if end == 'close':
        assert context.answer_bytes.startswith(b'HTTP/1.1 200')
        assert context.answer_bytes.endswith(context.sent_body)
