"""``damaskpoint-config-check``: checks a configuration before it is sent."""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import sys
from typing import TYPE_CHECKING, Any, Final

from damaskpoint import __version__
from damaskpoint.config_check import loading
from damaskpoint.config_check.check import CheckInput, check_configuration
from damaskpoint.config_check.document import Document, create_document
from damaskpoint.config_check.limits import Figures
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.config_check.findings import Finding

_EXIT_FINDINGS: Final = 1
_EXIT_UNREADABLE: Final = 2
_EPILOG: Final = """exit status: 0 no findings, 1 findings, 2 unreadable input
or invalid arguments

example: damaskpoint-config-check new.json --store 127.0.0.1:7000"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the findings; return the exit status."""
    parsed = _create_parser().parse_args(arguments)
    given = _load(parsed)
    if isinstance(given, Failure):
        sys.stderr.write(f'{given.code.value}: {given.detail}\n')
        return _EXIT_UNREADABLE
    findings = check_configuration(given)
    sys.stdout.write(_format(findings, is_json=parsed.json))
    return _EXIT_FINDINGS if findings else 0


def _load(parsed: argparse.Namespace) -> CheckInput | Failure:
    raw = loading.load_json(parsed.file)
    if isinstance(raw, Failure):
        return raw
    in_force = _load_in_force(parsed)
    if isinstance(in_force, Failure):
        return in_force
    runner_rows = _load_runner_rows(parsed.runners)
    if isinstance(runner_rows, Failure):
        return runner_rows
    figures = Figures(
        parsed.memory_mb, parsed.retry_ratio, dict(parsed.caller_deadline)
    )
    return CheckInput(raw, in_force, runner_rows, figures)


def _load_runner_rows(name: str | None) -> dict[str, Any] | Failure | None:
    if name is None:
        return None
    raw = loading.load_json(name)
    if isinstance(raw, (dict, Failure)):
        return raw
    return Failure(Code.MESSAGE_MALFORMED, f'{name}: not an object')


def _load_in_force(parsed: argparse.Namespace) -> Document | Failure | None:
    """Read the version in force, which has to be valid."""
    if parsed.store:
        raw = asyncio.run(loading.fetch_configuration(parsed.store))
    elif parsed.against:
        raw = loading.load_json(parsed.against)
    else:
        return None
    if isinstance(raw, Failure):
        return raw
    document = create_document(raw)
    if isinstance(document, Failure):
        return Failure(document.code, f'version in force: {document.detail}')
    return document


def _format(findings: Sequence[Finding], *, is_json: bool) -> str:
    if is_json:
        rows = [finding.to_json() for finding in findings]
        return f'{json.dumps({"findings": rows}, indent=2)}\n'
    return ''.join(f'{finding.format_line()}\n' for finding in findings)


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='damaskpoint-config-check',
        description='Checks a configuration before it is sent to the store.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        'file',
        nargs='?',
        default=loading.STANDARD_INPUT,
        metavar='FILE',
        help='the configuration (JSON); standard input if absent or "-"',
    )
    in_force = parser.add_mutually_exclusive_group()
    in_force.add_argument(
        '--against', metavar='FILE', help='file with the version in force'
    )
    in_force.add_argument(
        '--store', metavar='HOST:PORT', help='store with the version in force'
    )
    parser.add_argument(
        '--runners', metavar='FILE', help='rows of the runners by id (JSON)'
    )
    _add_figures(parser)
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument('--version', action='version', version=__version__)
    return parser


def _add_figures(parser: argparse.ArgumentParser) -> None:
    """Add the figures that the configuration does not hold."""
    parser.add_argument(
        '--memory-mb',
        type=int,
        metavar='MB',
        help='memory of the smallest instance',
    )
    parser.add_argument(
        '--retry-ratio',
        type=_parse_number,
        metavar='RATIO',
        help='retries allowed, as a share of the requests of a service',
    )
    parser.add_argument(
        '--caller-deadline',
        type=_parse_deadline,
        action='append',
        default=[],
        metavar='ROUTE=MS',
        help='deadline that callers of a route send; may be repeated',
    )


def _parse_deadline(text: str) -> tuple[str, float]:
    route, separator, deadline = text.rpartition('=')
    if not separator:
        raise argparse.ArgumentTypeError(f'not ROUTE=MS: {text}')
    return route, _parse_number(deadline)


def _parse_number(text: str) -> float:
    """Parse a number from 0 on."""
    try:
        number = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f'not a number: {text}') from None
    if number < 0 or not math.isfinite(number):
        raise argparse.ArgumentTypeError(f'out of range: {text}')
    return number


if __name__ == '__main__':
    sys.exit(main())
