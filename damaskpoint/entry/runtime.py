"""The life of an entry process: start, serve, shut down."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from tornado import httpserver

from damaskpoint import defaults
from damaskpoint.admission.backoff import CapacityBackoff
from damaskpoint.entry.caller_app import create_caller_server
from damaskpoint.entry.periodic import repeat
from damaskpoint.entry.shutdown import DrainView, Phase
from damaskpoint.entry.capacity import ObservedRouter
from damaskpoint.entry.confirmed_router import ConfirmedRouter
from damaskpoint.entry.peering import create_entry_membership, create_peering
from damaskpoint.entry.wiring import (
    create_entry_admission,
    create_entry_parts,
    create_entry_routing,
    create_shared_parts,
    create_sweeper,
)
from damaskpoint.observe.operator_app import Readiness, create_operator_app

if TYPE_CHECKING:
    from damaskpoint.entry.parts import EntryParts
    from damaskpoint.entry.peering import Peering
    from damaskpoint.entry.wiring import SharedParts
    from damaskpoint.errors import Failure
    from damaskpoint.routing.wiring import Routing
    from damaskpoint.settings import Options

_LOG: Final = logging.getLogger(__name__)


@final
class EntryReadiness(Readiness):
    """Ready while the configuration is confirmed and no shutdown runs."""

    def __init__(self, parts: EntryParts) -> None:
        """Keep what readiness depends on."""
        self._parts = parts

    def check_ready(self, now: float) -> Failure | None:
        """Return why the entry is not ready, or None when it is."""
        leaving = self._parts.shutdown.check_ready()
        if leaving is not None:
            return leaving
        return self._parts.follower.check_ready(now)


@final
class EntryRuntime:
    """A whole entry process."""

    def __init__(
        self,
        shared: SharedParts,
        routing: Routing,
        parts: EntryParts,
        peering: Peering,
    ) -> None:
        """Keep the parts; nothing listens yet."""
        self._peering = peering
        self._shared = shared
        self._routing = routing
        self._parts = parts
        self._caller_server = create_caller_server(parts)
        self._operator_server = httpserver.HTTPServer(
            create_operator_app(
                EntryReadiness(parts), shared.registry, time.monotonic
            )
        )
        self._sweeper = create_sweeper(shared)
        self._tasks: list[asyncio.Task[None]] = []
        self._signalled = asyncio.Event()

    def begin_shutdown(self) -> None:
        """Begin to shut down; a second call changes nothing."""
        self._parts.shutdown.begin(time.monotonic())
        self._peering.begin_leaving()
        self._signalled.set()

    async def run(self) -> None:
        """Serve until a shutdown has ended."""
        self._start()
        await self._signalled.wait()
        _LOG.info('shutdown: not ready, still serving')
        await self._wait_while(Phase.NOTICE)
        _LOG.info('shutdown: no new connections')
        self._caller_server.stop()
        await self._wait_while(Phase.DRAINING)
        await self._stop()

    def _start(self) -> None:
        instance = self._shared.options.instance
        platform = self._shared.options.platform
        poll = self._shared.instances.poll
        self._operator_server.listen(instance.operator_port, instance.host)
        self._caller_server.listen(instance.port, instance.host)
        self._routing.start()
        self._peering.start()
        for work in (
            self._routing.permit_client.run(),
            self._shared.follower.run(time.monotonic),
            repeat(platform.instance_list_poll_s, poll),
            repeat(defaults.STALL_CHECK_INTERVAL_S, self._note_turn),
            repeat(defaults.HOUSEKEEPING_S, self._close_idle),
            repeat(defaults.SWEEP_INTERVAL_S, self._sweeper.sweep),
        ):
            self._tasks.append(asyncio.ensure_future(work))
        _LOG.info('listening on %s:%s', instance.host, instance.port)

    async def _note_turn(self) -> None:
        self._shared.stall_guard.note_turn(time.monotonic())

    async def _close_idle(self) -> None:
        self._shared.client.close_idle(time.monotonic())

    async def _wait_while(self, phase: Phase) -> None:
        shutdown = self._parts.shutdown
        while shutdown.phase is phase:
            await asyncio.sleep(defaults.SHUTDOWN_STEP_S)
            view = DrainView(
                self._parts.in_flight.count, self._shared.background.count
            )
            shutdown.advance(view, time.monotonic())

    async def _stop(self) -> None:
        """Close what is left; the drain has ended or its limit is reached."""
        _LOG.info(
            'stopped: %s requests and %s tasks cut',
            self._parts.in_flight.count,
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
    """Return an entry process; to be called inside its loop.

    Raises ``FailureError`` for settings that cannot be used.
    """
    shared = create_shared_parts(options)
    routing = create_entry_routing(shared)
    backoff = CapacityBackoff()
    observed = ObservedRouter(routing.router, backoff, time.monotonic)
    router = ConfirmedRouter(observed, shared.follower, shared.stall_guard)
    membership = create_entry_membership(shared)
    admission = create_entry_admission(shared, membership, routing, backoff)
    parts = create_entry_parts(shared, router, admission)
    peering = create_peering(shared, membership, routing, admission)
    return EntryRuntime(shared, routing, parts, peering)
