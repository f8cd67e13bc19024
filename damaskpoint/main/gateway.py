"""``damaskpoint-gateway``: forwards requests on the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys
from typing import TYPE_CHECKING, Final

from damaskpoint.errors import Failure
from damaskpoint.gateway.options import load_gateway_options
from damaskpoint.gateway.wiring import create_gateway
from damaskpoint.main.common_arguments import add_instance_arguments
from damaskpoint.observe.bounded_log import set_up_bounded_logs
from damaskpoint.settings_base import report_invalid

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.gateway.options import GatewayOptions

_NAME: Final = 'damaskpoint-gateway'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a gateway until SIGTERM or SIGINT; return the exit status."""
    parsed = _create_parser().parse_args(arguments)
    options = load_gateway_options(parsed.settings)
    if isinstance(options, Failure):
        return report_invalid(options)
    if parsed.check_settings:
        sys.stdout.write(f'{parsed.settings.name} is valid.\n')
        return 0
    set_up_bounded_logs(options.log.level, _NAME)
    asyncio.run(_serve(options, parsed.settings))
    return 0


async def _serve(options: GatewayOptions, path: pathlib.Path) -> None:
    runtime = create_gateway(options)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, runtime.begin_shutdown)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: runtime.log_reload(load_gateway_options(path))
    )
    await runtime.run()


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=_NAME,
        description='Forwards requests and their stages to runners.',
        epilog='Exit status: 0 after a shutdown, 1 for invalid settings.',
    )
    add_instance_arguments(parser)
    return parser


if __name__ == '__main__':
    sys.exit(main())
