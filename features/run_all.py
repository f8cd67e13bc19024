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
_FEATURES = _ROOT / 'features'
_PROOFS = 'proof_*.feature'


def main() -> int:
    """Run the features and return the exit status."""
    lanes = _choose_lanes(sys.argv[1:])
    with tempfile.TemporaryDirectory() as folder:
        runs = [
            _start(lane, pathlib.Path(folder) / f'report-{number}.json')
            for number, lane in enumerate(lanes)
        ]
        status = max(process.wait() for process, _ in runs)
        statuses_by_name: dict[str, str] = {}
        for _, report in runs:
            statuses_by_name.update(_read_statuses(report))
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


def _choose_lanes(words: list[str]) -> list[list[str]]:
    """Return the words for each behave process.

    Proofs mostly wait for processes of their own, so they run beside all
    other features.
    """
    if words:
        return [words]
    proofs = sorted(str(path) for path in _FEATURES.glob(_PROOFS))
    others = sorted(str(path) for path in _FEATURES.glob('*.feature'))
    return [proofs, [path for path in others if path not in proofs]]


def _start(
    words: list[str], report: pathlib.Path
) -> tuple[subprocess.Popen[bytes], pathlib.Path]:
    """Start behave; return it, and the file that it reports to."""
    command = [sys.executable, '-m', 'behave', '--no-capture']
    # A format without a file of its own goes to standard output.
    command += ['--format', 'json', '--outfile', str(report)]
    command += ['--format', 'progress3', *words]
    return subprocess.Popen(command, cwd=_ROOT), report


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
