"""History files: one JSON line for each event that a stand-in recorded.

Each line holds ``at`` (monotonic seconds, the same clock for all processes
of a machine), ``actor`` and ``event``, and the fields of the event. A line is
written with a single system call, so that a killed process leaves only
complete lines.
"""

from __future__ import annotations

import json
import os
import pathlib
import time

_OPEN_FLAGS = os.O_APPEND | os.O_CREAT | os.O_WRONLY
_FILE_MODE = 0o644


class History:
    """Appends the events of one actor to a file, if it has one."""

    def __init__(self, actor: str, path: pathlib.Path | None) -> None:
        """Open the file; without a path, events are discarded."""
        self._actor = actor
        self._descriptor: int | None = None
        if path is not None:
            self._descriptor = os.open(path, _OPEN_FLAGS, _FILE_MODE)

    def record(self, event: str, **fields: object) -> None:
        """Append one event with the current time."""
        if self._descriptor is None:
            return
        header = {'at': time.monotonic(), 'actor': self._actor, 'event': event}
        text = json.dumps({**header, **fields}, separators=(',', ':'))
        os.write(self._descriptor, f'{text}\n'.encode())


def create_history(actor: str, path: str) -> History:
    """Return the history of an actor; an empty path discards events."""
    return History(actor, pathlib.Path(path) if path else None)
