"""Steps for the commands of damaskpoint-sheet, with an in-memory platform."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint.config import document
from damaskpoint.config.model import Configuration, Zone
from damaskpoint.config.sheet import read_sheet
from damaskpoint.errors import Code, Failure
from damaskpoint.reconcile.progress import PoolProgress, build_lease_key
from damaskpoint.sheet_tool import changes
from damaskpoint.sheet_tool.acceptance import (
    AcceptedState,
    Acceptor,
    Overtaken,
    Receipt,
)
from damaskpoint.sheet_tool.backoff import Backoff
from damaskpoint.sheet_tool.in_force import ApplyOptions
from damaskpoint.sheet_tool.probe import EntryProbe, EntryVersion
from damaskpoint.sheet_tool.report import ExitCode, Report
from damaskpoint.sheet_tool.status import show_status
from damaskpoint.sheet_tool.tool import Tool
from damaskpoint.sheet_tool.zone import change_zone
from features.support.memory_platform import (
    MemoryInstances,
    MemoryObjects,
    ScriptedTable,
    WriteFault,
    list_instance,
)
from features.support.memory_table import WriteBody

if TYPE_CHECKING:
    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.wire.encoded_configuration import EncodedConfiguration

_SAMPLE = pathlib.Path(__file__).resolve().parents[2] / 'samples' / 'lagos.csv'
_PLATFORM_S = 1.5


class ScriptedProbe(EntryProbe):
    """Entries with scripted versions; the last one repeats."""

    def __init__(self) -> None:
        self.versions_by_name: dict[str, list[str]] = {}
        self.handed_over: list[str] = []

    async def fetch_version(
        self, entry: ListedInstance
    ) -> EntryVersion | Failure:
        versions = self.versions_by_name[entry.name]
        answer = versions.pop(0) if len(versions) > 1 else versions[0]
        if answer == 'silent':
            return Failure(Code.PEER_UNREACHABLE, entry.name)
        return EntryVersion(int(answer), '')

    async def hand_over(
        self,
        entry: ListedInstance,
        accepted: EncodedConfiguration,
        age_s: float,
    ) -> Failure | None:
        if 'silent' in self.versions_by_name[entry.name]:
            return Failure(Code.PEER_UNREACHABLE, entry.name)
        self.handed_over.append(f'{entry.name} {accepted.version}')
        return None


@given('a platform on which lagos.csv is accepted')
def make_platform(context: Any) -> None:
    """Accept the sample as version 1."""
    context.platform_table = ScriptedTable()
    context.object_store = MemoryObjects()
    context.instances = MemoryInstances()
    context.probe = ScriptedProbe()
    context.sheet_text = _SAMPLE.read_text(encoding='utf-8')
    context.tool = Tool(
        context.platform_table,
        Acceptor(context.platform_table, context.object_store),
        context.instances,
        context.probe,
        time.monotonic,
    )
    assert _apply(context).exit_code == ExitCode.DONE


@given('another operator takes zone lekki out just before the next write')
def race_first(context: Any) -> None:
    """Let another operator write before our write."""
    context.platform_table.before_write.append(_RivalOperator(context.tool))


@given('another operator takes zone lekki out just before the second write')
def race_second(context: Any) -> None:
    """Let another operator write between our write and its retry."""
    context.platform_table.before_write.append(_do_nothing)
    context.platform_table.before_write.append(_RivalOperator(context.tool))


@given('another operator has taken zone lekki out')
def zone_is_out(context: Any) -> None:
    """Take zone lekki out."""
    _take_out(context, 'lekki')
    assert context.report.exit_code == ExitCode.DONE


@given('the next writes fail with {faults}')
def script_faults(context: Any, faults: str) -> None:
    """Script the faults of the next writes."""
    for fault in faults.split(', '):
        context.platform_table.faults.append(WriteFault(fault))


@given('the table is down')
def table_is_down(context: Any) -> None:
    """Take the table down."""
    context.platform_table.is_down = True


@given('the table goes down at the next write')
def table_goes_down(context: Any) -> None:
    """Take the table down while a write is in flight."""

    async def go_down() -> None:
        context.platform_table.is_down = True

    context.platform_table.before_write.append(go_down)


@given('the platform goes down once the write has taken effect')
def go_down_after(context: Any) -> None:
    """Take the table and the instance list down after the write."""

    async def go_down() -> None:
        context.platform_table.is_down = True
        context.instances.is_down = True

    context.platform_table.after_write.append(go_down)


@given('the object store corrupts objects from the next write on')
def corrupt_store(context: Any) -> None:
    """Truncate objects written from now on."""
    original = context.object_store.put

    async def put(name: str, body: bytes) -> Failure | None:
        failure: Failure | None = await original(name, body[:-1])
        return failure

    context.object_store.put = put


@given('the entries answer')
def script_entries(context: Any) -> None:
    """List entries and script their replies."""
    listed = []
    for row in context.table:
        listed.append(
            list_instance(row['entry'], 'entry', presence=row['presence'])
        )
        context.probe.versions_by_name[row['entry']] = row['versions'].split()
    context.instances.listed = tuple(listed)


@given('the lease row of model-pool records {done:d} of {count:d} upstreams')
def note_progress(context: Any, done: int, count: int) -> None:
    """Write the progress like a lease renewal by the holder."""
    row_key = build_lease_key('model-pool')
    progress = PoolProgress(
        pool='model-pool',
        version=1,
        highest_version=1,
        upstreams=count,
        done=done,
    )
    context.platform_table.rows.apply(
        [
            WriteBody(
                table=row_key.table,
                key=row_key.key,
                data={'note': progress.model_dump()},
            )
        ]
    )


@when('an operator applies the sheet unchanged')
def apply_unchanged(context: Any) -> None:
    """Apply the accepted sheet again."""
    context.report = _apply(context)


@when('an operator applies the sheet with "{old}" as "{new}"')
def apply_changed(context: Any, old: str, new: str) -> None:
    """Apply the sheet with one change."""
    _change(context, old, new)
    context.report = _apply(context)


@when(
    'an operator applies the sheet with "{old}" as "{new}" '
    'expecting version {version:d}'
)
def apply_expecting(context: Any, old: str, new: str, version: int) -> None:
    """Apply the changed sheet only on top of the planned version."""
    _change(context, old, new)
    context.report = _apply(context, expected_version=version)


@when(
    'an operator plans the sheet with "breweries,d6" renamed '
    'and "writer,3" as "writer,4"'
)
def plan_changes(context: Any) -> None:
    """Plan a sheet with an account renamed and a model replaced."""
    context.sheet_text = context.sheet_text.replace('breweries', 'brewers')
    _change(context, 'writer,3', 'writer,4')
    context.report = asyncio.run(
        changes.plan(context.tool, _read(context), _PLATFORM_S)
    )


@when('an operator takes zone {zone:w} out')
def take_out(context: Any, zone: str) -> None:
    """Take a zone out."""
    _take_out(context, zone)


@when('an operator takes zone {zone:w} out without waiting')
def take_out_at_once(context: Any, zone: str) -> None:
    """Take a zone out and do not wait until it is in force."""
    options = dataclasses.replace(_options(), wait_s=0)
    context.report = asyncio.run(
        change_zone(context.tool, Zone(zone, is_out=True), options)
    )


@when('an operator asks for the status')
def ask_status(context: Any) -> None:
    """Run the status command."""
    context.report = asyncio.run(show_status(context.tool, _PLATFORM_S))


@then('the plan shows')
def check_plan(context: Any) -> None:
    """Check that the report contains each change."""
    planned = context.report.content['changes']
    for row in context.table:
        assert any(_matches(row, change) for change in planned), planned


@then('the command ends with exit code {code:d}')
def check_code(context: Any, code: int) -> None:
    """Check the exit code."""
    report = context.report
    assert report.exit_code == code, (report.exit_code, report.lines)


@then('the command has handed over {handed_over}')
def check_handed(context: Any, handed_over: str) -> None:
    """Check which entries were handed which version."""
    assert ', '.join(sorted(context.probe.handed_over)) == handed_over


@then(
    'checking a sheet with {count:d} faults for a reader of one line '
    'ends quietly'
)
def check_early_close(context: Any, count: int) -> None:
    """Close the pipe after the first line, like ``head``."""
    with tempfile.TemporaryDirectory() as folder:
        sheet = pathlib.Path(folder) / 'sheet.csv'
        sheet.write_text('[zones]\nname,state\n' + 'a b,in\n' * count)
        command = [sys.executable, '-m', 'damaskpoint.main.sheet']
        process = subprocess.Popen(
            [*command, 'check', str(sheet)],
            cwd=_SAMPLE.parents[1],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert process.stdout
        assert process.stderr
        process.stdout.readline()
        process.stdout.close()
        error_output = process.stderr.read()
        process.stderr.close()
        assert process.wait(60) == ExitCode.SHEET_INVALID
        assert not error_output, error_output


@then('its report says "{text}"')
def check_report(context: Any, text: str) -> None:
    """Check that the report contains a text."""
    assert text in '\n'.join(context.report.lines), context.report.lines


@then('version {version:d} is still accepted')
def check_version(context: Any, version: int) -> None:
    """Check the accepted version."""
    assert _accepted(context).version == version, _accepted(context).version


@then(
    'version {version:d} is accepted with zone {zone} out '
    'and writer version {writer}'
)
def check_accepted(context: Any, version: int, zone: str, writer: str) -> None:
    """Check the accepted version, a zone and a target version."""
    check_version(context, version)
    check_zone(context, zone)
    configuration = _accepted(context).configuration
    assert configuration
    targets = configuration.targets_by_pool['model-pool']
    versions = {target.model: target.version for target in targets}
    assert versions['writer'] == writer


@then('zone {zone} is out')
def check_zone(context: Any, zone: str) -> None:
    """Check that a zone of the accepted configuration is out."""
    configuration = _accepted(context).configuration
    assert configuration
    assert configuration.zones_by_name[zone].is_out


@then(
    'each change is accepted at most once in {count:d} schedules drawn by '
    'hypothesis'
)
def check_schedules(context: Any, count: int) -> None:
    """Run concurrent operators on a faulty table; count accepted changes."""
    faults = st.lists(st.sampled_from(list(WriteFault)), max_size=8)

    @seed(21)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(faults, st.integers(2, 4), st.integers(1, 3))
    def race(drawn: list[WriteFault], operators: int, rounds: int) -> None:
        asyncio.run(_race(drawn, operators, rounds))

    race()


async def _race(drawn: list[WriteFault], operators: int, rounds: int) -> None:
    table = ScriptedTable()
    object_store = MemoryObjects()
    table.faults.extend(drawn)
    acceptor = Acceptor(table, object_store)
    start = read_sheet(_SAMPLE.read_bytes())
    assert isinstance(start, Configuration)

    async def operate(name: int) -> list[int]:
        accepted_versions = []
        for number in range(rounds):
            outcome = await _change_once(acceptor, start, name, number)
            if isinstance(outcome, Receipt):
                accepted_versions.append(outcome.version)
                continue
            # Any other outcome leaves open whether the change was accepted.
            assert isinstance(outcome, Overtaken), outcome
        return accepted_versions

    results = await asyncio.gather(*(operate(one) for one in range(operators)))
    all_versions = sorted(version for result in results for version in result)
    final = await acceptor.read(Backoff(5, time.monotonic))
    assert isinstance(final, AcceptedState)
    # Each accepted version was confirmed to exactly one operator, once.
    assert all_versions == list(range(1, final.version + 1)), (
        all_versions,
        final.version,
    )


async def _change_once(
    acceptor: Acceptor, start: Configuration, operator: int, number: int
) -> Receipt | Overtaken | Failure:
    backoff = Backoff(20, time.monotonic, 0.0001)
    base = await acceptor.read(backoff)
    if isinstance(base, Failure):
        return base
    await asyncio.sleep(0)
    zone = Zone(f'zone-{operator}-{number}', is_out=True)
    configuration = document.replace_zone(base.configuration or start, zone)
    return await acceptor.accept(
        base,
        document.assign_version(configuration, base.version + 1),
        f'{operator}/{number}',
        backoff,
    )


class _RivalOperator:
    """Another operator, whose own write succeeds."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    async def __call__(self) -> None:
        table = self._tool.table
        assert isinstance(table, ScriptedTable)
        pending_faults = list(table.faults)
        table.faults.clear()
        zone = Zone('lekki', is_out=True)
        report = await change_zone(self._tool, zone, _options())
        assert report.exit_code == ExitCode.DONE, report.lines
        table.faults.extend(pending_faults)


