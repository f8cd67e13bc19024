"""Runs a small deployment on loopback and sends one request through it.

Starts the stand-ins of the Lagos deployment in one process and two instances
with an entry and a reconciler each, applies the sample sheet, and asks a pipeline of four stages with curl.
Everything ends with the command, or with ``--keep`` at an interrupt.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import shlex
import signal
import subprocess
import sys
import tempfile
import time
from http import HTTPStatus
from typing import Final
from urllib.error import URLError
from urllib.request import urlopen

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
_SHEET: Final = _ROOT / 'samples' / 'lagos.csv'
_READY_S: Final = 30.0
_STOP_S: Final = 15.0
_PAUSE_S: Final = 0.1
_PLATFORM_PORT: Final = 7000
_PORT: Final = 8080
_OPERATOR_PORT: Final = 8081
_PEER_PORT: Final = 8082
# Name, availability zone and last number of the IP address.
_MODULES: Final = ('damaskpoint.main.entry', 'damaskpoint.main.reconciler')
_ENTRIES: Final = (('entry-1', 'ikeja', 201), ('entry-2', 'apapa', 202))


class Demo:
    """The processes of one demonstration."""

    def __init__(self, base_host: str, folder: pathlib.Path) -> None:
        """Keep the first three numbers of the addresses, and the folder."""
        self._base_host = base_host
        self._folder = folder
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start everything; return once both entries are ready."""
        self._start_python('standins.main', *self._site_words())
        self._wait_for(f'{self._platform_url()}/control/health')
        for name, zone, number in _ENTRIES:
            path = self._write_settings(name, zone, number)
            for module in _MODULES:
                self._start_python(module, '--settings', path)
        self._apply_sheet()
        for _name, _zone, number in _ENTRIES:
            host = f'{self._base_host}.{number}'
            self._wait_for(f'http://{host}:{_OPERATOR_PORT}/readyz')
        self._wait_for_models()

    def request_words(self) -> list[str]:
        """Return the command line that sends the request."""
        host = f'{self._base_host}.{_ENTRIES[0][2]}'
        body = {'input': {'question': 'How much caustic for line 3?'}}
        return [
            'curl',
            '--silent',
            '--show-error',
            '--fail-with-body',
            '--max-time',
            '10',
            '--header',
            'X-Client-Account: breweries',
            '--header',
            'Authorization: Bearer breweries-secret',
            '--data',
            json.dumps(body),
            f'http://{host}:{_PORT}/v1/pipelines/read-schedule',
        ]

    def stop(self) -> None:
        """End all processes, the entries first and gracefully."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
        for process in reversed(self._processes):
            try:
                process.wait(_STOP_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _site_words(self) -> list[str]:
        words = ['site', '--profile', 'lagos', '--base-host', self._base_host]
        for name, zone, number in _ENTRIES:
            host = f'{self._base_host}.{number}'
            words += ['--entry', f'{name},{zone},{host},{_PORT},{_PEER_PORT}']
        return words

    def _platform_url(self) -> str:
        return f'http://{self._base_host}.1:{_PLATFORM_PORT}'

    def _write_settings(self, name: str, zone: str, number: int) -> str:
        url = self._platform_url()
        settings = {
            'instance': {
                'name': name,
                'zone': zone,
                'host': f'{self._base_host}.{number}',
                'port': _PORT,
                'operator_port': _OPERATOR_PORT,
                'peer_port': _PEER_PORT,
            },
            'platform': {
                'store_url': url,
            },
            'shutdown': {'notice_s': 0.2, 'limit_s': _STOP_S},
        }
        path = self._folder / f'{name}.json5'
        path.write_text(json.dumps(settings, indent=2), encoding='utf-8')
        return str(path)

    def _apply_sheet(self) -> None:
        words = [
            'apply',
            str(_SHEET),
            '--store-url',
            self._platform_url(),
        ]
        command = [sys.executable, '-m', 'damaskpoint.main.sheet', *words]
        subprocess.run(command, cwd=_ROOT, check=True, timeout=_READY_S * 2)

    def _start_python(self, module: str, *words: str) -> None:
        log = (self._folder / f'{len(self._processes)}.log').open('wb')
        with log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *words],
                cwd=_ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)

    def _wait_for(self, url: str) -> None:
        give_up_at = time.monotonic() + _READY_S
        while time.monotonic() < give_up_at:
            if _answers(url):
                return
            time.sleep(_PAUSE_S)
        raise TimeoutError(f'{url} does not answer\n{self._read_logs()}')

    def _wait_for_models(self) -> None:
        """Ask until the reconcilers have had the models loaded."""
        give_up_at = time.monotonic() + _READY_S
        while time.monotonic() < give_up_at:
            asked = subprocess.run(
                self.request_words(), check=False, capture_output=True
            )
            if asked.returncode == 0:
                return
            time.sleep(_PAUSE_S)
        raise TimeoutError(f'no model is loaded\n{self._read_logs()}')

    def _read_logs(self) -> str:
        logs = sorted(self._folder.glob('*.log'))
        return '\n'.join(path.read_text(errors='replace') for path in logs)


def main() -> int:
    """Run the demonstration and return curl's exit status."""
    arguments = _parse_arguments()
    # An interrupt and a termination both end in stop().
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix='damaskpoint-demo-') as name:
        demo = Demo(arguments.base_host, pathlib.Path(name))
        try:
            return _run(demo, arguments.keep)
        except KeyboardInterrupt:
            return 0
        finally:
            demo.stop()


def _run(demo: Demo, is_kept: bool) -> int:
    demo.start()
    words = demo.request_words()
    _say(shlex.join(words))
    answer = subprocess.run(words, check=False, capture_output=True)
    _say(answer.stdout.decode(errors='replace'))
    _say(answer.stderr.decode(errors='replace'))
    if is_kept:
        _say('running until an interrupt (Ctrl-C)')
        signal.pause()
    return answer.returncode


def _answers(url: str) -> bool:
    try:
        with urlopen(url, timeout=1) as answer:
            return bool(answer.status == HTTPStatus.OK)
    except (OSError, URLError):
        return False


def _say(text: str) -> None:
    if text:
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description='Try damaskpoint out.')
    parser.add_argument(
        '--keep', action='store_true', help='keep running until interrupted'
    )
    parser.add_argument(
        '--base-host',
        default='127.11.0',
        help='first three numbers of the loopback addresses',
    )
    return parser.parse_args()


if __name__ == '__main__':
    sys.exit(main())
