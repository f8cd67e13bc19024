"""The commands ``check``, ``plan`` and ``apply``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpoint.config.diff import Change, compare
from damaskpoint.config.model import Configuration
from damaskpoint.config.sheet import read_sheet
from damaskpoint.errors import Failure
from damaskpoint.sheet_tool.acceptance import AcceptedState, Overtaken
from damaskpoint.sheet_tool.handover import accept_and_hand_over
from damaskpoint.sheet_tool.in_force import (
    ApplyOptions,
    finish_change,
    report_handover,
)
from damaskpoint.sheet_tool.report import (
    ExitCode,
    Report,
    format_changes,
    list_changes,
    report_failure,
    report_faults,
)

if TYPE_CHECKING:
    from damaskpoint.sheet_tool.tool import Tool


def check_sheet(name: str, body: bytes) -> Configuration | Report:
    """Return the configuration of a sheet, or a report of its faults."""
    configuration = read_sheet(body)
    if isinstance(configuration, Configuration):
        return configuration
    return report_faults(name, configuration)


async def plan(
    tool: Tool, configuration: Configuration, platform_s: float
) -> Report:
    """Report what applying a configuration would change."""
    accepted = await tool.acceptor.read(tool.start_backoff(platform_s))
    if isinstance(accepted, Failure):
        return report_failure(accepted)
    changes = compare(accepted.configuration, configuration)
    report = Report(ExitCode.DONE, format_changes(changes))
    report.lines.insert(0, f'Changes to version {accepted.version}:')
    report.content = {
        'result': 'planned',
        'version': accepted.version,
        'changes': list_changes(changes),
    }
    for zone in _find_returning_zones(accepted, configuration):
        report.lines.append(
            f'Zone {zone} would come back; apply requires --return-zones.'
        )
    return report


async def apply(
    tool: Tool, configuration: Configuration, options: ApplyOptions
) -> Report:
    """Accept a configuration and wait until it is in force everywhere."""
    backoff = tool.start_backoff(options.platform_s)
    base = await tool.acceptor.read(backoff)
    if isinstance(base, Failure):
        return report_failure(base)
    refusal = _check_preconditions(base, configuration, options)
    if refusal:
        return refusal
    changes = compare(base.configuration, configuration)
    if base.configuration and not changes:
        report = _report_accepted('unchanged', base.version, changes)
        return await finish_change(tool, base.version, options, report)
    outcome = await accept_and_hand_over(tool, base, configuration, backoff)
    if isinstance(outcome, Failure):
        return report_failure(outcome)
    if isinstance(outcome, Overtaken):
        return _report_overtaken(base, outcome)
    report = _report_accepted('applied', outcome.version, changes)
    report_handover(report, outcome)
    return await finish_change(tool, outcome.version, options, report)


def _report_accepted(
    result: str, version: int, changes: tuple[Change, ...]
) -> Report:
    report = Report(ExitCode.DONE, format_changes(changes))
    report.lines.append(f'Version {version} is accepted.')
    report.content = {
        'result': result,
        'version': version,
        'changes': list_changes(changes),
    }
    return report


def _check_preconditions(
    base: AcceptedState, configuration: Configuration, options: ApplyOptions
) -> Report | None:
    expected = options.expected_version
    if expected is not None and base.version != expected:
        return Report(
            ExitCode.OVERTAKEN,
            [
                f'The accepted version is {base.version}, not {expected}: '
                'run plan again. Nothing was applied.'
            ],
            {'result': 'overtaken', 'version': base.version},
        )
    zones = _find_returning_zones(base, configuration)
    if not zones or options.may_return_zones:
        return None
    return Report(
        ExitCode.ZONE_WOULD_RETURN,
        [
            f'The sheet would bring back {", ".join(zones)}, now out. Use '
            '--return-zones if that is intended, or set the zones to out in '
            'the sheet. Nothing was applied.'
        ],
        {'result': 'zone_would_return', 'zones': zones},
    )


def _find_returning_zones(
    base: AcceptedState, configuration: Configuration
) -> list[str]:
    if base.configuration is None:
        return []
    returning = []
    for name, zone in base.configuration.zones_by_name.items():
        requested = configuration.zones_by_name.get(name)
        if zone.is_out and requested and not requested.is_out:
            returning.append(name)
    return returning


def _report_overtaken(base: AcceptedState, overtaken: Overtaken) -> Report:
    accepted = overtaken.accepted
    report = Report(ExitCode.OVERTAKEN)
    report.lines.append(
        f'Another change was accepted first: version {accepted.version} '
        f'follows {base.version}. Nothing of this sheet was applied. Changes:'
    )
    changes: tuple[Change, ...] = ()
    if accepted.configuration:
        changes = compare(base.configuration, accepted.configuration)
    report.lines.extend(format_changes(changes))
    report.content = {
        'result': 'overtaken',
        'version': accepted.version,
        'changes': list_changes(changes),
    }
    return report
