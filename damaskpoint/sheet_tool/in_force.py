"""Waits until a change is in force and adds the result to its report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure
from damaskpoint.sheet_tool.report import ExitCode, Report
from damaskpoint.sheet_tool.waiting import Progress, wait_until_in_force

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.sheet_tool.handover import Handover
    from damaskpoint.sheet_tool.tool import Tool


@final
@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Options of the commands that change the configuration."""

    # Timeouts in seconds: for calls to the platform with their retries, and
    # for waiting until the change is in force (0 does not wait).
    platform_s: float
    wait_s: float
    # The change is refused if another version is accepted; None for any.
    expected_version: int | None
    # Whether zones that are out may be brought back by the sheet.
    may_return_zones: bool
    show_progress: Callable[[Progress], None]


def report_handover(report: Report, handover: Handover) -> None:
    """Add the number of entries that took the version from the tool.

    If there are none, an outage of the platform could keep the version from
    every entry, so the command does not succeed even if it does not wait.
    """
    report.content['handed_over'] = handover.delivered_count
    if not handover.listed_count:
        return
    if handover.delivered_count:
        report.lines.append(
            f'Handed over to {handover.delivered_count} of '
            f'{handover.listed_count} entries.'
        )
        return
    report.exit_code = ExitCode.NOT_IN_FORCE
    report.lines.append('No entry has taken the version from this command.')


async def finish_change(
    tool: Tool, version: int, options: ApplyOptions, report: Report
) -> Report:
    """Wait as the options require and add the result to the report."""
    if not options.wait_s:
        return report
    progress = await wait_until_in_force(
        tool,
        version,
        tool.start_backoff(options.wait_s),
        options.show_progress,
    )
    report.content['in_force'] = progress.in_force_count
    report.content['entries'] = len(progress.replies)
    if progress.is_everywhere:
        report.exit_code = ExitCode.DONE
    if progress.is_everywhere and not progress.replies:
        report.lines.append('There are no live entries.')
        return report
    if progress.is_everywhere:
        count = len(progress.replies)
        report.lines.append(
            f'Version {version} is in force at all {count} live entries.'
        )
        return report
    report.exit_code = ExitCode.NOT_IN_FORCE
    report.lines.append(
        f'Version {version} is accepted, but not confirmed in force everywhere:'
    )
    report.lines.extend(_list_missing(progress))
    return report


def _list_missing(progress: Progress) -> list[str]:
    if progress.failure:
        return [f'  list of instances: {progress.failure.detail}']
    lines = []
    for reply in progress.replies:
        if reply.has_version(progress.version):
            continue
        if isinstance(reply.result, Failure):
            lines.append(f'  {reply.entry.name}: {reply.result.detail}')
            continue
        seen = reply.result.version
        lines.append(f'  {reply.entry.name}: version {seen}')
    return lines
