"""What the request path asks of the journal of non-idempotent requests."""

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
    """A non-idempotent request, as the journal knows it."""

    account: str
    # The caller's idempotency key, unique within the client account.
    key: str
    # Hexadecimal SHA-256 of what is asked: target, method and body.
    digest: str
    # Monotonic time in seconds.
    deadline: float

    @property
    def row_name(self) -> str:
        """Return the name of the row; accounts and keys do not show."""
        text = _SEPARATOR.join((self.account.encode(), self.key.encode()))
        return hashlib.sha256(text).hexdigest()


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer, as it is given again to the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class Intent:
    """The right to send a request, once: its row says so in this entry's name.

    It is used up by one of ``close_not_run``, ``record`` and
    ``record_unknown``.
    """

    row_name: str
    attempt: str
    digest: str
    # Version of the row; nobody else writes it while the intent is open.
    version: int
    # Wall-clock times in seconds since the epoch.
    opened_at: float
    ends_at: float


class Journal(abc.ABC):
    """Remembers what was sent, so that nothing is sent twice."""

    @abc.abstractmethod
    async def look_up(
        self, request: GuardedRequest
    ) -> StoredAnswer | Failure | None:
        """Return what is known of a key, None if it may be opened.

        Failures: ``KEY_REUSED``, ``KEY_IN_PROGRESS``, ``OUTCOME_UNKNOWN``,
        ``PLATFORM_UNAVAILABLE``.
        """

    @abc.abstractmethod
    async def open(
        self, request: GuardedRequest
    ) -> Intent | StoredAnswer | Failure:
        """Return a confirmed intent, or what is known of the key.

        Failures as of ``look_up``. After a failure with ``Ran.NO`` nothing
        was sent in this attempt's name, and nothing ever will be.
        """

    @abc.abstractmethod
    def close_not_run(self, intent: Intent) -> None:
        """Say that the request was certainly not run; it may be repeated."""

    @abc.abstractmethod
    async def record(self, intent: Intent, answer: StoredAnswer) -> None:
        """Keep the answer; waits for the platform for a short time only."""

    @abc.abstractmethod
    def record_unknown(self, intent: Intent) -> None:
        """Say that nobody can tell whether the request ran."""
