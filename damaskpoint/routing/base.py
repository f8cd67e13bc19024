"""What the request path asks of routing.

The path acquires a ticket before each call to an upstream, sends in the same
turn of the loop in which it got the ticket, and releases it with a report.
"""

from __future__ import annotations

import abc
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.errors import Failure


@final
@dataclass(frozen=True, slots=True)
class Upstream:
    """One back end: where it is, and which start of it is meant."""

    name: str
    pool: str
    zone: str
    host: str
    port: int
    incarnation: int


@final
@dataclass(frozen=True, slots=True)
class RouteQuery:
    """A call that needs an upstream."""

    request_id: str
    pool: str
    # Model and adapter that the upstream must have loaded; empty for none.
    model: str
    adapter: str
    # Calls of equal prefix prefer the same upstream; empty for none.
    prefix: bytes
    # Names of upstreams that earlier attempts have used up.
    excluded: frozenset[str]
    # Monotonic time in seconds by which the call must have ended.
    deadline: float
    # Name of the only upstream that will do, to resume a stream; or empty.
    only: str = ''
    # Stages of the request that have run; their work is lost if it fails.
    stages_done: int = 0


@final
@dataclass(frozen=True, slots=True)
class Ticket:
    """The right to send one call to one upstream, now."""

    number: int
    upstream: Upstream
    # Whether the upstream counts as cold and the ticket is one of its few.
    is_cold: bool
    # Monotonic time in seconds when the ticket was given.
    issued_at: float


@final
class CallEnd(enum.Enum):
    """How a call to an upstream ended."""

    SUCCEEDED = 'succeeded'
    # Answered with a status that blames the upstream.
    FAILED = 'failed'
    # Answered that it is overloaded and did not run the call.
    OVERLOADED = 'overloaded'
    # Answered with a status that blames the call.
    REFUSED = 'refused'
    # The connection could not be made; the call did not reach it.
    UNREACHABLE = 'unreachable'
    # The connection broke after the call may have been read.
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'
    # The answer did not echo the call's own identifiers.
    MISMATCHED = 'mismatched'
    # The ticket was given back without a send.
    UNUSED = 'unused'


@final
@dataclass(frozen=True, slots=True)
class CallReport:
    """What the path saw of a call."""

    end: CallEnd
    # Seconds from the send to the end of the answer.
    duration_s: float
    # What the answer's headers said; None where there was no answer.
    incarnation: int | None = None
    is_warm: bool | None = None


class Router(abc.ABC):
    """Chooses upstreams and counts what is sent to them."""

    @abc.abstractmethod
    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket, waiting for one within bounds of the settings.

        Failures: ``NO_UPSTREAM`` with a time to come back, at once when
        waiting cannot help; ``DEADLINE_PASSED``.
        """

    @abc.abstractmethod
    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Give a ticket back, exactly once, with what was seen."""
