"""Runs a gateway in the test process against stand-ins of the platform."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from tornado import netutil

from damaskpoint.gateway.options import GatewayOptions
from damaskpoint.gateway.wiring import create_gateway
from standins.row_store import RowStore, create_row_store_server
from standins.runner import RunnerState, create_runner_server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httpserver import HTTPServer

    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.runners import RunnerTable
    from damaskpoint.gateway.runtime import GatewayRuntime

    Serve = Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ]

# A loopback address that only this test process uses, so that no other process
# can take one of its ports; the launcher's processes use lower addresses.
HOST: Final = f'127.{20 + os.getpid() // 256 % 200}.{os.getpid() % 256}.251'
KEY: Final = 'key-1'
_WAIT_S: Final = 3.0
_STEP_S: Final = 0.02
_drawn_ports: Final[set[int]] = set()


def run(context: Any, work: Any) -> Any:
    """Run a coroutine of a step on the scenario's event loop."""
    return context.loop.run_until_complete(work)


async def until(check: Callable[[], object]) -> None:
    """Poll a condition until it holds; fail after a timeout."""
    ends_at = time.monotonic() + _WAIT_S
    while not check():
        assert time.monotonic() < ends_at, 'condition not met in time'
        await asyncio.sleep(_STEP_S)


def find_free_port() -> int:
    """Return a port that is free now for TCP and UDP, each only once.

    A cancelled gateway of an earlier scenario may still hold its UDP port.
    """
    while True:
        port = _draw_port()
        if port is not None and port not in _drawn_ports:
            _drawn_ports.add(port)
            return port


def _draw_port() -> int | None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
    ):
        tcp.bind((HOST, 0))
        port = int(tcp.getsockname()[1])
        try:
            udp.bind((HOST, port))
        except OSError:
            return None
    return port


@dataclass(slots=True)
class Site:
    """A store, runners and one gateway."""

    store: RowStore = field(default_factory=RowStore)
    runners_by_name: dict[str, RunnerState] = field(default_factory=dict)
    ports_by_name: dict[str, int] = field(default_factory=dict)
    servers: list[HTTPServer] = field(default_factory=list)
    gateway: GatewayRuntime | None = None
    port: int = 0
    ready_port: int = 0
    operator_ports_by_name: dict[str, int] = field(default_factory=dict)
    store_port: int = 0
    # Sections of the gateways' settings beside those of all sites.
    settings: dict[str, Any] = field(default_factory=dict)

    def start_store(self) -> None:
        """Start the stand-in of the store."""
        self.store_port = self._listen(create_row_store_server(self.store))

    def start_runner(
        self, state: RunnerState, service: str, **changes: object
    ) -> None:
        """Start a stand-in of a runner and register it in the store."""
        port = self._listen(create_runner_server(state))
        self.runners_by_name[state.name] = state
        self.ports_by_name[state.name] = port
        self.register(state.name, service, **changes)

    async def replace_runner(
        self, name: str, service: str, serve: Serve
    ) -> asyncio.Server:
        """Register a raw server under the name of a runner.

        Waits until the gateway uses it; the caller must close the server.
        """
        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        await self.move_runner(name, service, port)
        return server

    async def move_runner(self, name: str, service: str, port: int) -> None:
        """Register a runner with another port; wait until it is known."""
        self.ports_by_name[name] = port
        self.register(name, service)
        assert self.gateway is not None
        runners = self.gateway.catalog.runners
        await until(lambda: _find_port(runners, name) == port)

    def register(self, name: str, service: str, **changes: object) -> None:
        """Write a runner's entry; ``changes`` replace its fields."""
        entry = {
            'Service': service,
            'Address': f'{HOST}:{self.ports_by_name[name]}',
            'Zone': 'zone-1',
            'Version': 'v1',
            'Slots': 4,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 1,
        }
        self.store.put('servers', name, {**entry, **changes})

    def configure(self, version: int, **changes: object) -> None:
        """Write a configuration version; ``changes`` replace its fields."""
        self.store.put(
            'op', 'config', {**create_configuration(version), **changes}
        )

    async def lengthen_timeouts(self) -> None:
        """Configure long timeouts of all routes; wait until they are known."""
        routes = create_configuration(2)['Routes']
        self.configure(
            2, Routes=[{**route, 'TimeoutMs': 30_000} for route in routes]
        )
        assert self.gateway is not None
        catalog = self.gateway.catalog
        await until(lambda: _find_version(catalog) == 2)

    def create_gateway(self) -> GatewayRuntime:
        """Create the gateway without starting it."""
        self.port = find_free_port()
        self.ready_port = find_free_port()
        self.gateway = self.create_peer('g-1', self.port, self.ready_port)
        return self.gateway

    def create_peer(
        self, name: str, port: int, ready_port: int
    ) -> GatewayRuntime:
        """Create a gateway of another name without starting it."""
        operator_port = find_free_port()
        self.operator_ports_by_name[name] = operator_port
        options = GatewayOptions.model_validate(
            {
                'instance': {'name': name, 'zone': 'zone-1', 'host': HOST},
                'listen': {
                    'callers': f'{HOST}:{port}',
                    'readiness': f'{HOST}:{ready_port}',
                    'operator_port': operator_port,
                    'peer_port': find_free_port(),
                },
                'store': {'address': f'{HOST}:{self.store_port}'},
                'bounds': {
                    'grace_s': 6,
                    'retry_ratio': 0.2,
                    'retry_slack': 50,
                    'cold_overshoot': 1.5,
                    'cold_slack': 5,
                },
                **self.settings,
            }
        )
        return create_gateway(options)

    def stop(self) -> None:
        """Stop the stand-ins."""
        for server in self.servers:
            server.stop()

    def _listen(self, server: HTTPServer) -> int:
        sockets = netutil.bind_sockets(0, HOST)
        server.add_sockets(sockets)
        self.servers.append(server)
        return int(sockets[0].getsockname()[1])


