"""Command-line arguments shared by the binaries that run on an instance."""

from __future__ import annotations

import argparse
import pathlib
from typing import TYPE_CHECKING

from damaskpoint import __version__
from damaskpoint.errors import Failure
from damaskpoint.settings import check_settings, load_options, report_invalid

if TYPE_CHECKING:
    from damaskpoint.settings import Options


def add_instance_arguments(parser: argparse.ArgumentParser) -> None:
    """Add ``--version``, ``--settings`` and ``--check-settings``."""
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        metavar='FILE',
        help='settings file of the instance (JSON with comments)',
    )
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='validate the settings file, report errors and exit',
    )


def read_options(arguments: argparse.Namespace) -> Options | int:
    """Return the options to run with, or the exit status.

    An exit status is returned if the settings are invalid or were only to be
    checked.
    """
    if arguments.check_settings:
        return check_settings(arguments.settings)
    options = load_options(arguments.settings)
    if isinstance(options, Failure):
        return report_invalid(options)
    return options
