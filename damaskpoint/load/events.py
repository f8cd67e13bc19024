"""Parses server-sent events incrementally.

The load tool does not use the product's parser (``pipeline.events``), because
a fault in it would then go unnoticed in measurements.
"""

from __future__ import annotations

from typing import final


@final
class EventParser:
    """Splits a byte stream into pairs of event name and data."""

    def __init__(self) -> None:
        """Create a parser with an empty buffer."""
        self._buffer = b''

    def feed(self, chunk: bytes) -> list[tuple[str, str]]:
        """Parse the next bytes and return the events they complete."""
        self._buffer += chunk
        blocks = self._buffer.split(b'\n\n')
        self._buffer = blocks.pop()
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
