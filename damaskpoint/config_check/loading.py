"""Reads the inputs of a check from files, standard input and the store."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any, Final

from damaskpoint.errors import Code, Failure
from damaskpoint.platform import names
from damaskpoint.platform.store import RowRange, create_store, next_key

# Name of standard input in place of a file.
STANDARD_INPUT: Final = '-'
_STORE_TIMEOUT_S: Final = 5.0


def load_json(name: str) -> Any | Failure:
    """Read a JSON file or standard input."""
    try:
        content = _read_bytes(name)
    except OSError as error:
        return Failure(Code.MESSAGE_MALFORMED, f'{name}: {error.strerror}')
    return _decode(name, content)


async def fetch_configuration(address: str) -> Any | Failure:
    """Read the JSON value of the configuration from the store."""
    key = names.KEY_CONFIGURATION
    store = create_store(f'http://{address}', _STORE_TIMEOUT_S)
    read = await store.read_range(
        RowRange(names.TABLE_OPERATOR, key, next_key(key))
    )
    if isinstance(read, Failure):
        return read
    for row in read.rows:
        if row.key == key and row.content is not None:
            return _decode(address, row.content)
    return Failure(Code.PLATFORM_MISSING, f'{address}: no configuration')


def _read_bytes(name: str) -> bytes:
    if name == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    return pathlib.Path(name).read_bytes()


def _decode(name: str, content: bytes) -> Any | Failure:
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        return Failure(Code.MESSAGE_MALFORMED, f'{name}: {error}')
