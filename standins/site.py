"""A whole deployment in one process: the platform and all upstreams.

It is used by the demonstration and the load tool, which need many upstreams
in few processes. Each upstream has its own loopback address. Upstreams can be
stopped and restarted, one by one or by availability zone.
"""

from __future__ import annotations

import http
import json
import pathlib
import sys
import time
from typing import TYPE_CHECKING, Final, Literal, final

import pydantic
from tornado import httpserver, web

from standins.engine import Engine, EngineTimes, create_engine_app
from standins.engine_orders import (
    EngineModels,
    OrderOptions,
    OrderTarget,
    parse_model,
)
from standins.history import History, create_history
from standins.http import JsonHandler
from standins.platform import InstanceLog, Platform, create_platform_app
from standins.service import create_service_app
from standins.site_profiles import PROFILES_BY_NAME, PoolProfile
from standins.upstream import Upstream, UpstreamOptions

if TYPE_CHECKING:
    import argparse

_PLATFORM_PORT: Final = 7000
_UPSTREAM_PORT: Final = 8000
_FIRST_UPSTREAM_OCTET: Final = 10
_MS_PER_S: Final = 1000
_ENTRY_FIELDS: Final = ('name', 'zone', 'host', 'port', 'peer_port')


@final
class SiteControl(pydantic.BaseModel):
    """A control request for one upstream by name, or for all of a zone."""

    model_config = pydantic.ConfigDict(extra='forbid')

    name: str = ''
    zone: str = ''
    action: Literal['stop', 'start-cold', 'start-warm', 'leave', 'stay']


class SiteUpstream:
    """An upstream of the site and its HTTP server."""

    def __init__(self, upstream: Upstream, app: web.Application) -> None:
        """Start the server."""
        self.upstream = upstream
        self._app = app
        self._server: httpserver.HTTPServer | None = None
        self._listen()

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        if self._server is None:
            return
        server = self._server
        self._server = None
        server.stop()
        await server.close_all_connections()

    def start(self, is_cold: bool) -> None:
        """Start the server again, under a new incarnation."""
        if self._server is not None:
            return
        self.upstream.restart(is_cold=is_cold)
        self._listen()

    def _listen(self) -> None:
        options = self.upstream.options
        self._server = httpserver.HTTPServer(self._app)
        self._server.listen(options.port, options.host)


