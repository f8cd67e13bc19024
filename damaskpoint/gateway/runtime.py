"""The life of a gateway process: start, serve, shut down."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado import httpserver

from damaskpoint import defaults
from damaskpoint.entry.periodic import repeat
from damaskpoint.entry.shutdown import DrainView, Phase, ShutdownState
from damaskpoint.errors import Code, Failure
from damaskpoint.gateway.options import parse_address
from damaskpoint.membership import facts
from damaskpoint.observe.operator_app import (
    Readiness,
    create_operator_app,
    create_readiness_app,
)
from damaskpoint.platform import names

if TYPE_CHECKING:
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.follower import TableFollower
    from damaskpoint.catalog.model import CallerLimits
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.gateway.handler import RequestHandler
    from damaskpoint.gateway.options import GatewayOptions
    from damaskpoint.gateway.peers import Discovery
    from damaskpoint.membership.service import Membership
    from damaskpoint.observe.state import StateRegistry

_LOG: Final = logging.getLogger(__name__)
# How much longer than callers are told a connection may rest (seconds), so
# that none is closed while a request is on its way.
_IDLE_MARGIN_S: Final = 1.0
# Bounds before a configuration is known.
_FIRST_BODY_BYTES: Final = 16_777_216
# Time between two rounds of housekeeping (seconds).
_HOUSEKEEPING_S: Final = 0.25


@final
class GatewayReadiness(Readiness):
    """Ready while a configuration is known and no shutdown runs."""

    def __init__(self, catalog: Catalog, shutdown: ShutdownState) -> None:
        """Keep what readiness depends on."""
        self._catalog = catalog
        self._shutdown = shutdown

    def check_ready(self, now: float) -> Failure | None:
        """Return why the gateway is not ready, or None when it is."""
        leaving = self._shutdown.check_ready()
        if leaving is not None:
            return leaving
        if self._catalog.configuration is None:
            return Failure(Code.NOT_READY, 'no configuration is known yet')
        if not len(self._catalog.runners):
            return Failure(Code.NOT_READY, 'no runner is known yet')
        return None


@final
@dataclass(frozen=True, slots=True)
class GatewayParts:
    """The parts of a gateway that start and stop with it."""

    options: GatewayOptions
    forwarding: ForwardingContext
    handler: RequestHandler
    shutdown: ShutdownState
    followers: tuple[TableFollower, ...]
    membership: Membership
    discovery: Discovery
    order_server: httpserver.HTTPServer
    registry: StateRegistry


@final
class GatewayRuntime:
    """A whole gateway process."""

    def __init__(self, parts: GatewayParts) -> None:
        """Keep the parts; nothing listens yet."""
        self._parts = parts
        readiness = GatewayReadiness(parts.forwarding.catalog, parts.shutdown)
        self._caller_server = httpserver.HTTPServer(
            parts.handler,
            max_header_size=defaults.MAX_HEADER_BYTES,
            max_body_size=_FIRST_BODY_BYTES,
            idle_connection_timeout=defaults.CALLER_IDLE_TIMEOUT_S,
            body_timeout=defaults.BODY_TIMEOUT_S,
        )
        self._ready_server = httpserver.HTTPServer(
            create_readiness_app(names.PATH_READY, readiness, time.monotonic)
        )
        self._operator_server = httpserver.HTTPServer(
            create_operator_app(readiness, parts.registry, time.monotonic)
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._signalled = asyncio.Event()

    @property
    def catalog(self) -> Catalog:
        """Return the configuration and the runners that are known."""
        return self._parts.forwarding.catalog

    @property
    def is_stopped(self) -> bool:
        """Return whether a shutdown has come to its last phase."""
        return self._parts.shutdown.phase is Phase.STOPPED

    def begin_shutdown(self) -> None:
        """Begin to shut down; a second call changes nothing."""
        if self._parts.shutdown.is_leaving:
            return
        self._parts.shutdown.begin(time.monotonic())
        self._parts.membership.set_phase(facts.Phase.LEAVING)
        _LOG.info(
            'shutting down', extra={'in_progress': self._parts.handler.count}
        )
        self._signalled.set()

    def log_reload(self, options: GatewayOptions | Failure) -> None:
        """Log settings that have changed; they hold from the next start."""
        if isinstance(options, Failure):
            _LOG.error(
                'changed settings are invalid, keeping the old ones',
                extra={'reason': options.detail},
            )
            return
        held = self._parts.options.model_dump()
        changed = []
        for section, content in options.model_dump().items():
            if content != held[section]:
                changed.append(section)
        _LOG.info(
            'settings read again, in force from the next start',
            extra={'changed': changed},
        )

    async def run(self) -> None:
        """Serve until a shutdown has ended."""
        self._start()
        await self._signalled.wait()
        deregistration = asyncio.ensure_future(
            self._parts.discovery.deregister()
        )
        self._tasks.append(deregistration)
        while self._parts.shutdown.phase is not Phase.STOPPED:
            await asyncio.sleep(defaults.SHUTDOWN_STEP_S)
            view = DrainView(self._parts.handler.count, 0)
            self._parts.shutdown.advance(view, time.monotonic())
        # From the last look at what is open to this there is no wait, so no
        # request is cut that has been passed on meanwhile.
        self._parts.handler.close()
        await self._stop()

    def _start(self) -> None:
        parts = self._parts
        listen = parts.options.listen
        host = parts.options.instance.host
        self._listen(self._caller_server, listen.callers)
        self._listen(self._ready_server, listen.readiness)
        self._operator_server.listen(listen.operator_port, host)
        parts.order_server.listen(listen.peer_port, host)
        parts.membership.start()
        parts.membership.set_phase(facts.Phase.SERVING)
        for work in (
            *(follower.run() for follower in parts.followers),
            parts.discovery.run(),
            repeat(_HOUSEKEEPING_S, self._keep_house),
        ):
            self._tasks.append(asyncio.ensure_future(work))
        _LOG.info(
            'started',
            extra={
                'instance': parts.options.instance.name,
                'zone': parts.options.instance.zone,
                'callers': listen.callers,
            },
        )

    def _listen(self, server: httpserver.HTTPServer, address: str) -> None:
        host, port = parse_address(address)
        server.listen(port, host)

    async def _keep_house(self) -> None:
        catalog = self._parts.forwarding.catalog
        catalog.runners.expire(time.monotonic())
        self._parts.forwarding.pool.drop_unused()
        if catalog.configuration is not None:
            self._apply_limits(catalog.configuration.limits)

    def _apply_limits(self, limits: CallerLimits) -> None:
        params = self._caller_server.conn_params
        params.max_header_size = limits.max_header_bytes
        params.max_body_size = limits.max_body_bytes
        params.header_timeout = limits.idle_timeout_s + _IDLE_MARGIN_S

    async def _stop(self) -> None:
        """Close what is left; the drain has ended or its limit is reached."""
        parts = self._parts
        self._caller_server.stop()
        parts.membership.stop()
        _LOG.info('stopped', extra={'cut': parts.handler.count})
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._caller_server.close_all_connections()
        for server in (
            parts.order_server,
            self._ready_server,
            self._operator_server,
        ):
            server.stop()
