"""Writes the report of a command, and its progress to a terminal."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.sheet_tool.report import Report
    from damaskpoint.sheet_tool.waiting import Progress


def write_report(report: Report, as_json: bool) -> None:
    """Write the report to standard output.

    A reader that closes the pipe early, such as ``head``, is not an error.
    """
    lines = report.lines
    if as_json:
        content = {'exit_code': int(report.exit_code), **report.content}
        lines = [json.dumps(content)]
    text = ''.join(f'{line}\n' for line in lines)
    try:
        _write_and_flush(text)
    except BrokenPipeError:
        # Otherwise the flush at interpreter exit would fail again.
        null_descriptor = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null_descriptor, sys.stdout.fileno())


def _write_and_flush(text: str) -> None:
    sys.stdout.write(text)
    sys.stdout.flush()


def show_progress(progress: Progress) -> None:
    """Show on a terminal how many entries have the version in force."""
    if not sys.stderr.isatty():
        return
    count = len(progress.replies)
    sys.stderr.write(
        f'\rversion {progress.version}: in force at '
        f'{progress.in_force_count} of {count} entries '
    )
    if progress.is_everywhere:
        sys.stderr.write('\n')
    sys.stderr.flush()
