"""Writes a command's report, and its progress on a terminal."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.sheet_tool.report import Report
    from damaskpoint.sheet_tool.waiting import Progress


def write_report(report: Report, as_json: bool) -> None:
    """Write the report to the standard output, whole."""
    if as_json:
        content = {'exit_code': int(report.exit_code), **report.content}
        sys.stdout.write(f'{json.dumps(content)}\n')
        return
    for line in report.lines:
        sys.stdout.write(f'{line}\n')


def show_progress(progress: Progress) -> None:
    """Show on a terminal how many entries have the version in force."""
    if not sys.stderr.isatty():
        return
    count = len(progress.answers)
    sys.stderr.write(
        f'\rversion {progress.version}: in force at '
        f'{progress.in_force_count} of {count} entries '
    )
    if progress.is_everywhere:
        sys.stderr.write('\n')
    sys.stderr.flush()
