"""The HTTP application that serves callers."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final, final

from tornado import web

from damaskpoint import defaults
from damaskpoint.entry.answering_handler import AnsweringHandler
from damaskpoint.entry.caller_connections import BoundedServer
from damaskpoint.entry.pipeline_handler import PipelineHandler
from damaskpoint.entry.service_handler import ServiceHandler
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.entry.handler_dependencies import HandlerDependencies

# Tornado's own limit is disabled because its response has no body; the
# handlers limit bodies as they arrive.
_UNLIMITED_BYTES: Final = sys.maxsize


@final
@web.stream_request_body
class _UnknownPathHandler(AnsweringHandler):
    """Answers requests to unknown paths."""

    kind = 'unknown'

    def initialize(self, dependencies: HandlerDependencies) -> None:
        """Initialize the request and start its timer."""
        self.start_request(dependencies)

    def prepare(self) -> None:
        """Refuse the request, regardless of its method and its body."""
        self.send_failure(Failure(Code.UNKNOWN_PATH, self.request.path))

    def data_received(self, chunk: bytes) -> None:
        """Discard the body; tornado would otherwise buffer it whole."""


def create_caller_server(
    dependencies: HandlerDependencies,
) -> BoundedServer:
    """Return the server for callers, which does not listen yet."""
    handler_arguments = {'dependencies': dependencies}
    app = web.Application(
        [
            ('/v1/pipelines/([^/]+)', PipelineHandler, handler_arguments),
            ('/v1/services/([^/]+)/(.*)', ServiceHandler, handler_arguments),
        ],
        default_handler_class=_UnknownPathHandler,
        default_handler_args=handler_arguments,
        log_function=_skip_access_log,
    )
    return BoundedServer(
        app,
        connections=dependencies.callers,
        chunk_size=defaults.CALLER_READ_BYTES,
        max_header_size=defaults.MAX_HEADER_BYTES,
        max_body_size=_UNLIMITED_BYTES,
        idle_connection_timeout=defaults.CALLER_IDLE_TIMEOUT_S,
        body_timeout=defaults.BODY_TIMEOUT_S,
    )


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Keep requests out of the log; they change no state."""
