"""Value types for calls to upstreams and their answers."""

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
    # Path and query, as sent.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # Monotonic time in seconds by which the answer must be complete.
    deadline: float
    # Latest monotonic time in seconds at which the call may be sent.
    send_deadline: float
    # Whether the call may safely be sent twice.
    is_idempotent: bool


@final
@dataclass(frozen=True, slots=True)
class UpstreamHead:
    """Status and headers of an upstream's answer."""

    status: int
    # Names in the upstream's spelling; a name may occur more than once.
    headers: tuple[tuple[str, str], ...]

    def find(self, name: str) -> str | None:
        """Return the first value of a header; its name ignores case."""
        wanted = name.lower()
        for found, value in self.headers:
            if found.lower() == wanted:
                return value
        return None


@final
@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A complete answer of an upstream."""

    head: UpstreamHead
    # Empty if a receiver consumed the body in chunks.
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that ended without a complete answer."""

    # UNUSED, UNREACHABLE, BROKEN or TIMED_OUT.
    end: CallEnd
    detail: str


@final
class AttemptIdGenerator:
    """Generates attempt ids that are unique across calls and processes."""

    def __init__(self) -> None:
        """Draw a random nonce that distinguishes this process from others."""
        self._nonce = uuid.uuid4().hex[:_NONCE_CHARACTERS]
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return an id that was not used before."""
        return f'{self._nonce}-{next(self._numbers)}'
