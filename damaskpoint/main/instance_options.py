"""Reads the settings of the binaries that share an instance's file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.errors import Failure
from damaskpoint.settings import check_settings, load_options
from damaskpoint.settings_base import report_invalid

if TYPE_CHECKING:
    import argparse

    from damaskpoint.settings import Options


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
