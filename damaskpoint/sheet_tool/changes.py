"""The commands that change the accepted configuration, or would."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.config.diff import Change, compare
from damaskpoint.config.model import Configuration
from damaskpoint.config.sheet import read_sheet
from damaskpoint.errors import Failure
from damaskpoint.sheet_tool.acceptance import Accepted, Overtaken
from damaskpoint.sheet_tool.in_force import (
    ApplyOptions,
    finish_change,
    report_spread,
)
from damaskpoint.sheet_tool.report import (
    ExitCode,
    Report,
    list_changes,
    report_failure,
    report_faults,
    tabulate_changes,
)
from damaskpoint.sheet_tool.spread import accept_and_spread

if TYPE_CHECKING:
    from damaskpoint.sheet_tool.tool import Tool


def check_sheet(name: str, body: bytes) -> Configuration | Report:
    """Return the configuration of a sheet, or the report of its faults."""
    configuration = read_sheet(body)
    if isinstance(configuration, Configuration):
        return configuration
    return report_faults(name, configuration)


async def plan(
    tool: Tool, configuration: Configuration, platform_s: float
) -> Report:
    """Show what applying a configuration would change."""
    accepted = await tool.acceptor.read(tool.start_patience(platform_s))
    if isinstance(accepted, Failure):
        return report_failure(accepted)
    changes = compare(accepted.configuration, configuration)
    report = Report(ExitCode.DONE, tabulate_changes(changes))
    report.lines.insert(0, f'Against version {accepted.version}:')
    report.content = {
        'result': 'planned',
        'version': accepted.version,
        'changes': list_changes(changes),
    }
    for zone in _returning_zones(accepted, configuration):
        report.lines.append(
            f'Zone {zone} would come back; apply needs --return-zones.'
        )
    return report


async def apply(
    tool: Tool, configuration: Configuration, options: ApplyOptions
) -> Report:
    """Accept a configuration and wait until it is in force everywhere."""
    patience = tool.start_patience(options.platform_s)
    base = await tool.acceptor.read(patience)
    if isinstance(base, Failure):
        return report_failure(base)
    refusal = _refuse(base, configuration, options)
    if refusal:
        return refusal
    changes = compare(base.configuration, configuration)
    if base.configuration and not changes:
        report = _report_accepted('unchanged', base.version, changes)
        return await finish_change(tool, base.version, options, report)
    outcome = await accept_and_spread(tool, base, configuration, patience)
    if isinstance(outcome, Failure):
        return report_failure(outcome)
    if isinstance(outcome, Overtaken):
        return _report_overtaken(base, outcome)
    report = _report_accepted('applied', outcome.version, changes)
    report_spread(report, outcome)
    return await finish_change(tool, outcome.version, options, report)


def _report_accepted(
    result: str, version: int, changes: tuple[Change, ...]
) -> Report:
    report = Report(ExitCode.DONE, tabulate_changes(changes))
    report.lines.append(f'Version {version} is accepted.')
    report.content = {
        'result': result,
        'version': version,
        'changes': list_changes(changes),
    }
    return report


def _refuse(
    base: Accepted, configuration: Configuration, options: ApplyOptions
) -> Report | None:
    expected = options.expected_version
    if expected is not None and base.version != expected:
        return Report(
            ExitCode.OVERTAKEN,
            [
                f'Version {base.version} is accepted, not {expected}: '
                'plan again. Nothing was applied.'
            ],
            {'result': 'overtaken', 'version': base.version},
        )
    zones = _returning_zones(base, configuration)
    if not zones or options.may_return_zones:
        return None
    return Report(
        ExitCode.ZONE_WOULD_RETURN,
        [
            f'The sheet would bring back {", ".join(zones)}, out by now. Use '
            '--return-zones if that is meant, or let the sheet say out. '
            'Nothing was applied.'
        ],
        {'result': 'zone_would_return', 'zones': zones},
    )


def _returning_zones(base: Accepted, configuration: Configuration) -> list[str]:
    if base.configuration is None:
        return []
    returning = []
    for name, zone in base.configuration.zones_by_name.items():
        wanted = configuration.zones_by_name.get(name)
        if zone.is_out and wanted and not wanted.is_out:
            returning.append(name)
    return returning


def _report_overtaken(base: Accepted, overtaken: Overtaken) -> Report:
    accepted = overtaken.accepted
    report = Report(ExitCode.OVERTAKEN)
    report.lines.append(
        f'Another operator was first: version {accepted.version} follows '
        f'{base.version}. Nothing of this sheet was applied. What changed:'
    )
    changes: tuple[Change, ...] = ()
    if accepted.configuration:
        changes = compare(base.configuration, accepted.configuration)
    report.lines.extend(tabulate_changes(changes))
    report.content = {
        'result': 'overtaken',
        'version': accepted.version,
        'changes': list_changes(changes),
    }
    return report
