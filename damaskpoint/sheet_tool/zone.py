"""The command that takes a zone out or brings it back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from damaskpoint.config import document
from damaskpoint.errors import Code, Failure
from damaskpoint.sheet_tool.acceptance import Accepted, Overtaken, Receipt
from damaskpoint.sheet_tool.in_force import (
    ApplyOptions,
    finish_change,
    report_spread,
)
from damaskpoint.sheet_tool.report import ExitCode, Report, report_failure
from damaskpoint.sheet_tool.spread import Spread, accept_and_spread

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration, Zone
    from damaskpoint.sheet_tool.patience import Patience
    from damaskpoint.sheet_tool.tool import Tool

_MAX_TRIES: Final = 16


async def change_zone(tool: Tool, zone: Zone, options: ApplyOptions) -> Report:
    """Take one zone out or in, whatever else is changed at the same time."""
    patience = tool.start_patience(options.platform_s)
    for _ in range(_MAX_TRIES):
        base = await tool.acceptor.read(patience)
        if isinstance(base, Failure):
            return report_failure(base)
        outcome = await _try_zone(tool, base, zone, patience)
        if isinstance(outcome, (Receipt, Spread)):
            return await _finish(tool, zone, outcome, options)
        if not isinstance(outcome, Overtaken):
            return outcome
        # The change commutes with any other, so it is made on top of it.
        if not await patience.wait():
            break
    return report_failure(
        Failure(Code.PLATFORM_CONFLICT, 'other changes always came first')
    )


async def _try_zone(
    tool: Tool, base: Accepted, zone: Zone, patience: Patience
) -> Receipt | Spread | Overtaken | Report:
    current = base.configuration
    if current is None or zone.name not in current.zones_by_name:
        return _report_unknown(zone, current)
    if current.zones_by_name[zone.name] == zone:
        return Receipt(base.version)
    changed = document.assign_version(
        document.replace_zone(current, zone), base.version + 1
    )
    outcome = await accept_and_spread(tool, base, changed, patience)
    if isinstance(outcome, Failure):
        return report_failure(outcome)
    return outcome


async def _finish(
    tool: Tool, zone: Zone, accepted: Receipt | Spread, options: ApplyOptions
) -> Report:
    state = 'out' if zone.is_out else 'in'
    report = Report(ExitCode.DONE)
    report.lines.append(
        f'Zone {zone.name} is {state} in version {accepted.version}.'
    )
    report.content = {
        'result': 'applied',
        'zone': zone.name,
        'state': state,
        'version': accepted.version,
    }
    if isinstance(accepted, Spread):
        report_spread(report, accepted)
    return await finish_change(tool, accepted.version, options, report)


def _report_unknown(zone: Zone, current: Configuration | None) -> Report:
    known = ', '.join(sorted(current.zones_by_name)) if current else 'none'
    return Report(
        ExitCode.SHEET_INVALID,
        [f'{zone.name!r} is no zone of the configuration; known: {known}'],
        {'result': 'unknown_zone', 'zone': zone.name},
    )
