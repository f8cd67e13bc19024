"""The lifecycle of an entry process: start, serve, shut down."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from tornado import httpserver

from damaskpoint import defaults
from damaskpoint.admission.backoff import CapacityBackoff
from damaskpoint.entry.bounded_listen import listen_bounded
from damaskpoint.entry.caller_app import create_caller_server
from damaskpoint.entry.periodic import run_periodically
from damaskpoint.entry.shutdown import PendingWork, Phase
from damaskpoint.entry.capacity import ObservedRouter
from damaskpoint.entry.confirmed_router import ConfirmedRouter
from damaskpoint.entry.peering import create_entry_membership, create_peering
from damaskpoint.entry.wiring import (
    create_entry_admission,
    create_handler_dependencies,
    create_entry_routing,
    create_shared_dependencies,
    create_sweeper,
)
from damaskpoint.observe.operator_app import Readiness, create_operator_app

if TYPE_CHECKING:
    from damaskpoint.entry.handler_dependencies import HandlerDependencies
    from damaskpoint.entry.peering import Peering
    from damaskpoint.entry.wiring import SharedDependencies
    from damaskpoint.errors import Failure
    from damaskpoint.routing.wiring import Routing
    from damaskpoint.settings import Options

_LOG: Final = logging.getLogger(__name__)


@final
class EntryReadiness(Readiness):
    """Ready while the configuration is confirmed and no shutdown has begun."""

    def __init__(self, dependencies: HandlerDependencies) -> None:
        """Use the shutdown state and the configuration follower."""
        self._dependencies = dependencies

    def check_ready(self, now: float) -> Failure | None:
        """Return why the entry is not ready, or None when it is."""
        not_ready = self._dependencies.shutdown.check_ready()
        if not_ready is not None:
            return not_ready
        return self._dependencies.follower.check_ready(now)


@final
class EntryRuntime:
    """The servers and periodic tasks of an entry process."""

    def __init__(
        self,
        shared: SharedDependencies,
        routing: Routing,
        dependencies: HandlerDependencies,
        peering: Peering,
    ) -> None:
        """Create the servers; none of them listens yet."""
        self._peering = peering
        self._shared = shared
        self._routing = routing
        self._dependencies = dependencies
        self._caller_server = create_caller_server(dependencies)
        self._operator_server = httpserver.HTTPServer(
            create_operator_app(
                EntryReadiness(dependencies), shared.registry, time.monotonic
            )
        )
        self._sweeper = create_sweeper(shared)
        self._tasks: list[asyncio.Task[None]] = []
        self._shutdown_requested = asyncio.Event()

    def begin_shutdown(self) -> None:
        """Begin to shut down; a second call has no effect."""
        self._dependencies.shutdown.begin(time.monotonic())
        self._peering.announce_shutdown()
        self._shutdown_requested.set()

    async def run(self) -> None:
        """Serve until a shutdown is complete."""
        self._start()
        await self._shutdown_requested.wait()
        _LOG.info('shutdown: not ready, still serving')
        await self._wait_out_phase(Phase.NOTICE)
        _LOG.info('shutdown: no new connections')
        self._caller_server.stop()
        await self._wait_out_phase(Phase.DRAINING)
        await self._stop()

    def _start(self) -> None:
        instance = self._shared.options.instance
        platform = self._shared.options.platform
        poll = self._shared.instances.poll
        self._operator_server.listen(instance.operator_port, instance.host)
        listen_bounded(self._caller_server, instance.port, instance.host)
        self._routing.start()
        self._peering.start()
        for coroutine in (
            self._routing.permit_client.run(),
            self._shared.follower.run(time.monotonic),
            run_periodically(platform.instance_list_poll_s, poll),
            run_periodically(
                defaults.STALL_CHECK_INTERVAL_S, self._record_loop_iteration
            ),
            run_periodically(defaults.HOUSEKEEPING_S, self._close_idle),
            run_periodically(
                defaults.INTAKE_INTERVAL_S, self._dependencies.callers.advance
            ),
            run_periodically(defaults.SWEEP_INTERVAL_S, self._sweeper.sweep),
        ):
            self._tasks.append(asyncio.ensure_future(coroutine))
        _LOG.info('listening on %s:%s', instance.host, instance.port)

    async def _record_loop_iteration(self) -> None:
        self._shared.stall_guard.record_loop_iteration(time.monotonic())

    async def _close_idle(self) -> None:
        self._shared.client.close_idle(time.monotonic())

    async def _wait_out_phase(self, phase: Phase) -> None:
        shutdown = self._dependencies.shutdown
        while shutdown.phase is phase:
            await asyncio.sleep(defaults.SHUTDOWN_STEP_S)
            pending = PendingWork(
                self._dependencies.in_flight.count,
                self._shared.background.count,
            )
            shutdown.advance(pending, time.monotonic())

    async def _stop(self) -> None:
        """Stop everything, after the drain has ended or reached its limit."""
        _LOG.info(
            'stopped: %s requests and %s background tasks cancelled',
            self._dependencies.in_flight.count,
            self._shared.background.count,
        )
        await self._caller_server.close_all_connections()
        self._shared.background.cancel_all()
        self._routing.stop()
        self._peering.stop()
        await self._cancel_tasks()
        self._operator_server.stop()
        await self._operator_server.close_all_connections()

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def create_runtime(options: Options) -> EntryRuntime:
    """Return an entry process; must be called inside its event loop.

    Raises ``FailureError`` if settings are invalid.
    """
    shared = create_shared_dependencies(options)
    routing = create_entry_routing(shared)
    backoff = CapacityBackoff()
    observed = ObservedRouter(routing.router, backoff, time.monotonic)
    router = ConfirmedRouter(observed, shared.follower, shared.stall_guard)
    membership = create_entry_membership(shared)
    admission = create_entry_admission(shared, membership, routing, backoff)
    dependencies = create_handler_dependencies(shared, router, admission)
    peering = create_peering(shared, membership, routing, admission)
    return EntryRuntime(shared, routing, dependencies, peering)
