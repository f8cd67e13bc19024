"""The command ``status``: what is accepted and what is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from damaskpoint.errors import Failure
from damaskpoint.reconcile.progress import (
    LEASE_KEY_PREFIX,
    LEASE_TABLE,
    PoolProgress,
    parse_progress,
)
from damaskpoint.sheet_tool.report import (
    ExitCode,
    Report,
    format_table,
    report_failure,
)
from damaskpoint.sheet_tool.waiting import EntryReply, Progress, query_entries

if TYPE_CHECKING:
    from damaskpoint.sheet_tool.acceptance import AcceptedState
    from damaskpoint.sheet_tool.tool import Tool

_MAX_POOLS: Final = 1_000


async def show_status(tool: Tool, platform_s: float) -> Report:
    """Report the accepted version, that of each live entry, and the orders.

    The exit code is ``NOT_IN_FORCE`` while an entry lacks the accepted
    version.
    """
    accepted = await tool.acceptor.read(tool.start_backoff(platform_s))
    if isinstance(accepted, Failure):
        return report_failure(accepted)
    entries = await query_entries(tool, accepted.version)
    report = Report(ExitCode.DONE)
    if not entries.is_everywhere:
        report.exit_code = ExitCode.NOT_IN_FORCE
    _report_accepted(report, accepted)
    _report_entries(report, entries)
    pools = await _read_pools(tool)
    if isinstance(pools, Failure):
        report.lines.append(f'Orders: unknown ({pools.detail})')
        return report
    _report_pools(report, pools)
    return report


def _report_accepted(report: Report, accepted: AcceptedState) -> None:
    report.content['version'] = accepted.version
    if accepted.configuration is None:
        report.lines.append('No configuration has been applied yet.')
        return
    zones: dict[str, str] = {}
    for name, zone in accepted.configuration.zones_by_name.items():
        zones[name] = 'out' if zone.is_out else 'in'
    report.content['digest'] = accepted.configuration.digest
    report.content['zones'] = zones
    listed = ', '.join(' '.join(pair) for pair in zones.items())
    report.lines.append(
        f'Accepted: version {accepted.version}, '
        f'digest {accepted.configuration.digest}'
    )
    report.lines.append(f'Zones: {listed}')


def _report_entries(report: Report, entries: Progress) -> None:
    if entries.failure:
        report.lines.append(f'Entries: unknown ({entries.failure.detail})')
        return
    rows = [('entry', 'zone', 'version', 'in force')]
    listed: list[object] = []
    for reply in entries.replies:
        is_in_force = reply.has_version(entries.version)
        rows.append(
            (
                reply.entry.name,
                reply.entry.zone,
                _format_version(reply),
                'yes' if is_in_force else 'no',
            )
        )
        listed.append(
            {
                'name': reply.entry.name,
                'zone': reply.entry.zone,
                'version': _format_version(reply),
                'in_force': is_in_force,
            }
        )
    report.content['entries'] = listed
    report.lines.extend(format_table(rows))


def _format_version(reply: EntryReply) -> str:
    if isinstance(reply.result, Failure):
        return 'no answer'
    return str(reply.result.version)


async def _read_pools(tool: Tool) -> list[PoolProgress] | Failure:
    rows = await tool.table.scan(LEASE_TABLE, LEASE_KEY_PREFIX, '', _MAX_POOLS)
    if isinstance(rows, Failure):
        return rows
    pools = []
    for row in rows:
        progress = parse_progress(row)
        if progress:
            pools.append(progress)
    return pools


def _report_pools(report: Report, pools: list[PoolProgress]) -> None:
    rows = [('pool', 'version', 'done', 'upstreams', 'last failure')]
    listed: list[object] = []
    for progress in pools:
        rows.append(
            (
                progress.pool,
                str(progress.version),
                str(progress.done),
                str(progress.upstreams),
                progress.last_failure or '-',
            )
        )
        listed.append(progress.model_dump(mode='json'))
    report.content['pools'] = listed
    if pools:
        report.lines.extend(format_table(rows))
