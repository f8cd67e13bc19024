"""Loopback addresses that differ between concurrent runs on a machine."""

from __future__ import annotations

import os
from typing import Final

_OCTET_VALUES: Final = 250


def pick_base_host() -> str:
    """Return the first three octets, derived from the process id."""
    pid = os.getpid()
    return (
        f'127.{1 + pid // _OCTET_VALUES % _OCTET_VALUES}.{pid % _OCTET_VALUES}'
    )
