"""Runs behave and prints its verdict as one line of totals.

Scenarios that KNOWN-RED.txt names, one ``scenario: NAME`` line each, may
fail without failing the run; they are printed. All else counts as it is.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_KNOWN_PREFIX = 'scenario: '


def main() -> int:
    """Run the features and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [sys.executable, '-m', 'behave', '--no-capture']
        # A format without a file of its own goes to standard output.
        command += ['--format', 'json', '--outfile', str(report)]
        command += ['--format', 'progress3']
        command += sys.argv[1:]
        status = subprocess.run(command, cwd=_ROOT, check=False).returncode
        statuses_by_name = _read_statuses(report)
    known = _read_known_red()
    passed = 0
    failed = 0
    excused = 0
    for name, outcome in statuses_by_name.items():
        if outcome == 'passed':
            passed += 1
            continue
        if name in known:
            sys.stdout.write(f'known red: {name}\n')
            excused += 1
            continue
        sys.stdout.write(f'not passed ({outcome}): {name}\n')
        failed += 1
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    if failed or not statuses_by_name:
        return 1
    # An error outside of any scenario leaves no failed scenario behind.
    return 0 if excused else status


def _read_statuses(report: pathlib.Path) -> dict[str, str]:
    """Return each scenario's status by its name and place."""
    statuses_by_name: dict[str, str] = {}
    if not report.exists() or not report.read_text():
        return statuses_by_name
    for feature in json.loads(report.read_text()):
        for element in feature.get('elements', ()):
            if element['type'] == 'background':
                continue
            name = f'{feature["name"]}: {element["name"]}'
            statuses_by_name[name] = element['status']
    return statuses_by_name


def _read_known_red() -> frozenset[str]:
    if not _KNOWN_RED.exists():
        return frozenset()
    names = []
    for line in _KNOWN_RED.read_text().splitlines():
        if line.startswith(_KNOWN_PREFIX):
            names.append(line.removeprefix(_KNOWN_PREFIX).strip())
    return frozenset(names)


if __name__ == '__main__':
    sys.exit(main())
