"""``damaskpoint-entry``: takes callers' requests on one instance."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys
from typing import TYPE_CHECKING, Final

import damaskpoint
from damaskpoint.entry.runtime import create_runtime
from damaskpoint.errors import Failure
from damaskpoint.observe.logs import set_up_logs
from damaskpoint.settings import EXIT_SETTINGS, check_settings, load_options

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.settings import Options

_NAME: Final = 'damaskpoint-entry'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry until SIGTERM or SIGINT; return the exit status."""
    parsed = _create_parser().parse_args(arguments)
    if parsed.check_settings:
        return check_settings(parsed.settings)
    options = load_options(parsed.settings)
    if isinstance(options, Failure):
        sys.stderr.write(f'{options.code.value}\n{options.detail}\n')
        return EXIT_SETTINGS
    set_up_logs(options.log, _NAME)
    asyncio.run(_serve(options))
    return 0


async def _serve(options: Options) -> None:
    runtime = create_runtime(options)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, runtime.begin_shutdown)
    await runtime.run()


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=_NAME,
        description='Takes requests to pipelines and services and runs them.',
        epilog='Exit status: 0 after a shutdown, 1 for invalid settings.',
    )
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        metavar='FILE',
        help='settings in JSON with comments',
    )
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='check the settings, say what is wrong with them, and end',
    )
    parser.add_argument(
        '--version', action='version', version=damaskpoint.__version__
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
