"""A log handler for standard output that is bounded and never blocks.

Lines above a rate, and lines that overflow the buffer because the reader of
standard output is too slow, are dropped; a line at most every second reports
how many.
"""

from __future__ import annotations

import collections
import logging
import os
import sys
import time
from typing import TYPE_CHECKING, Final, final

from pythonjsonlogger import json as json_logger

from damaskpoint.observe.logs import silence_library_loggers

if TYPE_CHECKING:
    from collections.abc import Callable

# Sustained rate (lines per second) and burst (lines): an order of magnitude
# above what an instance writes under its usual load, but so low that logging
# uses only a small part of a core.
_LINES_PER_S: Final = 400.0
_BURST_LINES: Final = 800.0
# Limit of the buffer for lines that standard output does not accept yet.
_MAX_BUFFERED_BYTES: Final = 1_048_576
_DROP_REPORT_INTERVAL_S: Final = 1.0
_FORMAT: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'


@final
class LineRateLimit:
    """A token bucket over log lines; times are monotonic seconds."""

    def __init__(self, per_s: float, burst: float) -> None:
        """Start with a full bucket of ``burst`` lines."""
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = float('-inf')

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        elapsed_s = min(now - self._refilled_at, self._burst)
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@final
class BoundedHandler(logging.Handler):
    """Writes log lines to a non-blocking descriptor."""

    def __init__(
        self,
        write: Callable[[bytes], int],
        rate: LineRateLimit,
        clock: Callable[[], float],
    ) -> None:
        """Write through ``write``, which returns the bytes it wrote.

        It raises ``BlockingIOError`` instead of blocking. ``clock`` returns
        monotonic seconds.
        """
        super().__init__()
        self._write = write
        self._rate = rate
        self._clock = clock
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._reported_at = float('-inf')

    def emit(self, record: logging.LogRecord) -> None:
        """Write, buffer or drop a record; errors ignore the rate."""
        now = self._clock()
        if not self._rate.take(now) and record.levelno < logging.ERROR:
            self._dropped += 1
            return
        try:
            self._enqueue(self.format(record).encode())
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._report_dropped(now)
        self._flush()

    def _enqueue(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._buffer.append(line + b'\n')
        self._buffered_bytes += len(line) + 1

    def _report_dropped(self, now: float) -> None:
        if (
            not self._dropped
            or now - self._reported_at < _DROP_REPORT_INTERVAL_S
        ):
            return
        self._reported_at = now
        report = logging.LogRecord(
            __name__, logging.WARNING, '', 0, 'log lines dropped', (), None
        )
        report.lines = self._dropped
        self._dropped = 0
        self._enqueue(self.format(report).encode())

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = self._write(line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed standard output.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(line):
                self._buffer.popleft()
            else:
                self._buffer[0] = line[written:]
                return


def set_up_bounded_logs(level: str, process: str) -> None:
    """Send all log lines of the process to standard output, as JSON."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(
        lambda line: os.write(descriptor, line),
        LineRateLimit(_LINES_PER_S, _BURST_LINES),
        time.monotonic,
    )
    handler.setFormatter(
        json_logger.JsonFormatter(_FORMAT, static_fields={'process': process})
    )
    root = logging.getLogger()
    for previous in tuple(root.handlers):
        root.removeHandler(previous)
    root.addHandler(handler)
    root.setLevel(level.upper())
    silence_library_loggers()
