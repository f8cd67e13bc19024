"""Runs a small deployment on loopback and sends one request through it.

Starts the stand-ins of the Lagos deployment in one process and two instances
with an entry and a reconciler each, applies the sample sheet, and calls a
pipeline of four stages with curl. All processes stop when the command ends;
with ``--keep``, they run until an interrupt.
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
_READY_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 15.0
_POLL_INTERVAL_S: Final = 0.1
_PLATFORM_PORT: Final = 7000
_PORT: Final = 8080
_OPERATOR_PORT: Final = 8081
_PEER_PORT: Final = 8082
# Processes of each instance.
_MODULES: Final = ('damaskpoint.main.entry', 'damaskpoint.main.reconciler')
# Name, availability zone and last octet of the IP address.
_ENTRIES: Final = (('entry-1', 'ikeja', 201), ('entry-2', 'apapa', 202))


class Demo:
    """The processes of one demonstration."""

    def __init__(self, base_host: str, folder: pathlib.Path) -> None:
        """Store the first three octets of the addresses, and the folder."""
        self._base_host = base_host
        self._folder = folder
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start all processes; return once a request succeeds."""
        self._start_python('standins.main', *self._site_arguments())
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

    def curl_command(self) -> list[str]:
        """Return the curl command that sends the request."""
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
        """Stop all processes with SIGTERM, the entries first; kill on timeout."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
        for process in reversed(self._processes):
            try:
                process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _site_arguments(self) -> list[str]:
        arguments = [
            'site',
            '--profile',
            'lagos',
            '--base-host',
            self._base_host,
        ]
        for name, zone, number in _ENTRIES:
            host = f'{self._base_host}.{number}'
            arguments += [
                '--entry',
                f'{name},{zone},{host},{_PORT},{_PEER_PORT}',
            ]
        return arguments

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
            'shutdown': {'notice_s': 0.2, 'limit_s': _STOP_TIMEOUT_S},
        }
        path = self._folder / f'{name}.json5'
        path.write_text(json.dumps(settings, indent=2), encoding='utf-8')
        return str(path)

    def _apply_sheet(self) -> None:
        arguments = [
            'apply',
            str(_SHEET),
            '--store-url',
            self._platform_url(),
        ]
        command = [sys.executable, '-m', 'damaskpoint.main.sheet', *arguments]
        subprocess.run(
            command, cwd=_ROOT, check=True, timeout=_READY_TIMEOUT_S * 2
        )

    def _start_python(self, module: str, *arguments: str) -> None:
        log = (self._folder / f'{len(self._processes)}.log').open('wb')
        with log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=_ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)

    def _wait_for(self, url: str) -> None:
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if _is_answering(url):
                return
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f'{url} did not respond\n{self._read_logs()}')

    def _wait_for_models(self) -> None:
        """Retry the request until the reconcilers have loaded the models."""
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline:
            curl = subprocess.run(
                self.curl_command(), check=False, capture_output=True
            )
            if curl.returncode == 0:
                return
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f'no request succeeded\n{self._read_logs()}')

    def _read_logs(self) -> str:
        logs = sorted(self._folder.glob('*.log'))
        return '\n'.join(path.read_text(errors='replace') for path in logs)


def main() -> int:
    """Run the demonstration and return curl's exit status."""
    arguments = _parse_arguments()
    # SIGINT and SIGTERM both lead to stop().
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix='damaskpoint-demo-') as name:
        demo = Demo(arguments.base_host, pathlib.Path(name))
        try:
            return _run(demo, arguments.keep)
        except KeyboardInterrupt:
            return 0
        finally:
            demo.stop()


def _run(demo: Demo, keeps_running: bool) -> int:
    demo.start()
    command = demo.curl_command()
    _print(shlex.join(command))
    answer = subprocess.run(command, check=False, capture_output=True)
    _print(answer.stdout.decode(errors='replace'))
    _print(answer.stderr.decode(errors='replace'))
    if keeps_running:
        _print('running until interrupted (Ctrl-C)')
        signal.pause()
    return answer.returncode


def _is_answering(url: str) -> bool:
    try:
        with urlopen(url, timeout=1) as answer:
            return bool(answer.status == HTTPStatus.OK)
    except (OSError, URLError):
        return False


def _print(text: str) -> None:
    if text:
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description='Run a small deployment and send a request.'
    )
    parser.add_argument(
        '--keep', action='store_true', help='keep running until interrupted'
    )
    parser.add_argument(
        '--base-host',
        default='127.11.0',
        help='first three octets of the loopback addresses',
    )
    return parser.parse_args()


if __name__ == '__main__':
    sys.exit(main())
