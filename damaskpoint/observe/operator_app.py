"""HTTP application of the operators' port.

Serves health, readiness, metrics and the dump of the process's state.
"""

from __future__ import annotations

import abc
import http
import json
from typing import TYPE_CHECKING, Final, final

from aioprometheus import collectors, renderer
from tornado import web

from damaskpoint import defaults, protocol
from damaskpoint.observe import bounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.errors import Failure
    from damaskpoint.observe.state import StateRegistry

PATH_HEALTH: Final = '/healthz'
PATH_READY: Final = '/readyz'
PATH_METRICS: Final = '/metrics'
PATH_STATE: Final = '/state'


class Readiness(abc.ABC):
    """Reports whether the process may receive new requests."""

    @abc.abstractmethod
    def check_ready(self, now: float) -> Failure | None:
        """Return why the process is not ready, or None when it is."""


def create_operator_app(
    readiness: Readiness, registry: StateRegistry, clock: Callable[[], float]
) -> web.Application:
    """Return the application of the operators' port.

    ``clock`` returns monotonic seconds.
    """
    return web.Application(
        [
            (PATH_HEALTH, _HealthHandler),
            (
                PATH_READY,
                _ReadyHandler,
                {'readiness': readiness, 'clock': clock},
            ),
            (PATH_METRICS, _MetricsHandler),
            (PATH_STATE, _StateHandler, {'registry': registry, 'clock': clock}),
        ],
        log_function=_skip_access_log,
    )


def create_readiness_app(
    path: str, readiness: Readiness, clock: Callable[[], float]
) -> web.Application:
    """Return an application that serves only readiness, for a balancer."""
    handler_options = {'readiness': readiness, 'clock': clock}
    return web.Application(
        [(path, _ReadyHandler, handler_options)], log_function=_skip_access_log
    )


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Log nothing: requests to this port do not change any state."""


class _OperatorHandler(web.RequestHandler):
    """Base of this port's handlers."""

    def write_json(self, data: object) -> None:
        self.set_header('Content-Type', protocol.MEDIA_JSON)
        self.finish(json.dumps(data))


@final
class _HealthHandler(_OperatorHandler):
    """Answers 200 as long as the event loop runs."""

    def get(self) -> None:
        self.write_json({'status': 'alive'})


@final
class _ReadyHandler(_OperatorHandler):
    """Answers 200 if the process is ready, else 503 with the reason."""

    def initialize(
        self, readiness: Readiness, clock: Callable[[], float]
    ) -> None:
        self._readiness = readiness
        self._clock = clock

    def get(self) -> None:
        failure = self._readiness.check_ready(self._clock())
        if failure is None:
            self.write_json({'status': 'ready'})
            return
        self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.write_json(
            {
                'status': 'not ready',
                'code': failure.code.value,
                'detail': failure.detail,
            }
        )


@final
class _MetricsHandler(_OperatorHandler):
    """Answers with the metrics as Prometheus text."""

    def get(self) -> None:
        accepted = self.request.headers.get_list('Accept')
        body, headers = renderer.render(collectors.REGISTRY, accepted)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


@final
class _StateHandler(_OperatorHandler):
    """Answers with the state of all components, or of the requested one."""

    def initialize(
        self, registry: StateRegistry, clock: Callable[[], float]
    ) -> None:
        self._registry = registry
        self._clock = clock

    def get(self) -> None:
        dumped = self._registry.dump(self._clock())
        part = self.get_query_argument('part', '')
        if part and part not in dumped:
            self.set_status(http.HTTPStatus.NOT_FOUND)
            self.write_json({'error': 'no such part', 'parts': sorted(dumped)})
            return
        if part:
            dumped = {part: dumped[part]}
        self.write_json(
            bounds.bound_collections(dumped, defaults.MAX_DUMP_ITEMS)
        )
