"""History files: one JSON line for each event that a stand-in saw.

Each line holds ``at`` (monotonic seconds, the same clock for all processes
of a machine), ``actor`` and ``event``, and what the event is about. A line
is written by one call of the system, so that a killed process leaves only
whole lines behind.
"""

from __future__ import annotations

import json
import os
import pathlib
import time

_FLAGS = os.O_APPEND | os.O_CREAT | os.O_WRONLY
_MODE = 0o644


class History:
    """Appends the events of one actor to a file, or drops them."""

    def __init__(self, actor: str, path: pathlib.Path | None) -> None:
        """Open the file; without a path nothing is kept."""
        self._actor = actor
        self._descriptor: int | None = None
        if path is not None:
            self._descriptor = os.open(path, _FLAGS, _MODE)

    def record(self, event: str, **about: object) -> None:
        """Append one event, with the present time."""
        if self._descriptor is None:
            return
        line = {'at': time.monotonic(), 'actor': self._actor, 'event': event}
        text = json.dumps({**line, **about}, separators=(',', ':'))
        os.write(self._descriptor, f'{text}\n'.encode())


def create_history(actor: str, path: str) -> History:
    """Return the history of an actor; an empty path keeps nothing."""
    return History(actor, pathlib.Path(path) if path else None)
