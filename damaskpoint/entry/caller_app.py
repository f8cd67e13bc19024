"""The HTTP application of the callers' port."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final, final

from tornado import httpserver, web

from damaskpoint import defaults
from damaskpoint.entry.answering_handler import AnsweringHandler
from damaskpoint.entry.pipeline_handler import PipelineHandler
from damaskpoint.entry.service_handler import ServiceHandler
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.entry.parts import EntryParts

# Bodies are counted as they arrive, so tornado's own bound, whose answer has
# no body, is out of reach (bytes).
_NO_BOUND: Final = sys.maxsize


@final
class _UnknownPathHandler(AnsweringHandler):
    """Answers whatever no other handler takes."""

    kind = 'unknown'

    def initialize(self, parts: EntryParts) -> None:
        """Start to measure."""
        self.begin(parts)

    def prepare(self) -> None:
        """Refuse, whatever the method is."""
        self.fail(Failure(Code.UNKNOWN_PATH, self.request.path))


def create_caller_server(parts: EntryParts) -> httpserver.HTTPServer:
    """Return a server that does not listen yet."""
    bound = {'parts': parts}
    app = web.Application(
        [
            ('/v1/pipelines/([^/]+)', PipelineHandler, bound),
            ('/v1/services/([^/]+)/(.*)', ServiceHandler, bound),
        ],
        default_handler_class=_UnknownPathHandler,
        default_handler_args=bound,
        log_function=_log_nothing,
    )
    return httpserver.HTTPServer(
        app,
        max_header_size=defaults.MAX_HEADER_BYTES,
        max_body_size=_NO_BOUND,
        idle_connection_timeout=defaults.CALLER_IDLE_TIMEOUT_S,
        body_timeout=defaults.BODY_TIMEOUT_S,
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Keep each request out of the log; it changes no state."""
