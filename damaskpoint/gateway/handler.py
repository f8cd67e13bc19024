"""Accepts requests from callers and runs a session for each of them."""

from __future__ import annotations

import asyncio
import logging
import time
from functools import partial
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding import metrics
from damaskpoint.forwarding.caller_answer import CallerAnswer
from damaskpoint.forwarding.request import CallerRequest
from damaskpoint.forwarding.session import Session
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import HTTPServerRequest

    from damaskpoint.catalog.model import ClientAccount, Configuration, Route
    from damaskpoint.entry.shutdown import ShutdownState
    from damaskpoint.forwarding.answer_budget import AnswerBudget
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.metadata import RequestMetadata

_LOG: Final = logging.getLogger(__name__)
_MS_PER_S: Final = 1000
_VERSION_WITHOUT_CHUNKS: Final = 'HTTP/1.0'
# Retry-After of an instance without a configuration (seconds).
_NOT_READY_RETRY_AFTER_S: Final = 0.5
# Maximum time for answering the requests that a shutdown interrupts (seconds).
_INTERRUPT_TIMEOUT_S: Final = 0.2


@final
class RequestHandler:
    """Serves each request in its own task."""

    def __init__(
        self,
        context: ForwardingContext,
        shutdown: ShutdownState,
        answers: AnswerBudget,
    ) -> None:
        """Serve in this context; in a shutdown, answers close connections.

        ``answers`` bounds what is held of answers.
        """
        self._answers = answers
        self._context = context
        self._shutdown = shutdown
        self._tasks: set[asyncio.Task[None]] = set()
        self._sessions: set[Session] = set()
        self._is_closed = False

    def __call__(self, received: HTTPServerRequest) -> None:
        """Start serving a request whose body has been read."""
        # tornado declares the interface, but always passes this class.
        connection: HTTP1Connection = received.connection  # type: ignore[assignment]
        arrived_at = time.monotonic()
        if self._is_closed:
            # The request was not forwarded, so the caller may retry it.
            connection.stream.close()
            return
        task = asyncio.ensure_future(self._serve(received, arrived_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # All work for a request stops when its caller disconnects.
        connection.set_close_callback(partial(_cancel, task))

    def close(self) -> None:
        """Refuse all further requests by closing their connections."""
        self._is_closed = True

    async def interrupt(self) -> None:
        """Answer the requests in progress with a failure where possible.

        Returns when they have ended, at the latest after a fixed time.
        """
        tasks = tuple(self._tasks)
        for session in tuple(self._sessions):
            session.interrupt()
        if tasks:
            await asyncio.wait(tasks, timeout=_INTERRUPT_TIMEOUT_S)

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._tasks)

    async def _serve(
        self, received: HTTPServerRequest, arrived_at: float
    ) -> None:
        # tornado declares the interface, but always passes this class.
        connection: HTTP1Connection = received.connection  # type: ignore[assignment]
        answer = CallerAnswer(
            connection,
            lambda: self._shutdown.is_shutting_down,
            self._answers,
            accepts_chunks=received.version != _VERSION_WITHOUT_CHUNKS,
        )
        checked = self._validate(received, arrived_at)
        route = '' if isinstance(checked, Failure) else checked.route.name
        outcome = 'caller_left'
        try:
            if isinstance(checked, Failure):
                outcome = checked.code.value
                await answer.send_failure(
                    checked, _create_echo_headers(received)
                )
            else:
                outcome = await self._run_session(checked, answer)
        except Exception as error:
            outcome = Code.INTERNAL.value
            _LOG.exception('request failed', extra={'error': repr(error)})
            answer.abort()
        finally:
            answer.hold.release()
            self._record(
                received, route, outcome, time.monotonic() - arrived_at
            )

    async def _run_session(
        self, request: CallerRequest, answer: CallerAnswer
    ) -> str:
        session = Session(self._context, request, answer)
        self._sessions.add(session)
        try:
            return await session.run()
        finally:
            self._sessions.discard(session)

    def _validate(
        self, received: HTTPServerRequest, arrived_at: float
    ) -> CallerRequest | Failure:
        """Validate and authorize a request.

        Returns the request with its route and account, or the failure to
        answer with.
        """
        configuration = self._context.catalog.configuration
        if configuration is None:
            return Failure(
                Code.NOT_READY,
                'no configuration is known yet',
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        route = configuration.find_route(
            _normalize_host(received.host), received.path
        )
        if route is None:
            return Failure(Code.UNKNOWN_PATH, 'no route')
        metadata = requests.read_request_metadata(received.headers)
        if isinstance(metadata, Failure):
            return metadata
        if len(received.body) > configuration.limits.max_body_bytes:
            return Failure(Code.BODY_TOO_LARGE)
        account = _find_account(configuration, route, metadata)
        if isinstance(account, Failure):
            return account
        deadlines = self._context.deadlines
        deadlines.record(route.name, metadata)
        return CallerRequest(
            method=received.method or '',
            target=received.uri or '',
            headers=tuple(received.headers.get_all()),
            body=received.body,
            metadata=metadata,
            route=route,
            account=account,
            arrived_at=arrived_at,
            first_sent_at=arrived_at
            - deadlines.estimate_age_s(route.name, metadata),
        )

    def _record(
        self,
        received: HTTPServerRequest,
        route: str,
        outcome: str,
        took_s: float,
    ) -> None:
        metrics.REQUESTS.inc({'route': route, 'end': outcome})
        metrics.REQUEST_SECONDS.observe({'route': route}, took_s)
        configuration = self._context.catalog.configuration
        _LOG.info(
            'request ended',
            extra={
                'request': requests.find_request_id(received.headers),
                'route': route,
                'end': outcome,
                'took_ms': round(took_s * _MS_PER_S),
                'version': configuration.version if configuration else None,
            },
        )


def _find_account(
    configuration: Configuration, route: Route, metadata: RequestMetadata
) -> ClientAccount | Failure | None:
    if not configuration.needs_keys:
        return None
    account = None
    if metadata.key is not None:
        account = configuration.accounts_by_key.get(metadata.key)
    if account is None and not route.is_public:
        return Failure(Code.CREDENTIAL_WRONG, 'the key is not known')
    return account


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


def _normalize_host(host: str) -> str:
    return host.partition(':')[0].lower()


def _create_echo_headers(
    received: HTTPServerRequest,
) -> tuple[tuple[str, str], ...]:
    request_id = requests.find_request_id(received.headers)
    return (requests.echo_request_id(request_id),) if request_id else ()
