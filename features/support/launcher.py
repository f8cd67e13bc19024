"""Starts processes on loopback addresses and stops all of them at the end.

Each test process has loopback addresses of its own, derived from its process
id, so that concurrent runs do not use the same ones.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Final

from tornado import httpclient

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
_READY_TIMEOUT_S: Final = 30.0
_EXIT_TIMEOUT_S: Final = 60.0
_POLL_INTERVAL_S: Final = 0.05
_FIRST_HOST: Final = 2
_LAST_HOST: Final = 250
_HOST_NUMBERS: Final = itertools.count()


class Launcher:
    """Starts, signals and stops the processes of one scenario."""

    def __init__(self) -> None:
        """Create a temporary folder for settings, histories and logs."""
        self._folder = tempfile.TemporaryDirectory(prefix='damaskpoint-')
        self.folder = pathlib.Path(self._folder.name)
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._statuses_by_name: dict[str, int] = {}

    def next_host(self) -> str:
        """Return the next loopback address of this test process."""
        pid = os.getpid()
        number = _FIRST_HOST + next(_HOST_NUMBERS) % (_LAST_HOST - _FIRST_HOST)
        return f'127.{20 + pid // 256 % 200}.{pid % 256}.{number}'

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m MODULE ARGUMENTS`` under a name."""
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            self._processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def run(self, module: str, *arguments: str) -> tuple[int, str]:
        """Run a module to its end and return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            output, _stderr = await process.communicate()
        except asyncio.CancelledError:
            process.kill()
            raise
        return process.returncode or 0, output.decode(errors='replace')

    def send(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process if it is still running."""
        process = self._processes_by_name[name]
        if process.poll() is None:
            process.send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.send(name, signal.SIGKILL)
        self._processes_by_name[name].wait()

    async def wait_exit(self, name: str) -> int:
        """Wait until a process has exited and return its exit status.

        Raises TimeoutError if it is still running after 60 s.
        """
        process = self._processes_by_name[name]
        deadline = time.monotonic() + _EXIT_TIMEOUT_S
        while process.poll() is None:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'{name} did not exit\n{self.read_log(name)}'
                )
            await asyncio.sleep(_POLL_INTERVAL_S)
        return process.returncode

    def find_pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        return self._processes_by_name[name].poll() is None

    async def wait_ready(self, name: str, url: str) -> None:
        """Wait until a URL of a process answers with status 200.

        Raises RuntimeError if the process exits, TimeoutError after 30 s.
        """
        deadline = time.monotonic() + _READY_TIMEOUT_S
        last_body = ''
        while time.monotonic() < deadline:
            if not self.is_running(name):
                raise RuntimeError(f'{name} exited\n{self.read_log(name)}')
            status, last_body = await fetch(url)
            if status == 200:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(
            f'{name} not ready: {last_body}\n{self.read_log(name)}'
        )

    def read_log(self, name: str) -> str:
        """Return the last 3000 characters of the log of a process."""
        path = self.folder / f'{name}.log'
        return path.read_text(errors='replace')[-3000:]

    def stop_all(self) -> None:
        """Kill all processes and remove the folder."""
        for process in self._processes_by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes_by_name.values():
            process.wait()
        self._folder.cleanup()


async def fetch(
    url: str, body: str | None = None, timeout_s: float = 5
) -> tuple[int, str]:
    """Return status and body of a response, or 0 and the error if none came."""
    client = httpclient.AsyncHTTPClient()
    try:
        answer = await client.fetch(
            url,
            method='GET' if body is None else 'POST',
            body=body,
            request_timeout=timeout_s,
            raise_error=False,
        )
    except (OSError, httpclient.HTTPError) as error:
        return 0, str(error)
    if answer.code == 599:
        return 0, str(answer.error)
    return answer.code, answer.body.decode(errors='replace')
