"""``damaskpoint-sheet``: checks and applies the planners' sheet."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from damaskpoint.config.model import Zone
from damaskpoint.config.sheet_text import MAX_SHEET_BYTES
from damaskpoint.errors import Code, Failure
from damaskpoint.settings import check_settings
from damaskpoint.sheet_tool import changes, output
from damaskpoint.sheet_tool.arguments import (
    parse_arguments,
    read_platform_options,
)
from damaskpoint.sheet_tool.in_force import ApplyOptions
from damaskpoint.sheet_tool.report import ExitCode, Report, report_failure
from damaskpoint.sheet_tool.status import show_status
from damaskpoint.sheet_tool.tool import Tool, create_tool
from damaskpoint.sheet_tool.zone import change_zone

if TYPE_CHECKING:
    import argparse
    import pathlib
    from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; return its exit status."""
    arguments = parse_arguments(argv)
    if arguments.check_settings:
        return check_settings(arguments.check_settings)
    report = asyncio.run(_run(arguments))
    output.write_report(report, arguments.json)
    return report.exit_code


async def _run(arguments: argparse.Namespace) -> Report:
    if arguments.command == 'check':
        return _run_check(arguments.sheet)
    options = read_platform_options(arguments)
    if isinstance(options, Failure):
        return report_failure(options)
    tool = create_tool(options)
    if arguments.command == 'status':
        return await show_status(tool, arguments.platform_s)
    if arguments.command == 'zone':
        zone = Zone(arguments.name, is_out=arguments.state == 'out')
        return await change_zone(tool, zone, _create_apply_options(arguments))
    return await _run_sheet(arguments, tool)


async def _run_sheet(arguments: argparse.Namespace, tool: Tool) -> Report:
    body = _read_file(arguments.sheet)
    if isinstance(body, Report):
        return body
    configuration = changes.check_sheet(arguments.sheet.name, body)
    if isinstance(configuration, Report):
        return configuration
    if arguments.command == 'plan':
        return await changes.plan(tool, configuration, arguments.platform_s)
    return await changes.apply(
        tool, configuration, _create_apply_options(arguments)
    )


def _run_check(path: pathlib.Path) -> Report:
    body = _read_file(path)
    if isinstance(body, Report):
        return body
    configuration = changes.check_sheet(path.name, body)
    if isinstance(configuration, Report):
        return configuration
    return Report(
        ExitCode.DONE,
        [f'{path.name} has no faults.'],
        {'result': 'valid', 'digest': configuration.digest},
    )


def _create_apply_options(arguments: argparse.Namespace) -> ApplyOptions:
    return ApplyOptions(
        platform_s=arguments.platform_s,
        wait_s=arguments.wait_s,
        expected_version=getattr(arguments, 'expect_version', None),
        may_return_zones=getattr(arguments, 'return_zones', False),
        show_progress=output.show_progress,
    )


def _read_file(path: pathlib.Path) -> bytes | Report:
    """Read a sheet, or one byte more than the limit if it is too large."""
    try:
        with path.open('rb') as sheet:
            return sheet.read(MAX_SHEET_BYTES + 1)
    except OSError as error:
        report = report_failure(Failure(Code.SHEET_INVALID, str(error)))
        report.exit_code = ExitCode.SHEET_INVALID
        return report


if __name__ == '__main__':
    sys.exit(main())