def _find_version(catalog: Catalog) -> int | None:
    configuration = catalog.configuration
    return configuration.version if configuration else None


def _find_port(runners: RunnerTable, name: str) -> int | None:
    runner = runners.find(name)
    return runner.port if runner else None


def create_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    return {
        'Version': version,
        'Routes': [
            _create_route('safe', 'plain', 2),
            _create_route('unsafe', 'plain', 2),
            {**_create_route('stream', 'model', 2), 'Resumable': True},
            {
                **_create_route('stream', 'model', 1),
                'Name': 'staged',
                'Prefix': '/staged/',
                'Stages': [
                    {'Service': 'stage', 'After': [], 'Bytes': 1000},
                    {'Service': 'stage', 'After': [0], 'Bytes': 1000},
                ],
            },
            {
                **_create_route('resumable', 'model', 2),
                'Kind': 'stream',
                'Resumable': True,
                'Stages': [{'Service': 'stage', 'After': [], 'Bytes': 1000}],
            },
        ],
        'Services': [
            {'Name': 'plain', 'MaxConns': 100},
            {'Name': 'model', 'MaxConns': 100},
            {
                'Name': 'stage',
                'MaxConns': 100,
                'Pieces': {
                    'Slots': 1,
                    'Queue': 2,
                    'Batch': 4,
                    'CallMs': 20,
                    'ItemMs': 2,
                    'HeadroomMb': 1,
                    'HandleS': 4,
                },
            },
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 100000,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'account-1', 'ApiKeys': [KEY]}],
    }


def _create_route(kind: str, service: str, attempts: int) -> dict[str, Any]:
    return {
        'Name': kind,
        'Host': 'host-1',
        'Prefix': f'/{kind}/',
        'Kind': kind,
        'TimeoutMs': 3000,
        'SloMs': 2000,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': attempts,
    }
