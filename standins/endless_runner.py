"""A simulated runner whose answers do not end until the caller closes.

It writes from a thread of its own, so that it can send faster than the event
loop of the process under test reads.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Final

_RECEIVE_BYTES: Final = 65_536
_HEAD_END: Final = b'\r\n\r\n'


class EndlessRunner:
    """Answers each connection with a beginning and a repeated part."""

    def __init__(
        self, host: str, beginning: bytes, repeated: bytes, max_bytes: int
    ) -> None:
        """Listen on a free port of ``host``.

        After ``max_bytes`` of an answer the runner closes the connection
        itself, so that a test of a caller that does not close ends too.
        """
        self._beginning = beginning
        self._repeated = repeated
        self._max_bytes = max_bytes
        self._listener = socket.create_server((host, 0))
        self.port = int(self._listener.getsockname()[1])
        # When the caller closed its connections (monotonic seconds).
        self.abandoned_at: list[float] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening; connections end with their callers."""
        # Wakes the thread that waits in accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            received = b''
            while _HEAD_END not in received:
                part = connection.recv(_RECEIVE_BYTES)
                if not part:
                    return
                received += part
            self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        sent_bytes = 0
        try:
            connection.sendall(self._beginning)
            while sent_bytes < self._max_bytes:
                connection.sendall(self._repeated)
                sent_bytes += len(self._repeated)
        except OSError:
            self.abandoned_at.append(time.monotonic())
