"""Steps on the commands of damaskpoint-sheet, over a platform in memory."""

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
    Accepted,
    Acceptor,
    Overtaken,
    Receipt,
)
from damaskpoint.sheet_tool.in_force import ApplyOptions
from damaskpoint.sheet_tool.patience import Patience
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
    """Entries that answer from a script; the last answer stays."""

    def __init__(self) -> None:
        self.versions_by_name: dict[str, list[str]] = {}
        self.handed: list[str] = []

    async def ask(self, entry: ListedInstance) -> EntryVersion | Failure:
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
        self.handed.append(f'{entry.name} {accepted.version}')
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
    """Let a rival change the configuration before our write."""
    context.platform_table.before_write.append(_Rival(context.tool))


@given('another operator takes zone lekki out just before the second write')
def race_second(context: Any) -> None:
    """Let a rival in between our write and its repetition."""
    context.platform_table.before_write.append(_do_nothing)
    context.platform_table.before_write.append(_Rival(context.tool))


@given('another operator has taken zone lekki out')
def zone_is_out(context: Any) -> None:
    """Take the zone out."""
    _take_out(context, 'lekki')
    assert context.report.exit_code == ExitCode.DONE


@given('the next writes meet {faults}')
def script_faults(context: Any, faults: str) -> None:
    """Script the faults of writes."""
    for fault in faults.split(', '):
        context.platform_table.faults.append(WriteFault(fault))


@given('the table is down')
def table_is_down(context: Any) -> None:
    """Take the table down."""
    context.platform_table.is_down = True


@given('the table goes down at the next write')
def table_goes_down(context: Any) -> None:
    """Take the table down while a write is on its way."""

    async def go_down() -> None:
        context.platform_table.is_down = True

    context.platform_table.before_write.append(go_down)


@given('the platform goes down once the write has taken effect')
def go_down_after(context: Any) -> None:
    """Take the table and the list down behind the write's effect."""

    async def go_down() -> None:
        context.platform_table.is_down = True
        context.instances.is_down = True

    context.platform_table.after_write.append(go_down)


@given('the object store corrupts what it holds from the next write on')
def corrupt_store(context: Any) -> None:
    """Corrupt only objects written from now on."""
    original = context.object_store.put

    async def put(name: str, body: bytes) -> Failure | None:
        failure: Failure | None = await original(name, body[:-1])
        return failure

    context.object_store.put = put


@given('the entries answer')
def script_entries(context: Any) -> None:
    """List entries and script their answers."""
    listed = []
    for row in context.table:
        listed.append(
            list_instance(row['entry'], 'entry', presence=row['presence'])
        )
        context.probe.versions_by_name[row['entry']] = row['versions'].split()
    context.instances.listed = tuple(listed)


@given('the lease of model-pool tells of {done:d} of {count:d} upstreams')
def note_progress(context: Any, done: int, count: int) -> None:
    """Write the progress as the holder's renewal would."""
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
    """Apply the sheet only on top of the planned version."""
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
    """Find each change in the report."""
    planned = context.report.content['changes']
    for row in context.table:
        assert any(_matches(row, change) for change in planned), planned


@then('the command ends with exit code {code:d}')
def check_code(context: Any, code: int) -> None:
    """Compare the exit code."""
    report = context.report
    assert report.exit_code == code, (report.exit_code, report.lines)


@then('the command has handed over {handed}')
def check_handed(context: Any, handed: str) -> None:
    """Compare which entries were given which version."""
    assert ', '.join(sorted(context.probe.handed)) == handed


