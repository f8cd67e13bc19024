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

_PLATFORM_S: Final = 20.0
_WAIT_S: Final = 30.0
_EPILOG: Final = """\
start here:
  damaskpoint-sheet check sheet.csv               is the sheet right?
  damaskpoint-sheet plan sheet.csv --settings S   what would change?
  damaskpoint-sheet apply sheet.csv --settings S  accept it, and wait
  damaskpoint-sheet status --settings S           what is in force where?
  damaskpoint-sheet zone out NAME --settings S    no new work in a zone

exit codes:
  0 done                     5 nothing was changed; may be repeated
  1 internal error           6 unknown whether it was accepted: see status
  2 wrong command line       7 accepted, not yet in force at every entry
  3 faults in the sheet      8 the sheet would bring back a zone that is out
  4 another operator was first; nothing of this sheet was applied

docs/SHEET.md describes the sheet's sections and columns."""


def parse_arguments(words: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line; a wrong one ends the process."""
    parser = create_parser()
    arguments = parser.parse_args(words)
    if arguments.command is None and not arguments.check_settings:
        parser.error('name a command, or see --help')
    return arguments


def choose_platform(
    arguments: argparse.Namespace,
) -> PlatformOptions | Failure:
    """Return the platform's options of the settings file or the flags."""
    if arguments.settings:
        return load_platform_options(arguments.settings)
    return PlatformOptions(store_url=arguments.store_url)


def create_parser() -> argparse.ArgumentParser:
    """Return the parser, with a help text for newcomers."""
    parser = argparse.ArgumentParser(
        prog='damaskpoint-sheet',
        description="Bring the planners' sheet into force.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = metadata.version('damaskpoint')
    parser.add_argument('--version', action='version', version=version)
    parser.add_argument(
        '--check-settings',
        type=pathlib.Path,
        metavar='FILE',
        help='validate a settings file and end',
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
    apply = commands.add_parser(
        'apply',
        help='accept a sheet and wait until it is in force',
        parents=[sheet, platform, change, report],
    )
    _add_conditions(apply)
    commands.add_parser(
        'status', help='show what is in force', parents=[platform, report]
    )
    zone = commands.add_parser(
        'zone',
        help='take a zone out, or bring it back in',
        parents=[platform, change, report],
    )
    zone.add_argument('state', choices=('out', 'in'))
    zone.add_argument('name', metavar='NAME')


def _add_conditions(apply: argparse.ArgumentParser) -> None:
    apply.add_argument(
        '--expect-version',
        type=int,
        metavar='N',
        help='apply only if version N, as plan showed it, is still accepted',
    )
    apply.add_argument(
        '--return-zones',
        action='store_true',
        help='bring back zones that are out now and in in the sheet',
    )


def _create_report_parent() -> argparse.ArgumentParser:
    parent = argparse.ArgumentParser(add_help=False)
    parent.add_argument(
        '--json', action='store_true', help='report as one JSON object'
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
        help='settings file; its section `platform` is used',
    )
    source.add_argument(
        '--store-url', metavar='URL', help="base URL of the platform's store"
    )
    parent.add_argument(
        '--platform-s',
        type=float,
        default=_PLATFORM_S,
        metavar='SECONDS',
        help='how long to ask a platform that does not answer (%(default)s)',
    )
    return parent


def _create_change_parent() -> argparse.ArgumentParser:
    parent = argparse.ArgumentParser(add_help=False)
    parent.add_argument(
        '--wait-s',
        type=float,
        default=_WAIT_S,
        metavar='SECONDS',
        help='how long to wait until it is in force everywhere (%(default)s); '
        '0 does not wait',
    )
    return parent
