"""Runs a gateway process against stand-ins of the store and of runners."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, Final

from tornado import netutil

from damaskpoint.platform import names
from features.support.gateway_site import KEY
from features.support.launcher import Launcher
from features.support.process_use import ProcessUse
from standins.endless_runner import EndlessRunner
from standins.row_store import RowStore, create_row_store_server
from standins.runner import RunnerState, create_runner_server

if TYPE_CHECKING:
    from tornado.httpserver import HTTPServer

_NAME: Final = 'gateway'
_READY_PORT: Final = 7001
_CALLER_PORT: Final = 7000
_TIMEOUT_MS: Final = 120_000
_BLOCK_BYTES: Final = 65_536
# Size of a large answer, below the largest that a gateway takes.
ANSWER_BYTES: Final = 32 * _BLOCK_BYTES
_STREAM_BYTES: Final = 256 * _BLOCK_BYTES
_OK: Final = b'HTTP/1.1 200 OK\r\nDamaskpoint-Response-Seal: seal-of-raw\r\n'
_EVENT: Final = b'data: ' + b'x' * 1016 + b'\n\n'


class ProcessSite:
    """A store, three runners and one gateway process."""

    def __init__(self) -> None:
        """Start nothing yet."""
        self.launcher = Launcher()
        self.use = ProcessUse(self.launcher, _NAME)
        self.host = self.launcher.next_host()
        self._stand_in_host = self.launcher.next_host()
        self._servers: list[HTTPServer] = []
        self._raw_runners: list[EndlessRunner] = []
        self.plain = RunnerState('plain-1')

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for callers."""
        return self.host, _CALLER_PORT

    async def start(self, max_body_bytes: int, limits: dict[str, Any]) -> None:
        """Start everything and wait until the gateway is ready."""
        store = RowStore()
        ports_by_service = {
            'plain': self._listen(create_runner_server(self.plain)),
            'large': self._start_raw(
                _OK + f'Content-Length: {ANSWER_BYTES}\r\n\r\n'.encode(),
                b'x' * _BLOCK_BYTES,
                ANSWER_BYTES,
            ),
            'model': self._start_raw(
                _OK + b'\r\n',
                _EVENT * (_BLOCK_BYTES // len(_EVENT)),
                _STREAM_BYTES,
            ),
        }
        for service, port in ports_by_service.items():
            store.put('servers', f'{service}-1', self._runner(service, port))
        store.put('op', 'config', _create_configuration(max_body_bytes))
        store_port = self._listen(create_row_store_server(store))
        path = self.launcher.folder / 'settings.json5'
        path.write_text(json.dumps(self._settings(store_port, limits)))
        self.launcher.start(
            _NAME, 'damaskpoint.main.gateway', '--settings', str(path)
        )
        ready = f'http://{self.host}:{_READY_PORT}{names.PATH_READY}'
        await self.launcher.wait_ready(_NAME, ready)

    def close(self) -> None:
        """Stop everything."""
        self.launcher.stop_all()
        for server in self._servers:
            server.stop()
        for runner in self._raw_runners:
            runner.close()

    def _listen(self, server: HTTPServer) -> int:
        sockets = netutil.bind_sockets(0, self._stand_in_host)
        server.add_sockets(sockets)
        self._servers.append(server)
        return int(sockets[0].getsockname()[1])

    def _start_raw(self, beginning: bytes, block: bytes, size: int) -> int:
        runner = EndlessRunner(self._stand_in_host, beginning, block, size)
        self._raw_runners.append(runner)
        return runner.port

    def _runner(self, service: str, port: int) -> dict[str, Any]:
        return {
            'Service': service,
            'Address': f'{self._stand_in_host}:{port}',
            'Zone': 'zone-1',
            'Version': 'v1',
            'Slots': 4,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 1,
        }

    def _settings(
        self, store_port: int, limits: dict[str, Any]
    ) -> dict[str, Any]:
        return {
            'instance': {'name': 'g-1', 'zone': 'zone-1', 'host': self.host},
            'listen': {
                'callers': f'{self.host}:{_CALLER_PORT}',
                'readiness': f'{self.host}:{_READY_PORT}',
                'operator_port': 7002,
                'peer_port': 7003,
            },
            'store': {'address': f'{self._stand_in_host}:{store_port}'},
            'bounds': {
                'grace_s': 6,
                'retry_ratio': 0.2,
                'retry_slack': 50,
                'cold_overshoot': 1.5,
                'cold_slack': 5,
            },
            'limits': limits,
        }


def encode_head(line: str, *headers: str) -> bytes:
    """Return the head of a request with all the headers it needs."""
    lines = (
        line,
        'Host: host-1',
        f'Authorization: Bearer {KEY}',
        'Damaskpoint-Request-Id: request-1',
        *headers,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


async def exchange(
    address: tuple[str, int], request: bytes, timeout_s: float
) -> bytes:
    """Send a request and return all that comes back, empty if it fails."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            return await reader.read()
    except OSError:
        # Includes TimeoutError.
        return b''
    finally:
        if writer is not None:
            writer.close()


def _create_configuration(max_body_bytes: int) -> dict[str, Any]:
    services = ('plain', 'large', 'model')
    return {
        'Version': 1,
        'Routes': [
            {
                'Name': service,
                'Host': 'host-1',
                'Prefix': f'/{service}/',
                'Kind': 'stream' if service == 'model' else 'unsafe',
                'TimeoutMs': _TIMEOUT_MS,
                'SloMs': _TIMEOUT_MS,
                'Priority': 0,
                'Service': service,
                'MaxAttempts': 1,
            }
            for service in services
        ],
        'Services': [{'Name': name, 'MaxConns': 1000} for name in services],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': max_body_bytes,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'account-1', 'ApiKeys': [KEY]}],
    }
