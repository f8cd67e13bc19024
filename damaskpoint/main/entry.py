"""``damaskpoint-entry``: serves requests of callers on an instance."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from typing import TYPE_CHECKING, Final

from damaskpoint.entry.runtime import create_runtime
from damaskpoint.main.common_arguments import add_instance_arguments
from damaskpoint.main.instance_options import read_options
from damaskpoint.observe.logs import set_up_logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.settings import Options

_NAME: Final = 'damaskpoint-entry'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry until SIGTERM or SIGINT; return the exit status."""
    options = read_options(_create_parser().parse_args(arguments))
    if isinstance(options, int):
        return options
    set_up_logs(options.log, _NAME)
    asyncio.run(_serve(options))
    return 0


async def _serve(options: Options) -> None:
    runtime = create_runtime(options)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, runtime.begin_shutdown)
    await runtime.run()


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=_NAME,
        description='Serves requests to pipelines and services.',
        epilog='Exit status: 0 after a shutdown, 1 for invalid settings.',
    )
    add_instance_arguments(parser)
    return parser


if __name__ == '__main__':
    sys.exit(main())
