"""A configuration as processes hand it to each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class EncodedConfiguration:
    """A version and its object."""

    version: int
    # Hexadecimal.
    digest: str
    # The object, as it stands in the object store.
    body: bytes
