"""A whole deployment in one process: the platform and all upstreams.

Serves the demonstration and the load tool, which need many upstreams and
few processes. Each upstream has its own loopback address.
"""

from __future__ import annotations

import json
import pathlib
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado import httpserver

from standins.engine import Engine, EngineTimes, create_engine_app
from standins.engine_orders import EngineModels, OrderOptions, OrderTarget
from standins.history import History, create_history
from standins.platform import InstanceLog, Platform, create_platform_app
from standins.service import create_service_app
from standins.upstream import Upstream, UpstreamOptions

if TYPE_CHECKING:
    import argparse

    from tornado import web

_PLATFORM_PORT: Final = 7000
_UPSTREAM_PORT: Final = 8000
_FIRST_UPSTREAM: Final = 10
_ENTRY_FIELDS: Final = ('name', 'zone', 'host', 'port', 'peer_port')
_SERVICE_S: Final = 0.04
_TOKEN_S: Final = 0.003
_STAGE_S_BY_KIND: Final = {
    'encode': 0.025,
    'retrieve': 0.03,
    'rerank': 0.035,
    'generate': 0.04,
}


@final
@dataclass(frozen=True, slots=True)
class _PoolProfile:
    name: str
    is_model: bool
    size: int
    reports_load: bool = True


@final
@dataclass(frozen=True, slots=True)
class _Profile:
    zones: tuple[str, ...]
    pools: tuple[_PoolProfile, ...]


_LAGOS = _Profile(
    ('ikeja', 'apapa', 'lekki', 'ikorodu'),
    (
        _PoolProfile('model-pool', True, 10),
        _PoolProfile('dosing-desk', False, 4, reports_load=False),
        _PoolProfile('member-portal', False, 4),
        _PoolProfile('invoice-svc', False, 4),
        _PoolProfile('audit-log', False, 4),
    ),
)
_PT_INTERIOR = _Profile(
    ('pti-a', 'pti-b', 'pti-c'),
    (
        _PoolProfile('damask-llm', True, 10),
        _PoolProfile('encomendas', False, 3, reports_load=False),
        _PoolProfile('franquia-portal', False, 3),
        _PoolProfile('faturas', False, 3),
        _PoolProfile('notificacoes', False, 3),
    ),
)
_PROFILES_BY_NAME: Final = {'lagos': _LAGOS, 'pt-interior': _PT_INTERIOR}


class _Site:
    """Starts the servers of one deployment."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._platform_host = f'{arguments.base_host}.1'
        self._instances: list[dict[str, object]] = []
        # Kept so that the servers live as long as the site.
        self._servers: list[httpserver.HTTPServer] = []

    def start(self) -> dict[str, object]:
        """Start all and return where it is."""
        profile = _PROFILES_BY_NAME[self._arguments.profile]
        number = _FIRST_UPSTREAM
        for pool in profile.pools:
            for position in range(pool.size):
                zone = profile.zones[position % len(profile.zones)]
                self._start_upstream(pool, zone, number)
                number += 1
        for line in self._arguments.entry:
            self._instances.append(_parse_entry(line))
        log = InstanceLog(self._instances, time.monotonic())
        platform = Platform(self._create_history('platform'), log)
        app = create_platform_app(platform)
        self._listen(app, self._platform_host, _PLATFORM_PORT)
        return {
            'platform_url': self._platform_url(),
            'instances': self._instances,
        }

    def _start_upstream(
        self, pool: _PoolProfile, zone: str, number: int
    ) -> None:
        name = f'{pool.name}-{number - _FIRST_UPSTREAM + 1}'
        host = f'{self._arguments.base_host}.{number}'
        options = UpstreamOptions(
            name=name,
            pool=pool.name,
            zone=zone,
            host=host,
            port=_UPSTREAM_PORT,
            cold_limit=2,
            is_cold_at_start=self._arguments.starts == 'cold',
        )
        upstream = Upstream(options, self._create_history(name))
        if pool.is_model:
            app = self._create_engine(upstream)
        else:
            seconds = _SERVICE_S * self._arguments.slowness
            app = create_service_app(upstream, seconds, pool.reports_load)
        self._listen(app, host, _UPSTREAM_PORT)
        self._instances.append(
            {
                'name': name,
                'pool': pool.name,
                'zone': zone,
                'host': host,
                'port': _UPSTREAM_PORT,
                'peer_port': 0,
                'incarnation': 1,
                'presence': 'live',
            }
        )

    def _create_engine(self, upstream: Upstream) -> web.Application:
        slowness = self._arguments.slowness
        seconds = {}
        for kind, stage_s in _STAGE_S_BY_KIND.items():
            seconds[kind] = stage_s * slowness
        times = EngineTimes(seconds, _TOKEN_S * slowness)
        orders = OrderOptions(weights_url=self._platform_url())
        models = EngineModels(orders, OrderTarget(), upstream.history)
        return create_engine_app(Engine(upstream, models, times))

    def _create_history(self, name: str) -> History:
        folder = self._arguments.history_dir
        path = str(pathlib.Path(folder) / f'{name}.jsonl') if folder else ''
        return create_history(name, path)

    def _listen(self, app: web.Application, host: str, port: int) -> None:
        server = httpserver.HTTPServer(app)
        server.listen(port, host)
        self._servers.append(server)

    def _platform_url(self) -> str:
        return f'http://{self._platform_host}:{_PLATFORM_PORT}'


def run_site(arguments: argparse.Namespace) -> None:
    """Start a deployment and print where it is, as one line of JSON."""
    site = _Site(arguments)
    sys.stdout.write(f'{json.dumps(site.start())}\n')
    sys.stdout.flush()


def _parse_entry(line: str) -> dict[str, object]:
    fields = dict(zip(_ENTRY_FIELDS, line.split(','), strict=True))
    return {
        **fields,
        'pool': 'entry',
        'port': int(fields['port']),
        'peer_port': int(fields['peer_port']),
        'incarnation': 1,
        'presence': 'live',
    }
