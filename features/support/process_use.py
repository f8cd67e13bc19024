"""Reads the resources that a process uses."""

from __future__ import annotations

import os
import pathlib
from typing import Final, Protocol

_BYTES_PER_KB: Final = 1_024
# Index of the user time in /proc/PID/stat, after the name of the command.
_USER_FIELD: Final = 11


class Launched(Protocol):
    """What is needed of a launcher."""

    def find_pid(self, name: str) -> int:
        """Return the process id of a process."""

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""

    def read_log(self, name: str) -> str:
        """Return the end of the log of a process."""


class ProcessUse:
    """The resources of one process."""

    def __init__(self, launcher: Launched, name: str) -> None:
        """Read those of the process with this name."""
        self._launcher = launcher
        self._name = name

    @property
    def is_running(self) -> bool:
        """Return whether the process lives."""
        return self._launcher.is_running(self._name)

    @property
    def log(self) -> str:
        """Return the end of the process's log."""
        return self._launcher.read_log(self._name)

    def read_peak_bytes(self) -> int:
        """Return the peak resident memory."""
        status = self._folder / 'status'
        for line in status.read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * _BYTES_PER_KB
        raise AssertionError('no VmHWM')

    def read_cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        stat = (self._folder / 'stat').read_text()
        # The command's name, in parentheses, may contain spaces.
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[_USER_FIELD]) + int(fields[_USER_FIELD + 1])
        return ticks / os.sysconf('SC_CLK_TCK')

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list((self._folder / 'fd').iterdir()))

    @property
    def _folder(self) -> pathlib.Path:
        return pathlib.Path('/proc') / str(self._launcher.find_pid(self._name))
