"""Lifecycle of a gateway process: start, serve, shut down."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado import httpserver

from damaskpoint import defaults
from damaskpoint.catalog import metrics as catalog_metrics
from damaskpoint.entry.bounded_listen import listen_bounded
from damaskpoint.entry.periodic import run_periodically
from damaskpoint.entry.shutdown import PendingWork, Phase, ShutdownState
from damaskpoint.errors import Code, Failure
from damaskpoint.gateway import intake_metrics
from damaskpoint.gateway.caller_server import CallerServer
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
    from damaskpoint.forwarding.answer_budget import AnswerBudget
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.gateway.handler import RequestHandler
    from damaskpoint.gateway.intake import Intake
    from damaskpoint.gateway.options import GatewayOptions
    from damaskpoint.gateway.peers import Discovery
    from damaskpoint.membership.service import Membership
    from damaskpoint.observe.loop_load import LoopLoad
    from damaskpoint.observe.state import StateRegistry
    from damaskpoint.quarantine.stored import QuarantineWriter
    from damaskpoint.rollout.components import RolloutComponents

_LOG: Final = logging.getLogger(__name__)
# How much longer than the timeout known to callers an idle connection stays
# open (seconds), so that none is closed while a request is in transit.
_IDLE_TIMEOUT_MARGIN_S: Final = 1.0
# Body limit until a configuration is known.
_INITIAL_MAX_BODY_BYTES: Final = 16_777_216
# Interval of the housekeeping (seconds).
_HOUSEKEEPING_INTERVAL_S: Final = 0.25
# Interval at which quarantines are compared with the store's (seconds).
_QUARANTINE_INTERVAL_S: Final = 0.1
# Interval at which the evidence on versions is evaluated (seconds).
_ROLLOUT_INTERVAL_S: Final = 0.1


@final
class GatewayReadiness(Readiness):
    """Ready while a configuration and runners are known, until a shutdown."""

    def __init__(self, catalog: Catalog, shutdown: ShutdownState) -> None:
        """Report the readiness of this catalog and shutdown state."""
        self._catalog = catalog
        self._shutdown = shutdown

    def check_ready(self, now: float) -> Failure | None:
        """Return why the gateway is not ready, or None when it is."""
        shutdown_failure = self._shutdown.check_ready()
        if shutdown_failure is not None:
            return shutdown_failure
        if self._catalog.configuration is None:
            return Failure(Code.NOT_READY, 'no configuration is known yet')
        if not len(self._catalog.runners):
            return Failure(Code.NOT_READY, 'no runner is known yet')
        return None


@final
@dataclass(frozen=True, slots=True)
class GatewayComponents:
    """The components that a gateway process starts, serves with and stops."""

    options: GatewayOptions
    forwarding: ForwardingContext
    handler: RequestHandler
    shutdown: ShutdownState
    intake: Intake
    answers: AnswerBudget
    followers: tuple[TableFollower, ...]
    quarantine_writer: QuarantineWriter
    membership: Membership
    discovery: Discovery
    order_server: httpserver.HTTPServer
    registry: StateRegistry
    loop_load: LoopLoad
    rollouts: RolloutComponents | None = None


@final
class GatewayRuntime:
    """Runs a gateway process from its start to the end of its shutdown."""

    def __init__(self, components: GatewayComponents) -> None:
        """Create the HTTP servers; nothing listens yet."""
        self._components = components
        readiness = GatewayReadiness(
            components.forwarding.catalog, components.shutdown
        )
        self._caller_server = CallerServer(
            components.handler,
            intake=components.intake,
            chunk_size=defaults.CALLER_READ_BYTES,
            max_header_size=defaults.MAX_HEADER_BYTES,
            find_max_body_bytes=self._find_max_body_bytes,
            idle_connection_timeout=defaults.CALLER_IDLE_TIMEOUT_S,
        )
        self._ready_server = httpserver.HTTPServer(
            create_readiness_app(names.PATH_READY, readiness, time.monotonic)
        )
        self._operator_server = httpserver.HTTPServer(
            create_operator_app(readiness, components.registry, time.monotonic)
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._shutdown_requested = asyncio.Event()
        # When the intake is next advanced, on an idle event loop.
        self._intake_due_at: float | None = None

    @property
    def catalog(self) -> Catalog:
        """Return the catalog of the current configuration and runners."""
        return self._components.forwarding.catalog

    @property
    def has_live_peers(self) -> bool:
        """Return whether a peer is live."""
        now = time.monotonic()
        return bool(self._components.membership.live_peers(now))

    @property
    def is_stopped(self) -> bool:
        """Return whether a shutdown has reached its last phase."""
        return self._components.shutdown.phase is Phase.STOPPED

    def begin_shutdown(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
        if self._components.shutdown.is_shutting_down:
            return
        self._components.shutdown.begin(time.monotonic())
        self._caller_server.begin_shutdown()
        self._components.membership.set_phase(facts.Phase.LEAVING)
        self._components.forwarding.pool.hand_back(time.monotonic())
        _LOG.info(
            'shutting down',
            extra={'in_progress': self._components.handler.count},
        )
        self._shutdown_requested.set()

    def log_reload(self, options: GatewayOptions | Failure) -> None:
        """Log which settings changed; they take effect at the next start."""
        if isinstance(options, Failure):
            _LOG.error(
                'reloaded settings are invalid, keeping the current ones',
                extra={'reason': options.detail},
            )
            return
        current = self._components.options.model_dump()
        changed = []
        for section, content in options.model_dump().items():
            if content != current[section]:
                changed.append(section)
        _LOG.info(
            'settings reloaded, effective from the next start',
            extra={'changed': changed},
        )

    async def run(self) -> None:
        """Serve until a shutdown is complete."""
        self._start()
        await self._shutdown_requested.wait()
        deregistration = asyncio.ensure_future(
            self._components.discovery.deregister()
        )
        self._tasks.append(deregistration)
        await self._drain()
        # Nothing is awaited between the last check of the requests in progress
        # and this call, so no request can be forwarded in between and then
        # be interrupted.
        self._components.handler.close()
        await self._components.handler.interrupt()
        await self._stop()

    def _start(self) -> None:
        components = self._components
        listen = components.options.listen
        host = components.options.instance.host
        caller_host, caller_port = parse_address(listen.callers)
        listen_bounded(self._caller_server, caller_port, caller_host)
        self._listen(self._ready_server, listen.readiness)
        self._operator_server.listen(listen.operator_port, host)
        components.order_server.listen(listen.peer_port, host)
        # Its phase is starting until it has heard of most of its peers.
        components.membership.start()
        for coroutine in (
            *(follower.run() for follower in components.followers),
            components.discovery.run(),
            run_periodically(_QUARANTINE_INTERVAL_S, self._store_quarantines),
            run_periodically(defaults.INTAKE_INTERVAL_S, self._advance_intake),
            run_periodically(_HOUSEKEEPING_INTERVAL_S, self._run_housekeeping),
        ):
            self._tasks.append(asyncio.ensure_future(coroutine))
        if components.rollouts is not None:
            self._start_rollouts(components.rollouts)
        _LOG.info(
            'started',
            extra={
                'instance': components.options.instance.name,
                'zone': components.options.instance.zone,
                'callers': listen.callers,
                'link_mbps': components.options.limits.link_mbps,
                'cpu_share': components.options.limits.cpu_share,
                'core_speed': components.options.limits.core_speed,
            },
        )

    def _start_rollouts(self, rollouts: RolloutComponents) -> None:
        for coroutine in (
            run_periodically(0, rollouts.follow),
            run_periodically(_ROLLOUT_INTERVAL_S, rollouts.advance),
            run_periodically(_ROLLOUT_INTERVAL_S, rollouts.check_evidence),
        ):
            self._tasks.append(asyncio.ensure_future(coroutine))

    async def _drain(self) -> None:
        """Serve until no request is left, or until the limit."""
        shutdown = self._components.shutdown
        while shutdown.phase is not Phase.STOPPED:
            await asyncio.sleep(defaults.SHUTDOWN_STEP_S)
            is_noticed = shutdown.phase is not Phase.NOTICE
            pending = PendingWork(
                self._components.handler.count,
                self._caller_server.arriving_count,
            )
            shutdown.advance(pending, time.monotonic())
            if shutdown.phase is Phase.DRAINING and not is_noticed:
                # Callers find out before their next request, which would
                # otherwise be refused.
                self._caller_server.close_idle_connections()

    def _listen(self, server: httpserver.HTTPServer, address: str) -> None:
        host, port = parse_address(address)
        server.listen(port, host)

    async def _advance_intake(self) -> None:
        now = time.monotonic()
        self._record_loop_load(now)
        self._caller_server.advance_intake(now)
        self._components.answers.advance(now)
        intake_metrics.HELD_BYTES.set(
            {'of': 'requests'}, self._components.intake.held_bytes
        )
        intake_metrics.HELD_BYTES.set(
            {'of': 'answers'}, self._components.answers.held_bytes
        )
        intake_metrics.CONNECTIONS.set({}, self._components.intake.connections)

    def _record_loop_load(self, now: float) -> None:
        """Record how late this call of a periodic action comes."""
        if self._intake_due_at is not None:
            self._components.loop_load.record_timer(
                now - self._intake_due_at, now
            )
        self._intake_due_at = now + defaults.INTAKE_INTERVAL_S

    async def _run_housekeeping(self) -> None:
        catalog = self._components.forwarding.catalog
        now = time.monotonic()
        catalog.runners.expire(now)
        for follower in self._components.followers:
            catalog_metrics.TABLE_AGE.set(
                {'table': follower.table}, follower.age_s(now)
            )
        self._components.forwarding.pool.drop_unused()
        if catalog.configuration is not None:
            self._apply_limits(catalog.configuration.limits)

    async def _store_quarantines(self) -> None:
        await self._components.quarantine_writer.advance(time.monotonic())

    def _find_max_body_bytes(self) -> int:
        configuration = self.catalog.configuration
        if configuration is None:
            return _INITIAL_MAX_BODY_BYTES
        return configuration.limits.max_body_bytes

    def _apply_limits(self, limits: CallerLimits) -> None:
        params = self._caller_server.conn_params
        params.max_header_size = limits.max_header_bytes
        params.header_timeout = limits.idle_timeout_s + _IDLE_TIMEOUT_MARGIN_S

    async def _stop(self) -> None:
        """Close everything after the drain has ended or timed out."""
        components = self._components
        self._caller_server.stop()
        components.membership.stop()
        _LOG.info('stopped', extra={'cut': components.handler.count})
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._caller_server.close_all_connections()
        for server in (
            components.order_server,
            self._ready_server,
            self._operator_server,
        ):
            server.stop()
