"""The command line of ``damaskpoint-sheet``."""

from __future__ import annotations

import argparse
import pathlib
from importlib import metadata
from typing import TYPE_CHECKING, Final

from damaskpoint.errors import Failure
from damaskpoint.settings import PlatformOptions, load_platform_options

if TYPE_CHECKING:
    from collections.abc import Sequence

_DEFAULT_PLATFORM_S: Final = 20.0
_DEFAULT_WAIT_S: Final = 30.0
_EPILOG: Final = """\
examples:
  damaskpoint-sheet check sheet.csv               validate a sheet
  damaskpoint-sheet plan sheet.csv --settings S   show what would change
  damaskpoint-sheet apply sheet.csv --settings S  accept a sheet and wait
  damaskpoint-sheet status --settings S           show what is in force
  damaskpoint-sheet zone out NAME --settings S    stop new work in a zone

exit codes:
  0 success                  5 nothing was changed; safe to retry
  1 internal error           6 unknown whether it was accepted: run status
  2 invalid command line     7 accepted, not yet in force at every entry
  3 faults in the sheet      8 the sheet would bring back a zone that is out
  4 another change was accepted first; nothing of this sheet was applied

docs/SHEET.md describes the sheet's sections and columns."""


def parse_arguments(argv: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line; exit if it is invalid."""
    parser = create_parser()
    arguments = parser.parse_args(argv)
    if arguments.command is None and not arguments.check_settings:
        parser.error('a command is required; see --help')
    return arguments


def read_platform_options(
    arguments: argparse.Namespace,
) -> PlatformOptions | Failure:
    """Return the platform options from the settings file or the flags."""
    if arguments.settings:
        return load_platform_options(arguments.settings)
    return PlatformOptions(store_url=arguments.store_url)


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='damaskpoint-sheet',
        description="Checks and applies the planners' sheet.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = metadata.version('damaskpoint')
    parser.add_argument('--version', action='version', version=version)
    parser.add_argument(
        '--check-settings',
        type=pathlib.Path,
        metavar='FILE',
        help='validate a settings file and exit',
    )
    _add_commands(parser)
    return parser


def _add_commands(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(dest='command', metavar='COMMAND')
    report = _create_report_parent()
    sheet = _create_sheet_parent()
    platform = _create_platform_parent()
    change = _create_change_parent()
    commands.add_parser(
        'check', help='list the faults of a sheet', parents=[sheet, report]
    )
    commands.add_parser(
        'plan',
        help='show what a sheet would change',
        parents=[sheet, platform, report],
    )
    apply_parser = commands.add_parser(
        'apply',
        help='accept a sheet and wait until it is in force',
        parents=[sheet, platform, change, report],
    )
    _add_preconditions(apply_parser)
    commands.add_parser(
        'status', help='show what is in force', parents=[platform, report]
    )
    zone_parser = commands.add_parser(
        'zone',
        help='take a zone out or bring it back in',
        parents=[platform, change, report],
    )
    zone_parser.add_argument('state', choices=('out', 'in'))
    zone_parser.add_argument('name', metavar='NAME')


def _add_preconditions(apply_parser: argparse.ArgumentParser) -> None:
    apply_parser.add_argument(
        '--expect-version',
        type=int,
        metavar='N',
        help='apply only if the accepted version is still N, as shown by plan',
    )
    apply_parser.add_argument(
        '--return-zones',
        action='store_true',
        help='bring back zones that are out now but in according to the sheet',
    )


def _create_report_parent() -> argparse.ArgumentParser:
    parent = argparse.ArgumentParser(add_help=False)
    parent.add_argument(
        '--json',
        action='store_true',
        help='print the report as one JSON object',
    )
    return parent


def _create_sheet_parent() -> argparse.ArgumentParser:
    parent = argparse.ArgumentParser(add_help=False)
    parent.add_argument('sheet', type=pathlib.Path, metavar='FILE')
    return parent


def _create_platform_parent() -> argparse.ArgumentParser:
    parent = argparse.ArgumentParser(add_help=False)
    source = parent.add_mutually_exclusive_group(required=True)
    source.add_argument(
        '--settings',
        type=pathlib.Path,
        metavar='FILE',
        help='settings file of which the section `platform` is used',
    )
    source.add_argument(
        '--store-url', metavar='URL', help="base URL of the platform's store"
    )
    parent.add_argument(
        '--platform-s',
        type=float,
        default=_DEFAULT_PLATFORM_S,
        metavar='SECONDS',
        help='how long to retry an unavailable platform (%(default)s)',
    )
    return parent


def _create_change_parent() -> argparse.ArgumentParser:
    parent = argparse.ArgumentParser(add_help=False)
    parent.add_argument(
        '--wait-s',
        type=float,
        default=_DEFAULT_WAIT_S,
        metavar='SECONDS',
        help='how long to wait until it is in force everywhere (%(default)s); '
        '0 to return at once',
    )
    return parent
