"""The reports and exit codes of ``damaskpoint-sheet``."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure, Ran

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.config.diff import Change
    from damaskpoint.config.sheet_text import SheetFault


@final
class ExitCode(enum.IntEnum):
    """Exit codes for scripts; docs/SHEET.md lists them."""

    DONE = 0
    FAILED = 1
    # argparse exits with 2 on an invalid command line.
    USAGE = 2
    SHEET_INVALID = 3
    OVERTAKEN = 4
    NOT_APPLIED = 5
    OUTCOME_UNKNOWN = 6
    NOT_IN_FORCE = 7
    ZONE_WOULD_RETURN = 8


@final
@dataclass(slots=True)
class Report:
    """The result of a command: lines for people and data for scripts."""

    exit_code: ExitCode
    lines: list[str] = field(default_factory=list)
    content: dict[str, object] = field(default_factory=dict)


def report_failure(failure: Failure) -> Report:
    """Return the report of a command that failed."""
    exit_code = ExitCode.NOT_APPLIED
    if failure.ran is Ran.UNKNOWN:
        exit_code = ExitCode.OUTCOME_UNKNOWN
    title = failure.kind.title
    return Report(
        exit_code,
        [f'{title} {failure.detail}'.strip(), _ADVICE_BY_EXIT_CODE[exit_code]],
        {
            'result': failure.code.value,
            'ran': failure.ran.value,
            'detail': failure.detail,
        },
    )


def report_faults(name: str, faults: Sequence[SheetFault]) -> Report:
    """Return the report of a sheet that is rejected because of faults."""
    report = Report(ExitCode.SHEET_INVALID)
    listed: list[object] = []
    for fault in faults:
        report.lines.append(f'{name}:{fault.line}:{fault.column}: {fault.text}')
        listed.append(
            {'line': fault.line, 'column': fault.column, 'text': fault.text}
        )
    report.lines.append(f'{len(faults)} faults; nothing was applied.')
    report.content = {'result': 'sheet_invalid', 'faults': listed}
    return report


def list_changes(changes: Sequence[Change]) -> list[dict[str, str]]:
    """Return changes as JSON-serializable data."""
    listed = []
    for change in changes:
        listed.append(
            {
                'change': change.kind.value,
                'section': change.section,
                'name': change.name,
                'field': change.field,
                'old': change.old,
                'new': change.new,
            }
        )
    return listed


def format_table(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return rows as lines with aligned columns."""
    if not rows:
        return []
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = []
        for cell, width in zip(row, widths, strict=True):
            cells.append(cell.ljust(width))
        lines.append('  '.join(cells).rstrip())
    return lines


def format_changes(changes: Sequence[Change]) -> list[str]:
    """Return changes as a table, or a line that states there are none."""
    if not changes:
        return ['Nothing changes.']
    rows = [('change', 'section', 'name', 'field', 'old', 'new')]
    for change in changes:
        rows.append(
            (
                change.kind.value,
                change.section,
                change.name,
                change.field,
                change.old,
                change.new,
            )
        )
    return format_table(rows)


_ADVICE_BY_EXIT_CODE: dict[ExitCode, str] = {
    ExitCode.NOT_APPLIED: 'Nothing was changed; the command is safe to retry.',
    ExitCode.OUTCOME_UNKNOWN: (
        'It is unknown whether the change was accepted: run `status`, then '
        'retry the command if the change is missing.'
    ),
}
