"""Runs one stand-in, or a site of them: ``python -m standins.main ROLE``."""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import signal
import time
from typing import TYPE_CHECKING

from tornado import httpserver

from standins.commands import create_parser
from standins.engine import Engine, create_engine_app
from standins.engine_orders import (
    EngineModels,
    OrderOptions,
    OrderTarget,
    parse_model,
)
from standins.history import create_history
from standins.platform import InstanceLog, Platform, create_platform_app
from standins.service import create_service_app
from standins.site import read_engine_times, run_site
from standins.upstream import Upstream, UpstreamOptions

if TYPE_CHECKING:
    import argparse

    from tornado import web

_MS_PER_S = 1000


def main() -> None:
    """Run the role given on the command line until SIGTERM or SIGINT."""
    arguments = create_parser().parse_args()
    # Refused requests are expected here, and the history records them.
    logging.getLogger('tornado.access').setLevel(logging.ERROR)
    asyncio.run(_serve(arguments))


async def _serve(arguments: argparse.Namespace) -> None:
    if arguments.role == 'site':
        run_site(arguments)
    else:
        server = httpserver.HTTPServer(_create_app(arguments))
        server.listen(arguments.port, arguments.host)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    await stopped.wait()


def _create_app(arguments: argparse.Namespace) -> web.Application:
    if arguments.role == 'platform':
        return _create_platform(arguments)
    if arguments.role == 'engine':
        return _create_engine(arguments)
    return _create_service(arguments)


def _create_platform(
    arguments: argparse.Namespace,
) -> web.Application:
    instances = []
    if arguments.instances:
        instances_json = pathlib.Path(arguments.instances).read_text(
            encoding='utf-8'
        )
        instances = json.loads(instances_json)
    history = create_history('platform', arguments.history)
    log = InstanceLog(instances, time.monotonic())
    return create_platform_app(Platform(history, log))


def _create_upstream(arguments: argparse.Namespace) -> Upstream:
    options = UpstreamOptions(
        name=arguments.name,
        pool=arguments.pool,
        zone=arguments.zone,
        host=arguments.host,
        port=arguments.port,
        cold_limit=arguments.cold_limit,
        warm_limit=arguments.warm_limit,
        warm_after_s=arguments.warm_after_s,
        warm_after_calls=arguments.warm_after_calls,
        is_cold_at_start=arguments.starts == 'cold',
        incarnation=arguments.incarnation,
        load_lag_s=arguments.load_lag_s,
    )
    history = create_history(arguments.name, arguments.history)
    return Upstream(options, history)


def _create_engine(arguments: argparse.Namespace) -> web.Application:
    upstream = _create_upstream(arguments)
    order_options = OrderOptions(
        checks_fencing=not arguments.ignores_fencing,
        weights_url=arguments.platform_url,
        load_s=arguments.load_s,
    )
    target = OrderTarget(
        role=arguments.role_at_start,
        models=[
            parse_model(instances_json) for instances_json in arguments.model
        ],
    )
    models = EngineModels(order_options, target, upstream.history)
    times = read_engine_times(arguments)
    return create_engine_app(Engine(upstream, models, times))


def _create_service(arguments: argparse.Namespace) -> web.Application:
    upstream = _create_upstream(arguments)
    service_s = arguments.service_ms / _MS_PER_S
    return create_service_app(upstream, service_s, not arguments.no_load)


if __name__ == '__main__':
    main()
