"""The command ``zone``: takes a zone out or brings it back in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from damaskpoint.config import document
from damaskpoint.errors import Code, Failure
from damaskpoint.sheet_tool.acceptance import AcceptedState, Overtaken, Receipt
from damaskpoint.sheet_tool.handover import Handover, accept_and_hand_over
from damaskpoint.sheet_tool.in_force import (
    ApplyOptions,
    finish_change,
    report_handover,
)
from damaskpoint.sheet_tool.report import ExitCode, Report, report_failure

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration, Zone
    from damaskpoint.sheet_tool.backoff import Backoff
    from damaskpoint.sheet_tool.tool import Tool

_MAX_ATTEMPTS: Final = 16


async def change_zone(tool: Tool, zone: Zone, options: ApplyOptions) -> Report:
    """Take one zone out or in, retrying after concurrent changes."""
    backoff = tool.start_backoff(options.platform_s)
    for _ in range(_MAX_ATTEMPTS):
        base = await tool.acceptor.read(backoff)
        if isinstance(base, Failure):
            return report_failure(base)
        outcome = await _attempt_change(tool, base, zone, backoff)
        if isinstance(outcome, (Receipt, Handover)):
            return await _finish(tool, zone, outcome, options)
        if not isinstance(outcome, Overtaken):
            return outcome
        # The change commutes with any other, so it is retried on top of it.
        if not await backoff.wait():
            break
    return report_failure(
        Failure(
            Code.PLATFORM_CONFLICT,
            'another change was accepted first on every attempt',
        )
    )


async def _attempt_change(
    tool: Tool, base: AcceptedState, zone: Zone, backoff: Backoff
) -> Receipt | Handover | Overtaken | Report:
    current = base.configuration
    if current is None or zone.name not in current.zones_by_name:
        return _report_unknown(zone, current)
    if current.zones_by_name[zone.name] == zone:
        return Receipt(base.version)
    changed = document.assign_version(
        document.replace_zone(current, zone), base.version + 1
    )
    outcome = await accept_and_hand_over(tool, base, changed, backoff)
    if isinstance(outcome, Failure):
        return report_failure(outcome)
    return outcome


async def _finish(
    tool: Tool, zone: Zone, accepted: Receipt | Handover, options: ApplyOptions
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
    if isinstance(accepted, Handover):
        report_handover(report, accepted)
    return await finish_change(tool, accepted.version, options, report)


def _report_unknown(zone: Zone, current: Configuration | None) -> Report:
    known = ', '.join(sorted(current.zones_by_name)) if current else 'none'
    return Report(
        ExitCode.SHEET_INVALID,
        [f'{zone.name!r} is not a zone of the configuration; known: {known}'],
        {'result': 'unknown_zone', 'zone': zone.name},
    )