@then(
    'checking a sheet with {count:d} faults for a reader of one line '
    'ends quietly'
)
def check_early_close(context: Any, count: int) -> None:
    """Close the pipe behind the first line, as head does."""
    with tempfile.TemporaryDirectory() as folder:
        sheet = pathlib.Path(folder) / 'sheet.csv'
        sheet.write_text('[zones]\nname,state\n' + 'a b,in\n' * count)
        words = [sys.executable, '-m', 'damaskpoint.main.sheet']
        process = subprocess.Popen(
            [*words, 'check', str(sheet)],
            cwd=_SAMPLE.parents[1],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert process.stdout
        assert process.stderr
        process.stdout.readline()
        process.stdout.close()
        complaint = process.stderr.read()
        process.stderr.close()
        assert process.wait(60) == ExitCode.SHEET_INVALID
        assert not complaint, complaint


@then('its report says "{text}"')
def check_report(context: Any, text: str) -> None:
    """Find a text in the report's lines."""
    assert text in '\n'.join(context.report.lines), context.report.lines


@then('version {version:d} is still accepted')
def check_version(context: Any, version: int) -> None:
    """Read the accepted version back."""
    assert _accepted(context).version == version, _accepted(context).version


@then(
    'version {version:d} is accepted with zone {zone} out '
    'and writer version {writer}'
)
def check_accepted(context: Any, version: int, zone: str, writer: str) -> None:
    """Read the accepted configuration back."""
    check_version(context, version)
    check_zone(context, zone)
    configuration = _accepted(context).configuration
    assert configuration
    targets = configuration.targets_by_pool['model-pool']
    versions = {target.model: target.version for target in targets}
    assert versions['writer'] == writer


@then('zone {zone} is out')
def check_zone(context: Any, zone: str) -> None:
    """Check one zone of the accepted configuration."""
    configuration = _accepted(context).configuration
    assert configuration
    assert configuration.zones_by_name[zone].is_out


@then('{count:d} schedules of operators drawn by hypothesis keep the promise')
def check_schedules(context: Any, count: int) -> None:
    """Race operators over a table with faults; count accepted changes."""
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
            # Only these ends are truthful about what did not happen.
            assert isinstance(outcome, Overtaken), outcome
        return accepted_versions

    results = await asyncio.gather(*(operate(one) for one in range(operators)))
    told = sorted(version for result in results for version in result)
    final = await acceptor.read(Patience(5, time.monotonic))
    assert isinstance(final, Accepted)
    # Each accepted change is told to exactly one operator, exactly once.
    assert told == list(range(1, final.version + 1)), (told, final.version)


async def _change_once(
    acceptor: Acceptor, start: Configuration, operator: int, number: int
) -> Receipt | Overtaken | Failure:
    patience = Patience(20, time.monotonic, 0.0001)
    base = await acceptor.read(patience)
    if isinstance(base, Failure):
        return base
    await asyncio.sleep(0)
    zone = Zone(f'zone-{operator}-{number}', is_out=True)
    configuration = document.replace_zone(base.configuration or start, zone)
    return await acceptor.accept(
        base,
        document.assign_version(configuration, base.version + 1),
        f'{operator}/{number}',
        patience,
    )


class _Rival:
    """Another operator, whose own write meets no faults."""

    def __init__(self, tool: Tool) -> None:
        self._tool = tool

    async def __call__(self) -> None:
        table = self._tool.table
        assert isinstance(table, ScriptedTable)
        kept = list(table.faults)
        table.faults.clear()
        zone = Zone('lekki', is_out=True)
        report = await change_zone(self._tool, zone, _options())
        assert report.exit_code == ExitCode.DONE, report.lines
        table.faults.extend(kept)


async def _do_nothing() -> None:
    """Let a write pass undisturbed."""


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


def _accepted(context: Any) -> Accepted:
    context.tool.table.is_down = False
    accepted = asyncio.run(
        context.tool.acceptor.read(Patience(1, time.monotonic))
    )
    assert isinstance(accepted, Accepted), accepted
    return accepted


def _matches(row: Any, change: dict[str, str]) -> bool:
    for key in ('change', 'section', 'name'):
        if row[key] != change[key]:
            return False
    return row['old'] in change['old'] and row['new'] in change['new']
