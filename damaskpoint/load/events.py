"""Reads server-sent events from the pieces in which they arrive.

The tool has a reader of its own, so that a fault of the product's reader
(``pipeline.events``) cannot hide itself from the measurement.
"""

from __future__ import annotations

from typing import final


@final
class EventParser:
    """Splits a stream of bytes into events of name and data."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = b''

    def feed(self, chunk: bytes) -> list[tuple[str, str]]:
        """Take the next bytes and return the events they complete."""
        self._rest += chunk
        blocks = self._rest.split(b'\n\n')
        self._rest = blocks.pop()
        events: list[tuple[str, str]] = []
        for block in blocks:
            name = 'message'
            data = ''
            for line in block.decode('utf-8', 'replace').split('\n'):
                field, _, text = line.partition(':')
                if field == 'event':
                    name = text.strip()
                if field == 'data':
                    data = text.strip()
            events.append((name, data))
        return events
