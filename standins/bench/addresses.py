"""Loopback addresses that no other run on this machine uses."""

from __future__ import annotations

import os
from typing import Final

_RANGE: Final = 250


def pick_base_host() -> str:
    """Return the first three numbers, derived from the process's own."""
    own = os.getpid()
    return f'127.{1 + own // _RANGE % _RANGE}.{own % _RANGE}'
