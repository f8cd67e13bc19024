"""Starts real processes on loopback and always ends them.

Every test process has its own loopback addresses, derived from its process
id, so that runs at the same time do not meet.
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
_PAUSE_S: Final = 0.05
_FIRST_HOST: Final = 2
_LAST_HOST: Final = 250
_HOSTS: Final = itertools.count()


class Launcher:
    """The processes of one scenario, by name."""

    def __init__(self) -> None:
        """Make a folder for settings, histories and logs."""
        self._folder = tempfile.TemporaryDirectory(prefix='damaskpoint-')
        self.folder = pathlib.Path(self._folder.name)
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._statuses_by_name: dict[str, int] = {}

    def next_host(self) -> str:
        """Return a loopback address of this test process alone."""
        pid = os.getpid()
        number = _FIRST_HOST + next(_HOSTS) % (_LAST_HOST - _FIRST_HOST)
        return f'127.{20 + pid // 256 % 200}.{pid % 256}.{number}'

    def start(self, name: str, module: str, *words: str) -> None:
        """Start ``python -m MODULE WORDS`` under a name."""
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            self._processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *words],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def run(self, module: str, *words: str) -> tuple[int, str]:
        """Run a command to its end; return its status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            output, _nothing = await process.communicate()
        except asyncio.CancelledError:
            process.kill()
            raise
        return process.returncode or 0, output.decode(errors='replace')

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process, if it still runs."""
        process = self._processes_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it is gone."""
        self.send(name, signal.SIGKILL)
        self._processes_by_name[name].wait()

    async def wait_exit(self, name: str) -> int:
        """Return the exit status of a process that ends."""
        process = self._processes_by_name[name]
        give_up_at = time.monotonic() + _EXIT_TIMEOUT_S
        while process.poll() is None:
            if time.monotonic() > give_up_at:
                raise TimeoutError(
                    f'{name} does not end\n{self.read_log(name)}'
                )
            await asyncio.sleep(_PAUSE_S)
        return process.returncode

    def find_pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Tell whether a process runs."""
        return self._processes_by_name[name].poll() is None

    async def wait_ready(self, name: str, url: str) -> None:
        """Wait until a URL of a process answers 200."""
        give_up_at = time.monotonic() + _READY_TIMEOUT_S
        said = ''
        while time.monotonic() < give_up_at:
            if not self.is_running(name):
                raise RuntimeError(f'{name} ended\n{self.read_log(name)}')
            status, said = await fetch(url)
            if status == 200:
                return
            await asyncio.sleep(_PAUSE_S)
        raise TimeoutError(f'{name}: {said}\n{self.read_log(name)}')

    def read_log(self, name: str) -> str:
        """Return the end of what a process wrote."""
        path = self.folder / f'{name}.log'
        return path.read_text(errors='replace')[-3000:]

    def stop_all(self) -> None:
        """Kill every process and remove the folder."""
        for process in self._processes_by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes_by_name.values():
            process.wait()
        self._folder.cleanup()


async def fetch(
    url: str, body: str | None = None, timeout_s: float = 5
) -> tuple[int, str]:
    """Return status and body; status 0 when there is no answer."""
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
