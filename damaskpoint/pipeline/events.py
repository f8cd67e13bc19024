"""Server-sent events: a parser for engine streams, and an encoder."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import final

from damaskpoint import defaults, protocol
from damaskpoint.errors import Code, Failure


@final
@dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event."""

    name: str
    # Empty if the event has no id.
    event_id: str
    data: str


@final
class EventParser:
    """Parses a byte stream into events incrementally.

    Unknown fields are ignored, as the format requires. An event longer than
    ``defaults.MAX_EVENT_BYTES`` is a failure.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._buffer = b''

    def feed(self, chunk: bytes) -> list[Event] | Failure:
        """Return the events completed by this chunk."""
        self._buffer = (self._buffer + chunk).replace(b'\r\n', b'\n')
        blocks = self._buffer.split(b'\n\n')
        self._buffer = blocks.pop()
        if len(self._buffer) > defaults.MAX_EVENT_BYTES:
            return Failure(Code.UPSTREAM_MISMATCHED, 'an event is too long')
        events = []
        for block in blocks:
            event = _parse_block(block)
            if event is not None:
                events.append(event)
        return events


def render_event(event: Event) -> bytes:
    """Return an event in wire format."""
    lines = [f'event: {event.name}']
    if event.event_id:
        lines.append(f'id: {event.event_id}')
    lines.extend(f'data: {line}' for line in event.data.split('\n'))
    text = '\n'.join(lines)
    return f'{text}\n\n'.encode()


def render_token(offset: int, text: str) -> bytes:
    """Return a token event in wire format; offsets start at 1."""
    payload = json.dumps({'text': text})
    return render_event(Event(protocol.EVENT_TOKEN, str(offset), payload))


def _parse_block(block: bytes) -> Event | None:
    name = 'message'
    event_id = ''
    data_lines = []
    for line in block.decode('utf-8', 'replace').split('\n'):
        field, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if field == 'event':
            name = value
        elif field == 'id':
            event_id = value
        elif field == 'data':
            data_lines.append(value)
    if not data_lines:
        return None
    return Event(name, event_id, '\n'.join(data_lines))
