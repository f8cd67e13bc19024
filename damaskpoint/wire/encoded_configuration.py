"""A configuration as processes transfer it to each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class EncodedConfiguration:
    """A version of the configuration with its stored object."""

    version: int
    # Digest of the object, in hexadecimal.
    digest: str
    # The bytes of the object, as in the object store.
    body: bytes
