"""Command-line arguments shared by the binaries that run on an instance."""

from __future__ import annotations

import argparse
import pathlib

from damaskpoint import __version__


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
