"""Bounds the connections of an entry's callers and the bodies that arrive."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Any, Final, Protocol, final

from tornado import httpserver

from damaskpoint.entry import metrics
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from damaskpoint.errors import Failure
    from damaskpoint.gateway.intake import Intake, Upload

_LOG: Final = logging.getLogger(__name__)


class BodyReceiver(Protocol):
    """Receives the body of a request."""

    def refuse_body(self, failure: Failure) -> None:
        """Answer with a failure; the request has not run."""


@final
class CallerConnections(StateSource):
    """Applies the decisions about the callers of one server."""

    def __init__(self, intake: Intake) -> None:
        """Start without connections."""
        self._intake = intake
        self._uploads_by_stream: dict[IOStream, Upload] = {}
        self._streams_by_upload: dict[Upload, IOStream] = {}
        self._receivers_by_upload: dict[Upload, BodyReceiver] = {}
        self._resumed_by_upload: dict[Upload, asyncio.Future[None]] = {}

    def open(self, stream: IOStream) -> None:
        """Count a connection; close another one if there are too many."""
        upload = self._intake.open(time.monotonic())
        self._uploads_by_stream[stream] = upload
        self._streams_by_upload[upload] = stream
        surplus = self._intake.choose_surplus()
        if surplus is None:
            return
        _LOG.info('connection closed, there are too many')
        metrics.CONNECTIONS_EVICTED.inc({})
        self._intake.close(surplus)
        self._streams_by_upload[surplus].close()
        self._resume(surplus)

    def close(self, stream: IOStream) -> None:
        """Forget a connection."""
        upload = self._uploads_by_stream.pop(stream)
        self._streams_by_upload.pop(upload)
        self._receivers_by_upload.pop(upload, None)
        self._intake.close(upload)
        self._resume(upload)

    def begin_body(
        self, stream: IOStream, receiver: BodyReceiver, length: int | None
    ) -> None:
        """Expect a body, of ``length`` bytes if that is known."""
        upload = self._uploads_by_stream.get(stream)
        if upload is not None:
            self._receivers_by_upload[upload] = receiver
            self._intake.begin_body(upload, length, time.monotonic())

    def receive(
        self, stream: IOStream, count: int
    ) -> asyncio.Future[None] | None:
        """Count bytes of a body; reading must wait for the result."""
        upload = self._uploads_by_stream.get(stream)
        if upload is None:
            return None
        self._intake.receive(upload, count, time.monotonic())
        if not upload.is_paused:
            return None
        resumed = asyncio.get_running_loop().create_future()
        self._resumed_by_upload[upload] = resumed
        return resumed

    def discard_body(self, stream: IOStream) -> None:
        """Release the bytes of a body that is refused."""
        upload = self._uploads_by_stream.get(stream)
        if upload is not None:
            self._intake.refuse(upload)
            self._resume(upload)

    def finish_body(self, stream: IOStream) -> None:
        """Record that a body is complete."""
        upload = self._uploads_by_stream.get(stream)
        if upload is not None:
            self._intake.finish_body(upload)

    def end_request(self, stream: IOStream) -> None:
        """Record that a request is answered."""
        upload = self._uploads_by_stream.get(stream)
        if upload is not None:
            self._receivers_by_upload.pop(upload, None)
            self._intake.end_request(upload, time.monotonic())

    async def advance(self) -> None:
        """Refuse stalled uploads; let others continue if there is room."""
        actions = self._intake.advance(time.monotonic())
        for upload, failure in actions.refused:
            _LOG.info(
                'refused, body not complete: %s, %s bytes received',
                failure.code.value,
                upload.held_bytes,
            )
            receiver = self._receivers_by_upload[upload]
            self._intake.refuse(upload)
            receiver.refuse_body(failure)
            self._resume(upload)
        for resumed in actions.resumed:
            self._resume(resumed)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the use of the limits."""
        return self._intake.dump_state(now)

    def _resume(self, upload: Upload) -> None:
        resumed = self._resumed_by_upload.pop(upload, None)
        if resumed is not None and not resumed.done():
            resumed.set_result(None)


@final
class BoundedServer(httpserver.HTTPServer):
    """An HTTP server that counts its connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Take ``connections``, and the arguments of ``HTTPServer``."""
        self._callers: CallerConnections = kwargs.pop('connections')
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection."""
        super().handle_stream(stream, address)
        self._callers.open(stream)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        # tornado declares the interface, but always passes this class.
        self._callers.close(server_conn.stream)  # type: ignore[attr-defined]
        super().on_close(server_conn)
