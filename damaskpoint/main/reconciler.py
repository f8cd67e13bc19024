"""``damaskpoint-reconciler``: brings engines to their configured state."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from typing import TYPE_CHECKING, Final

from damaskpoint.config.follower import create_follower
from damaskpoint.forwarding.report_client import create_report_client
from damaskpoint.main.common_arguments import add_instance_arguments
from damaskpoint.main.instance_options import read_options
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
_MAX_CONCURRENT_CALLS: Final = 64
_EPILOG: Final = """\
A reconciler runs on every instance. For each pool of engines, one of them
holds the lease and sends the orders; the others are standbys. On SIGTERM it
exits once its orders are done. docs/design/orders.md lists its guarantees."""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a reconciler until SIGTERM or SIGINT; return the exit status."""
    options = read_options(_create_parser().parse_args(arguments))
    if isinstance(options, int):
        return options
    set_up_logs(options.log, _NAME)
    asyncio.run(_run(options))
    return 0


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=_NAME,
        description='Sends engines the orders required by the accepted sheet.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_instance_arguments(parser)
    return parser


async def _run(options: Options) -> None:
    dependencies = _create_dependencies(options)
    process = ReconcilerProcess(dependencies)
    app = create_operator_app(
        process, dependencies.registry, dependencies.clock
    )
    app.listen(options.reconciler.operator_port, options.instance.host)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    tasks = (
        asyncio.create_task(dependencies.follower.run(dependencies.clock)),
        asyncio.create_task(process.run()),
        asyncio.create_task(stop_requested.wait()),
    )
    # A failed task ends the process, so that the failure is noticed and the
    # process replaced.
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    await process.stop()
    for task in done:
        task.result()
    for task in tasks:
        task.cancel()


def _create_dependencies(options: Options) -> ReconcilerDependencies:
    client = create_report_client(_MAX_CONCURRENT_CALLS)
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
