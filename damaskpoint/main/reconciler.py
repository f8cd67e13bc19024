"""``damaskpoint-reconciler``: brings engines into line with the sheet."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from typing import TYPE_CHECKING, Final

from tornado.httpclient import AsyncHTTPClient

from damaskpoint.config.follower import create_follower
from damaskpoint.main.common_arguments import (
    add_instance_arguments,
    read_options,
)
from damaskpoint.observe.logs import set_up_logs
from damaskpoint.observe.operator_app import create_operator_app
from damaskpoint.observe.state import StateRegistry
from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.platform.store_table import StoreObjects, StoreTable
from damaskpoint.reconcile.engine_client import create_engine_client
from damaskpoint.reconcile.process import (
    ReconcilerDependencies,
    ReconcilerProcess,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.settings import Options

_NAME: Final = 'damaskpoint-reconciler'
_MAX_CALLS_AT_ONCE: Final = 64
_EPILOG: Final = """\
It runs on every instance. For each pool of engines one of them holds the
lease and gives the orders; the others stand by. SIGTERM ends it once its
orders are done. docs/design/orders.md describes what it promises."""


def main(words: Sequence[str] | None = None) -> int:
    """Run until SIGTERM; return the exit code."""
    options = read_options(_create_parser().parse_args(words))
    if isinstance(options, int):
        return options
    set_up_logs(options.log, _NAME)
    asyncio.run(_run(options))
    return 0


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=_NAME,
        description='Give engines the orders that the accepted sheet asks for.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_instance_arguments(parser)
    return parser


async def _run(options: Options) -> None:
    parts = _create_parts(options)
    process = ReconcilerProcess(parts)
    app = create_operator_app(process, parts.registry, parts.clock)
    app.listen(options.reconciler.operator_port, options.instance.host)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    tasks = (
        asyncio.create_task(parts.follower.run(parts.clock)),
        asyncio.create_task(process.run()),
        asyncio.create_task(stopped.wait()),
    )
    # A part that fails ends the process, so that it is seen and replaced.
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    await process.stop()
    for task in done:
        task.result()
    for task in tasks:
        task.cancel()


def _create_parts(options: Options) -> ReconcilerDependencies:
    client = AsyncHTTPClient(
        force_instance=True, max_clients=_MAX_CALLS_AT_ONCE
    )
    store = create_store(options.platform.store_url, options.platform.timeout_s)
    table = StoreTable(store)
    follower = create_follower(table, StoreObjects(store), options.platform)
    registry = StateRegistry()
    registry.register('configuration', follower)
    return ReconcilerDependencies(
        options=options,
        table=table,
        instances=StoreInstances(store),
        follower=follower,
        client=create_engine_client(
            client,
            options.platform.timeout_s,
            options.reconciler.order_timeout_s,
        ),
        registry=registry,
        clock=time.monotonic,
    )


if __name__ == '__main__':
    sys.exit(main())