async def _do_nothing() -> None:
    """Do nothing before a write."""


def _options(expected_version: int | None = None) -> ApplyOptions:
    return ApplyOptions(
        platform_s=_PLATFORM_S,
        wait_s=2,
        expected_version=expected_version,
        may_return_zones=False,
        show_progress=lambda progress: None,
    )


def _change(context: Any, old: str, new: str) -> None:
    assert old in context.sheet_text, old
    context.sheet_text = context.sheet_text.replace(old, new, 1)


def _read(context: Any) -> Configuration:
    configuration = read_sheet(context.sheet_text.encode())
    assert isinstance(configuration, Configuration), configuration
    return configuration


def _apply(context: Any, expected_version: int | None = None) -> Report:
    checked = changes.check_sheet('sheet.csv', context.sheet_text.encode())
    if isinstance(checked, Report):
        return checked
    return asyncio.run(
        changes.apply(context.tool, checked, _options(expected_version))
    )


def _take_out(context: Any, zone: str) -> None:
    context.report = asyncio.run(
        change_zone(context.tool, Zone(zone, is_out=True), _options())
    )


def _accepted(context: Any) -> AcceptedState:
    context.tool.table.is_down = False
    accepted = asyncio.run(
        context.tool.acceptor.read(Backoff(1, time.monotonic))
    )
    assert isinstance(accepted, AcceptedState), accepted
    return accepted


def _matches(row: Any, change: dict[str, str]) -> bool:
    for key in ('change', 'section', 'name'):
        if row[key] != change[key]:
            return False
    return row['old'] in change['old'] and row['new'] in change['new']
