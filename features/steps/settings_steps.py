"""Steps on the settings file, its sample and its documentation page."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
from typing import Any

import json5
from behave import then, when

from damaskpoint.errors import Code, Failure
from damaskpoint.gateway.options import GatewayOptions
from damaskpoint.settings import Options, load_options
from damaskpoint.settings_doc import (
    find_section,
    read_descriptions,
    write_page,
)

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_SAMPLE = _ROOT / 'samples' / 'entry.json5'


@then('the sample settings are valid')
def check_sample(context: Any) -> None:
    """Load the sample."""
    assert isinstance(load_options(_SAMPLE), Options), load_options(_SAMPLE)


@then(
    'the sample sets all options but the instance and its peers '
    'to their defaults'
)
def check_defaults(context: Any) -> None:
    """Compare each option in the sample with its default."""
    loaded = load_options(_SAMPLE)
    assert isinstance(loaded, Options)
    raw = json5.loads(_SAMPLE.read_text(encoding='utf-8'))
    for section_name, options in raw.items():
        if section_name != 'instance':
            _check_section(section_name, options)


@then('docs/SETTINGS.md equals the generated page')
def check_page(context: Any) -> None:
    """Compare the page in docs/ with the generated one."""
    page = (_ROOT / 'docs' / 'SETTINGS.md').read_text(encoding='utf-8')
    assert page == write_page(), 'run python -m damaskpoint.settings_doc'


@then('every option of the model has a description')
def check_descriptions(context: Any) -> None:
    """Check each option of each section."""
    for model in (Options, GatewayOptions):
        sections = read_descriptions(model)
        for name, section_field in model.model_fields.items():
            section = find_section(section_field.annotation)
            assert section
            assert sections[name], name
            described = read_descriptions(section)
            for option in section.model_fields:
                assert described[option], option


@when('the settings are the sample with')
def change_settings(context: Any) -> None:
    """Load the sample with other values."""
    raw = json5.loads(_SAMPLE.read_text(encoding='utf-8'))
    for row in context.table:
        section, _, name = row['path'].partition('.')
        raw.setdefault(section, {})[name] = json5.loads(row['value'])
    context.failure = _load(json5.dumps(raw).encode())


@then('the failure lists errors at these paths')
def check_paths(context: Any) -> None:
    """Find each path at the start of a line of the failure's detail."""
    assert isinstance(context.failure, Failure)
    lines = context.failure.detail.splitlines()
    for row in context.table:
        path = row['path']
        assert any(line.startswith(f'{path}:') for line in lines), (path, lines)


@then('a settings file of {what} is rejected')
def check_rejected(context: Any, what: str) -> None:
    """Load a file without valid settings."""
    bodies_by_name = {
        'nothing': b'',
        'broken JSON': b'{instance: ',
        'a list': b'[]',
        'Latin-1': "{instance: {name: 'São'}}".encode('latin-1'),
        'deep nesting': b'[' * 20_000,
        'no file at all': None,
    }
    failure = _load(bodies_by_name[what])
    assert isinstance(failure, Failure)
    assert failure.code is Code.SETTINGS_INVALID


@then('{binary} exits with 0 for the sample and with 1 for invalid settings')
def check_binary(context: Any, binary: str) -> None:
    """Run the binary with --check-settings."""
    assert _check_settings(binary, _SAMPLE).returncode == 0
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'x.json5'
        path.write_text('{instance: {}}')
        ended = _check_settings(binary, path)
    assert ended.returncode == 1
    assert 'instance.name' in ended.stderr, ended.stderr


@then('{binary} has a help text and a version')
def check_help(context: Any, binary: str) -> None:
    """Run the binary with --help and --version."""
    ended = _run(binary, '--help')
    assert ended.returncode == 0
    assert 'docs/' in ended.stdout, ended.stdout
    assert _run(binary, '--version').stdout.strip()


def _check_section(section_name: str, options: dict[str, Any]) -> None:
    section = Options.model_fields[section_name].annotation
    assert section
    for name, value in options.items():
        field = section.model_fields[name]
        if field.is_required() or name == 'peers':
            continue
        shown = tuple(value) if isinstance(value, list) else value
        assert field.default == shown, (section_name, name)


def _check_settings(
    binary: str, path: pathlib.Path
) -> subprocess.CompletedProcess[str]:
    if binary.endswith('sheet'):
        return _run(binary, '--check-settings', str(path))
    return _run(binary, '--settings', str(path), '--check-settings')


def _run(binary: str, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, '-m', binary, *words],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def _load(body: bytes | None) -> Options | Failure:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json5'
        if body is not None:
            path.write_bytes(body)
        return load_options(path)
