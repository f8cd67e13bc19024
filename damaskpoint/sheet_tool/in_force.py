"""The end of a change: waiting until it is in force, and telling so."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure
from damaskpoint.sheet_tool.report import ExitCode, Report
from damaskpoint.sheet_tool.waiting import Progress, wait_in_force

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.sheet_tool.spread import Spread
    from damaskpoint.sheet_tool.tool import Tool


@final
@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """How a change is made."""

    # Bound on the platform's answers, and on waiting until it is in force.
    platform_s: float
    wait_s: float
    # The change is refused if another version is accepted; None for any.
    expected_version: int | None
    # Whether zones that are out now and in in the sheet come back.
    may_return_zones: bool
    show_progress: Callable[[Progress], None]


def report_spread(report: Report, spread: Spread) -> None:
    """Tell how many entries have the version from the tool itself.

    With none of them, an outage of the platform from now on would keep the
    version from all: that is no success, also without waiting.
    """
    report.content['handed_over'] = spread.held_count
    if not spread.listed_count:
        return
    if spread.held_count:
        report.lines.append(
            f'Handed to {spread.held_count} of {spread.listed_count} entries.'
        )
        return
    report.exit_code = ExitCode.NOT_IN_FORCE
    report.lines.append('No entry has taken it from this command.')


async def finish_change(
    tool: Tool, version: int, options: ApplyOptions, report: Report
) -> Report:
    """Wait as the options say and add the result to the report."""
    if not options.wait_s:
        return report
    progress = await wait_in_force(
        tool,
        version,
        tool.start_patience(options.wait_s),
        options.show_progress,
    )
    report.content['in_force'] = progress.in_force_count
    report.content['entries'] = len(progress.answers)
    if progress.is_everywhere:
        report.exit_code = ExitCode.DONE
    if progress.is_everywhere and not progress.answers:
        report.lines.append('No live entry is listed.')
        return report
    if progress.is_everywhere:
        count = len(progress.answers)
        report.lines.append(
            f'Version {version} is in force at all {count} live entries.'
        )
        return report
    report.exit_code = ExitCode.NOT_IN_FORCE
    report.lines.append(
        f'Version {version} is accepted, but not yet seen in force everywhere:'
    )
    report.lines.extend(_list_missing(progress))
    return report


def _list_missing(progress: Progress) -> list[str]:
    if progress.failure:
        return [f'  the list of instances: {progress.failure.detail}']
    lines = []
    for answer in progress.answers:
        if answer.has_version(progress.version):
            continue
        if isinstance(answer.answer, Failure):
            lines.append(f'  {answer.entry.name}: {answer.answer.detail}')
            continue
        seen = answer.answer.version
        lines.append(f'  {answer.entry.name}: version {seen}')
    return lines
