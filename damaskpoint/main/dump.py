"""``damaskpoint-dump``: prints the state or the metrics of a process."""

from __future__ import annotations

import argparse
import asyncio
import ipaddress
import json
import sys
from typing import TYPE_CHECKING, Final

from damaskpoint import __version__, defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import Address
from damaskpoint.observe import dump_fetch
from damaskpoint.observe.table_text import format_table

if TYPE_CHECKING:
    from collections.abc import Sequence

_EXIT_CODES: Final = {
    Code.PEER_UNREACHABLE: 3,
    Code.UNKNOWN_PATH: 4,
    Code.MESSAGE_MALFORMED: 5,
}
_EPILOG: Final = """exit status: 0 success, 2 invalid arguments, 3 no response,
4 unknown part, 5 malformed response

example: damaskpoint-dump 127.0.0.1:8081 --part membership --table"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the state of a process; return the exit status."""
    parsed = _create_parser().parse_args(arguments)
    result = asyncio.run(_fetch_text(parsed))
    if isinstance(result, Failure):
        sys.stderr.write(f'{result.code.value}: {result.detail}\n')
        return _EXIT_CODES[result.code]
    sys.stdout.write(result)
    return 0


async def _fetch_text(parsed: argparse.Namespace) -> str | Failure:
    """Fetch the state or the metrics and return them as text."""
    if parsed.metrics:
        return await dump_fetch.fetch_metrics(parsed.address, parsed.timeout_s)
    state = await dump_fetch.fetch_state(
        parsed.address, parsed.part, parsed.timeout_s
    )
    if isinstance(state, Failure):
        return state
    if parsed.table:
        return format_table(state)
    return f'{json.dumps(state, indent=2)}\n'


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='damaskpoint-dump',
        description='Prints the state of a process from its operator port.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        'address',
        type=_parse_address,
        metavar='HOST:PORT',
        help='IP address and operator port of the process',
    )
    parser.add_argument(
        '--part', default='', metavar='NAME', help='show only this part'
    )
    output_format = parser.add_mutually_exclusive_group()
    output_format.add_argument(
        '--json', action='store_true', help='print JSON (default)'
    )
    output_format.add_argument(
        '--table', action='store_true', help='print tables'
    )
    output_format.add_argument(
        '--metrics',
        action='store_true',
        help='print the metrics in the Prometheus text format instead',
    )
    parser.add_argument(
        '--timeout-s',
        type=float,
        default=defaults.DUMP_TIMEOUT_S,
        metavar='SECONDS',
        help='timeout of the request (default: %(default)s)',
    )
    parser.add_argument('--version', action='version', version=__version__)
    return parser


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None
    if not port.isdecimal() or not 0 < int(port) <= defaults.MAX_PORT:
        raise argparse.ArgumentTypeError(f'invalid port: {port}')
    return Address(host, int(port))


if __name__ == '__main__':
    sys.exit(main())
