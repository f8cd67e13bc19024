"""Steps for reading the planners' sheet."""

from __future__ import annotations

import pathlib
import time
import tracemalloc
from typing import Any

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from damaskpoint.config.model import Configuration
from damaskpoint.config.sheet import read_sheet

_SAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'samples'


@given('the sample sheet {name:S}')
def load_sample(context: Any, name: str) -> None:
    """Load a sample whose text later steps change."""
    context.sheet_name = name
    context.sheet_text = (_SAMPLES / name).read_text(encoding='utf-8')
    context.sheet_body = context.sheet_text.encode()


@given('the sample sheet lagos.csv with a pipeline of {count:d} stages')
def add_pipeline(context: Any, count: int) -> None:
    """Add a pipeline with the given number of stages."""
    load_sample(context, 'lagos.csv')
    rows = ''.join(
        f'extra,{number},stage-{number},encode,model-pool,encoder,,no\n'
        for number in range(1, count + 1)
    )
    text = context.sheet_text.replace(
        'name,deadline_ms\n', 'name,deadline_ms\nextra,3000\n'
    )
    text = text.replace('\n[bindings]', f'{rows}\n[bindings]')
    context.sheet_body = text.encode()


@given('a sheet with {count:d} client accounts')
def add_accounts(context: Any, count: int) -> None:
    """Add many accounts to a sample."""
    load_sample(context, 'lagos.csv')
    digest = '0' * 64
    rows = ''.join(f'a{number},{digest},1,1,1,1,1\n' for number in range(count))
    text = context.sheet_text.replace('\n[pools]', f'{rows}\n[pools]')
    context.sheet_body = text.encode()


@when('its text "{old}" becomes "{new}"')
def change_text(context: Any, old: str, new: str) -> None:
    """Replace the first occurrence of a text."""
    assert old in context.sheet_text, old
    context.sheet_text = context.sheet_text.replace(old, new, 1)
    context.sheet_body = context.sheet_text.encode()


@when('it is saved with {format_name}')
def save_with(context: Any, format_name: str) -> None:
    """Write the sheet in a format that some spreadsheet program uses."""
    text = context.sheet_text
    lines = text.splitlines()
    if format_name == 'CRLF line endings':
        text = '\r\n'.join(lines)
    if format_name == 'a byte order mark':
        text = f'\ufeff{text}'
    if format_name == 'semicolons':
        text = text.replace(',', ';')
    if format_name == 'quoted cells':
        text = '\n'.join(_quote(line) for line in lines)
    if format_name == 'trailing empty cells':
        text = '\n'.join(f'{line},,,' for line in lines)
    if format_name == 'reversed rows':
        text = _reverse_rows(lines)
    assert text != context.sheet_text
    context.sheet_body = text.encode()


@then('the sample sheet {name:S} is valid with {count:d} zones')
def check_sample(context: Any, name: str, count: int) -> None:
    """Read a sample."""
    read = read_sheet((_SAMPLES / name).read_bytes())
    assert isinstance(read, Configuration), read
    assert len(read.zones_by_name) == count
    assert len(read.accounts_by_name) == 5


@then(
    'the sheet has the fault "{fault}" on a line with "{marker}" '
    'in column {column:d}'
)
def check_fault(context: Any, fault: str, marker: str, column: int) -> None:
    """Check for the fault at its position."""
    faults = read_sheet(context.sheet_body)
    assert isinstance(faults, tuple), 'the sheet was accepted'
    lines = context.sheet_body.decode().splitlines()
    matches = []
    for found in faults:
        is_at_position = (
            found.column == column and marker in lines[found.line - 1]
        )
        matches.append(is_at_position and fault in found.text)
    assert any(matches), faults


@then('the sheet has {count:d} faults, sorted by line')
def check_order(context: Any, count: int) -> None:
    """Check the number and the order of the faults."""
    faults = read_sheet(context.sheet_body)
    assert isinstance(faults, tuple)
    lines = [found.line for found in faults]
    assert len(lines) == count, faults
    assert lines == sorted(lines)


@then('the sheet is {verdict}')
def check_verdict(context: Any, verdict: str) -> None:
    """Check whether the sheet is accepted."""
    read = read_sheet(context.sheet_body)
    assert isinstance(read, Configuration) == (verdict == 'valid'), read


@then('a sheet of {what} is rejected with "{fault}"')
def check_refused(context: Any, what: str, fault: str) -> None:
    """Check the fault of a file that is not a sheet."""
    bodies_by_name = {
        'nothing': b'',
        'Latin-1 text': '[zones]\nname,state\nSão,in\n'.encode('latin-1'),
        'UTF-16 text': '[zones]\nname,state\n'.encode('utf-16'),
        'random bytes': bytes(range(256)),
        'too many bytes': b'a' * 16_777_217,
        'too many rows': b'[zones]\nname,state\n' + b'a,in\n' * 100_001,
        'a long cell': b'[zones]\nname,state\n' + b'a' * 2000 + b',in\n',
        'JSON': b'{"zones": []}',
    }
    faults = read_sheet(bodies_by_name[what])
    assert isinstance(faults, tuple)
    assert any(fault in found.text for found in faults), faults


@then('it still yields the same configuration')
def check_same(context: Any) -> None:
    """Compare with the configuration of the unchanged sample."""
    expected = read_sheet((_SAMPLES / context.sheet_name).read_bytes())
    read = read_sheet(context.sheet_body)
    assert isinstance(expected, Configuration)
    assert read == expected, read


@then('it is read within {seconds:d} seconds')
def check_time(context: Any, seconds: int) -> None:
    """Read a large sheet within a time limit."""
    started = time.monotonic()
    read = read_sheet(context.sheet_body)
    assert isinstance(read, Configuration)
    assert time.monotonic() - started < seconds


@then('it is read within {megabytes:d} megabytes')
def check_memory(context: Any, megabytes: int) -> None:
    """Read a sheet within a limit of allocated memory."""
    tracemalloc.start()
    read = read_sheet(context.sheet_body)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(read, Configuration)
    assert peak < megabytes * 1_000_000, peak


@then('{count:d} randomly corrupted sheets are accepted or rejected')
def check_corrupted(context: Any, count: int) -> None:
    """Replace ranges of a sample by arbitrary bytes."""
    body = (_SAMPLES / 'lagos.csv').read_bytes()

    @seed(20)
    @settings(max_examples=count, database=None, deadline=None)
    @draw(
        st.integers(0, len(body)),
        st.integers(0, 400),
        st.one_of(st.binary(max_size=30), st.text(',;"\n[]#', max_size=30)),
    )
    def read_corrupted(
        start: int, length: int, replacement: bytes | str
    ) -> None:
        inserted = (
            replacement
            if isinstance(replacement, bytes)
            else replacement.encode()
        )
        corrupted = body[:start] + inserted + body[start + length :]
        read = read_sheet(corrupted)
        if isinstance(read, tuple):
            assert read

    read_corrupted()


def _quote(line: str) -> str:
    return ','.join(f'"{cell}"' for cell in line.split(','))


def _reverse_rows(lines: list[str]) -> str:
    """Reverse the rows of each section, after its title and header."""
    sections: list[list[str]] = [[]]
    for line in lines:
        if line.startswith('['):
            sections.append([])
        sections[-1].append(line)
    reversed_lines: list[str] = []
    for section in sections:
        reversed_lines.extend(section[:2])
        reversed_lines.extend(section[:1:-1])
    return '\n'.join(reversed_lines)
