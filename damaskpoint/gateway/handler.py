"""Takes requests from callers and starts a session for each."""

from __future__ import annotations

import asyncio
import logging
import time
from functools import partial
from typing import TYPE_CHECKING, Final, final

from damaskpoint.entry.shutdown import Phase
from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding import metrics
from damaskpoint.forwarding.caller_answer import CallerAnswer
from damaskpoint.forwarding.request import CallerRequest
from damaskpoint.forwarding.session import ANSWERED, Session
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import HTTPServerRequest

    from damaskpoint.catalog.model import ClientAccount, Configuration, Route
    from damaskpoint.entry.shutdown import ShutdownState
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.metadata import RequestMetadata

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Time to come back to an instance that knows no configuration (seconds).
_NOT_READY_RETRY_S: Final = 0.5
# Time to come back to another instance, on a new connection (seconds).
_ELSEWHERE_RETRY_S: Final = 0.05


@final
class RequestHandler:
    """Serves each request in a task of its own."""

    def __init__(
        self, parts: ForwardingContext, shutdown: ShutdownState
    ) -> None:
        """Serve with these parts; connections close in a shutdown."""
        self._parts = parts
        self._shutdown = shutdown
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    def __call__(self, received: HTTPServerRequest) -> None:
        """Begin to serve a request; its body is there."""
        connection: HTTP1Connection = received.connection  # type: ignore[assignment]
        arrived_at = time.monotonic()
        if self._is_closed:
            # Not passed on, so the caller may send it elsewhere.
            connection.stream.close()
            return
        task = asyncio.ensure_future(self._serve(received, arrived_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # The close of a caller's connection stops all work for it.
        connection.set_close_callback(partial(_cancel, task))

    def close(self) -> None:
        """Serve no request that comes from now on."""
        self._is_closed = True

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._tasks)

    async def _serve(
        self, received: HTTPServerRequest, arrived_at: float
    ) -> None:
        connection: HTTP1Connection = received.connection  # type: ignore[assignment]
        answer = CallerAnswer(connection, lambda: self._shutdown.is_leaving)
        checked = self._check(received, arrived_at)
        route = '' if isinstance(checked, Failure) else checked.route.name
        end = 'caller_left'
        try:
            if isinstance(checked, Failure):
                end = checked.code.value
                await answer.send_failure(checked, _echo(received))
            else:
                end = await Session(self._parts, checked, answer).run()
        except Exception as error:
            end = Code.INTERNAL.value
            _LOG.exception('request failed', extra={'error': repr(error)})
            answer.abort()
        finally:
            self._record(received, route, end, time.monotonic() - arrived_at)

    def _check(
        self, received: HTTPServerRequest, arrived_at: float
    ) -> CallerRequest | Failure:
        """Return the request if it is proper and allowed."""
        configuration = self._parts.catalog.configuration
        if configuration is None:
            return Failure(
                Code.NOT_READY,
                'no configuration is known yet',
                retry_after_s=_NOT_READY_RETRY_S,
            )
        route = configuration.find_route(
            _strip_port(received.host), received.path
        )
        if route is None:
            return Failure(Code.UNKNOWN_PATH, 'no route')
        terms = requests.read_request_metadata(received.headers)
        if isinstance(terms, Failure):
            return terms
        if len(received.body) > configuration.limits.max_body_bytes:
            return Failure(Code.BODY_TOO_LARGE)
        account = _find_account(configuration, route, terms)
        if isinstance(account, Failure):
            return account
        refused = self._check_shutdown(route, arrived_at)
        if refused is not None:
            return refused
        deadlines = self._parts.deadlines
        deadlines.record(route.name, terms)
        return CallerRequest(
            method=received.method or '',
            target=received.uri or '',
            headers=tuple(received.headers.get_all()),
            body=received.body,
            metadata=terms,
            route=route,
            account=account,
            arrived_at=arrived_at,
            first_sent_at=arrived_at
            - deadlines.estimate_age_s(route.name, terms),
        )

    def _check_shutdown(self, route: Route, now: float) -> Failure | None:
        """Refuse what a shutdown would cut.

        All requests are served until the balancer has had its notice.
        """
        if self._shutdown.phase is not Phase.DRAINING:
            return None
        bound_s = self._parts.answer_times.bound_s(route.name, route.timeout_s)
        if min(bound_s, route.timeout_s) <= self._shutdown.left_s(now):
            return None
        return Failure(
            Code.SHUTTING_DOWN,
            'too late for a whole answer',
            retry_after_s=_ELSEWHERE_RETRY_S,
        )

    def _record(
        self,
        received: HTTPServerRequest,
        route: str,
        end: str,
        took_s: float,
    ) -> None:
        metrics.REQUESTS.inc({'route': route, 'end': end})
        metrics.REQUEST_SECONDS.observe({'route': route}, took_s)
        if end == ANSWERED:
            self._parts.answer_times.record(route, took_s)
        configuration = self._parts.catalog.configuration
        _LOG.info(
            'request ended',
            extra={
                'request': requests.find_request_id(received.headers),
                'route': route,
                'end': end,
                'took_ms': round(took_s * _MS),
                'version': configuration.version if configuration else None,
            },
        )


def _find_account(
    configuration: Configuration, route: Route, terms: RequestMetadata
) -> ClientAccount | Failure | None:
    if not configuration.needs_keys:
        return None
    account = None
    if terms.key is not None:
        account = configuration.accounts_by_key.get(terms.key)
    if account is None and not route.is_public:
        return Failure(Code.CREDENTIAL_WRONG, 'the key is not known')
    return account


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


def _strip_port(host: str) -> str:
    return host.partition(':')[0].lower()


def _echo(received: HTTPServerRequest) -> tuple[tuple[str, str], ...]:
    request_id = requests.find_request_id(received.headers)
    return (requests.echo_request_id(request_id),) if request_id else ()
