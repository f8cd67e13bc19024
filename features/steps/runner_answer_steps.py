"""Steps on answers whose bytes are given, and how they are forwarded."""

from __future__ import annotations

import http
import logging
from typing import Any, Final

from behave import given, then

from features.support.gateway_site import run
from standins.raw_runner import RawEnd, RawRunner

# Code by which tornado's client reports a connection that closed early.
_CUT: Final = 599
_EVENTS: Final = 5
_PART: Final = b'id: 3\ndata: pi'
_SEND_LOGGER: Final = 'damaskpoint.forwarding.attempts'
_HEAD: Final = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'


class _RecordList(logging.Handler):
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
    context.send_log = _RecordList()
    logger.addHandler(context.send_log)
    level = logger.level
    logger.setLevel(logging.INFO)
    context.closers.append(lambda: logger.setLevel(level))
    context.closers.append(lambda: logger.removeHandler(context.send_log))


@given('the runner "{name}" sends {sent} framed by {framing}, then a {end}')
def answer_raw(
    context: Any, name: str, sent: str, framing: str, end: str
) -> None:
    """Replace a runner by one that writes the bytes of a stream."""
    count = int(sent.split()[0])
    events = [_create_event(number) for number in range(1, count + 1)]
    parts = [*events, _PART] if sent.endswith('and a part') else events
    is_whole = count == _EVENTS and parts is events
    head, body = _frame(parts, framing, is_whole)
    context.raw_runner = RawRunner(head, body, RawEnd(end))
    _replace(context, name)


def _replace(context: Any, name: str) -> None:
    server = run(
        context,
        context.site.replace_runner(name, 'model', context.raw_runner.serve),
    )
    context.closers.append(server.close)


def _create_event(number: int) -> bytes:
    return f'id: {number}\ndata: piece\n\n'.encode()


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
        events = map(_create_event, range(1, _EVENTS + 1))
        is_ended = framing == 'length of all'
        length = len(body) if is_ended else sum(map(len, events))
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


@then('the answer does not look complete')
def check_broken(context: Any) -> None:
    """Check for a cut connection, or a failure if no event was forwarded."""
    code = context.answer.code
    assert code in {_CUT, http.HTTPStatus.BAD_GATEWAY}, code
    assert code == _CUT or b'id: ' not in context.answer.body
