"""The journal's interface for the request path."""

from __future__ import annotations

import abc
import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.errors import Failure

_SEPARATOR = b'\0'


@final
@dataclass(frozen=True, slots=True)
class GuardedRequest:
    """The identity of a non-idempotent request in the journal."""

    account: str
    # The caller's idempotency key, unique within the client account.
    key: str
    # Hexadecimal SHA-256 of the request: its target, method and body.
    digest: str
    # Monotonic time in seconds.
    deadline: float

    @property
    def row_name(self) -> str:
        """Return the row's name, a hash that hides the account and the key."""
        text = _SEPARATOR.join((self.account.encode(), self.key.encode()))
        return hashlib.sha256(text).hexdigest()


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer, returned again for the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class Intent:
    """Permission to send a request once, confirmed by an open row.

    It ends with a call of ``close_not_run``, ``record`` or
    ``record_unknown``.
    """

    row_name: str
    attempt: str
    digest: str
    # Version of the row; no other attempt writes it while it is open.
    version: int
    # Wall-clock times in seconds since the epoch.
    opened_at: float
    ends_at: float


class Journal(abc.ABC):
    """Records sent requests, so that none is sent twice."""

    @abc.abstractmethod
    async def look_up(
        self, request: GuardedRequest
    ) -> StoredAnswer | Failure | None:
        """Return the recorded outcome of a key; None if it may be opened.

        Failures: ``KEY_REUSED``, ``KEY_IN_PROGRESS``, ``OUTCOME_UNKNOWN``,
        ``PLATFORM_UNAVAILABLE``.
        """

    @abc.abstractmethod
    async def open(
        self, request: GuardedRequest
    ) -> Intent | StoredAnswer | Failure:
        """Return a confirmed intent, or the recorded outcome of the key.

        The failures are those of ``look_up``, and ``DEADLINE_PASSED``. After
        a failure with ``Ran.NO``, this attempt has sent nothing and never
        will.
        """

    @abc.abstractmethod
    def close_not_run(self, intent: Intent) -> None:
        """Record that the request certainly did not run; it may be retried."""

    @abc.abstractmethod
    async def record(self, intent: Intent, answer: StoredAnswer) -> None:
        """Record the answer; waits only briefly for the platform."""

    @abc.abstractmethod
    def record_unknown(self, intent: Intent) -> None:
        """Record that it is unknown whether the request ran."""
