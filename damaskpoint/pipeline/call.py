"""Calls to upstreams and what comes back, as typed values."""

from __future__ import annotations

import itertools
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.routing.base import CallEnd

_NONCE_CHARACTERS = 12


@final
@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP call to one upstream."""

    method: str
    # Path and query as they are sent.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # Monotonic time in seconds by which the answer must be whole.
    deadline: float
    # Latest monotonic time in seconds at which the call may be sent.
    send_by: float
    # Whether the upstream may be sent the same call twice.
    is_idempotent: bool


@final
@dataclass(frozen=True, slots=True)
class UpstreamHead:
    """Status and headers of an answer."""

    status: int
    # Names as the upstream wrote them; a name may occur twice.
    headers: tuple[tuple[str, str], ...]

    def find(self, name: str) -> str | None:
        """Return the first value of a header, whatever its case."""
        wanted = name.lower()
        for found, value in self.headers:
            if found.lower() == wanted:
                return value
        return None


@final
@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A whole answer of an upstream."""

    head: UpstreamHead
    # Empty where a receiver took the body piece by piece.
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class CallFault:
    """A call that brought no whole answer."""

    # UNUSED, UNREACHABLE, BROKEN or TIMED_OUT.
    end: CallEnd
    detail: str


@final
class AttemptIdGenerator:
    """Makes attempt ids that no other process or call uses."""

    def __init__(self) -> None:
        """Draw a random part that tells this process from others."""
        self._nonce = uuid.uuid4().hex[:_NONCE_CHARACTERS]
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return a new id."""
        return f'{self._nonce}-{next(self._numbers)}'
