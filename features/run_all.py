"""Runs behave and prints the totals of all scenarios in one line.

Scenarios listed in KNOWN-RED.txt, one ``scenario: NAME`` line each, may fail
without failing the run; they are printed. Any other failure fails the run.
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
_MEMORY = 'memory_*.feature'

# Arguments of one behave process.
Group = list[str]


def main() -> int:
    """Run the features and return the exit status."""
    status = 0
    statuses_by_name: dict[str, str] = {}
    for groups in _split_features(sys.argv[1:]):
        status = max(status, _run_together(groups, statuses_by_name))
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
    # An error outside of all scenarios shows only in the exit status.
    return 0 if excused else status


def _run_together(groups: list[Group], statuses_by_name: dict[str, str]) -> int:
    """Run one behave process for each group; return the highest exit status.

    Adds the status of each scenario to ``statuses_by_name``.
    """
    with tempfile.TemporaryDirectory() as folder:
        runs = [
            _start(group, pathlib.Path(folder) / f'report-{number}.json')
            for number, group in enumerate(groups)
        ]
        status = max(process.wait() for process, _ in runs)
        for _, report in runs:
            statuses_by_name.update(_read_statuses(report))
    return status


def _split_features(arguments: Group) -> list[list[Group]]:
    """Return the arguments of each behave process, in runs of processes.

    The proof features mostly wait for processes that they start, so they
    run in parallel with all other features. The memory features run after
    both, as other load would distort what they measure.
    """
    if arguments:
        return [[arguments]]
    proofs = _find_features(_PROOFS)
    memory = _find_features(_MEMORY)
    others = [
        path
        for path in _find_features('*.feature')
        if path not in proofs and path not in memory
    ]
    return [[proofs, others], [memory]]


def _find_features(pattern: str) -> list[str]:
    return sorted(str(path) for path in _FEATURES.glob(pattern))


def _start(
    arguments: list[str], report: pathlib.Path
) -> tuple[subprocess.Popen[bytes], pathlib.Path]:
    """Start behave; return its process and the path of its report."""
    command = [sys.executable, '-m', 'behave', '--no-capture']
    # A format without an output file is written to standard output.
    command += ['--format', 'json', '--outfile', str(report)]
    command += ['--format', 'progress3', *arguments]
    return subprocess.Popen(command, cwd=_ROOT), report


def _read_statuses(report: pathlib.Path) -> dict[str, str]:
    """Return the status of each scenario by ``FEATURE: SCENARIO``."""
    statuses_by_name: dict[str, str] = {}
    if not report.exists() or not report.read_text():
        return statuses_by_name
    for feature in json.loads(report.read_text()):
        for element in feature.get('elements', ()):
            if element['type'] == 'background':
                continue
            # behave ends the names of the examples of an outline with a space.
            name = f'{feature["name"]}: {element["name"]}'.strip()
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