class Site:
    """The platform and the upstreams of one deployment."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Read the options; ``start`` starts the servers."""
        self._arguments = arguments
        self._profile = PROFILES_BY_NAME[arguments.profile]
        host = f'{arguments.base_host}.1'
        self._platform_url = f'http://{host}:{_PLATFORM_PORT}'
        self._instance_log = InstanceLog([], time.monotonic())
        self._upstreams_by_name: dict[str, SiteUpstream] = {}

    def start(self) -> dict[str, object]:
        """Start all servers; return the platform's URL and the instances."""
        profile = self._profile
        number = _FIRST_UPSTREAM_OCTET
        for pool in profile.pools:
            for position in range(pool.size):
                zone = profile.zones[position % len(profile.zones)]
                self._start_upstream(pool, zone, number)
                number += 1
        instances = [
            _encode_instance(site_upstream.upstream)
            for site_upstream in self._upstreams_by_name.values()
        ]
        for line in self._arguments.entry:
            instances.append(_parse_entry(line))
        self._instance_log.replace(instances, time.monotonic())
        platform = Platform(
            self._create_history('platform'), self._instance_log
        )
        app = create_platform_app(platform)
        app.add_handlers('.*', [('/control/site', SiteHandler, {'site': self})])
        app.listen(_PLATFORM_PORT, f'{self._arguments.base_host}.1')
        return {'platform_url': self._platform_url, 'instances': instances}

    async def apply_control(self, control: SiteControl) -> int:
        """Apply the action to the matching upstreams; return their number."""
        matched = 0
        for name, site_upstream in self._upstreams_by_name.items():
            zone = site_upstream.upstream.options.zone
            if name != control.name and zone != control.zone:
                continue
            matched += 1
            await self._apply_action(site_upstream, control.action)
        return matched

    async def _apply_action(
        self, site_upstream: SiteUpstream, action: str
    ) -> None:
        name = site_upstream.upstream.options.name
        now = time.monotonic()
        site_upstream.upstream.history.record('site', action=action)
        if action in {'leave', 'stay'}:
            presence = 'leaving' if action == 'leave' else 'live'
            self._instance_log.update_instance(name, now, presence=presence)
            return
        if action == 'stop':
            await site_upstream.stop()
            return
        site_upstream.start(is_cold=action == 'start-cold')
        incarnation = site_upstream.upstream.incarnation
        self._instance_log.update_instance(
            name, now, incarnation=incarnation, presence='live'
        )

    def _start_upstream(
        self, pool: PoolProfile, zone: str, number: int
    ) -> None:
        name = f'{pool.name}-{number - _FIRST_UPSTREAM_OCTET + 1}'
        options = UpstreamOptions(
            name=name,
            pool=pool.name,
            zone=zone,
            host=f'{self._arguments.base_host}.{number}',
            port=_UPSTREAM_PORT,
            cold_limit=self._arguments.cold_limit,
            warm_limit=self._arguments.warm_limit,
            warm_after_s=self._arguments.warm_after_s,
            is_cold_at_start=self._arguments.starts == 'cold',
        )
        upstream = Upstream(options, self._create_history(name))
        app = self._create_app(pool, upstream)
        self._upstreams_by_name[name] = SiteUpstream(upstream, app)

    def _create_app(
        self, pool: PoolProfile, upstream: Upstream
    ) -> web.Application:
        arguments = self._arguments
        if not pool.is_model:
            seconds = arguments.service_ms / _MS_PER_S
            return create_service_app(upstream, seconds, pool.reports_load)
        times = read_engine_times(arguments)
        order_options = OrderOptions(
            checks_fencing=not arguments.ignores_fencing,
            weights_url=self._platform_url,
            load_s=arguments.load_s,
        )
        specs = arguments.model or self._profile.models
        target = OrderTarget(models=[parse_model(spec) for spec in specs])
        models = EngineModels(order_options, target, upstream.history)
        return create_engine_app(Engine(upstream, models, times))

    def _create_history(self, name: str) -> History:
        folder = self._arguments.history_dir
        path = str(pathlib.Path(folder) / f'{name}.jsonl') if folder else ''
        return create_history(name, path)


class SiteHandler(JsonHandler):
    """Serves control requests for upstreams of the site."""

    def initialize(self, site: Site) -> None:
        """Store the site."""
        self.site = site

    async def post(self) -> None:
        """Apply a control request and return the number of upstreams."""
        try:
            control = SiteControl.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(http.HTTPStatus.BAD_REQUEST, str(error))
            return
        self.send_json({'upstreams': await self.site.apply_control(control)})


def run_site(arguments: argparse.Namespace) -> None:
    """Start a deployment and print its addresses as one line of JSON."""
    site = Site(arguments)
    sys.stdout.write(f'{json.dumps(site.start())}\n')
    sys.stdout.flush()


def read_engine_times(arguments: argparse.Namespace) -> EngineTimes:
    """Return the processing times given on the command line."""
    seconds = {}
    for kind in ('encode', 'retrieve', 'rerank', 'generate'):
        seconds[kind] = getattr(arguments, f'{kind}_ms') / _MS_PER_S
    return EngineTimes(seconds, arguments.token_ms / _MS_PER_S)


def _encode_instance(upstream: Upstream) -> dict[str, object]:
    options = upstream.options
    return {
        'name': options.name,
        'pool': options.pool,
        'zone': options.zone,
        'host': options.host,
        'port': options.port,
        'peer_port': 0,
        'incarnation': upstream.incarnation,
        'presence': 'live',
    }


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
