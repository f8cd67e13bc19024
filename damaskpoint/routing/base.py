"""The interface between the request path and routing.

The request path acquires a ticket before each call to an upstream, sends the
call in the same iteration of the event loop in which it got the ticket, and
releases the ticket with a report.
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
    """The address of one back end, as of one of its incarnations."""

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
    # Calls with the same prefix prefer the same upstream; empty for none.
    prefix: bytes
    # Names of upstreams that earlier attempts rule out.
    excluded: frozenset[str]
    # Monotonic time in seconds by which the call must have ended.
    deadline: float
    # Name of the only acceptable upstream, to resume a stream; empty for any.
    only: str = ''
    # Completed stages of the request; their results are lost if the call
    # fails.
    stages_done: int = 0


@final
@dataclass(frozen=True, slots=True)
class Ticket:
    """The right to send one call to one upstream, now."""

    number: int
    upstream: Upstream
    # Whether the upstream counts as cold, so that the ticket uses a permit.
    is_cold: bool
    # Monotonic time in seconds at which the ticket was issued.
    issued_at: float


@final
class CallEnd(enum.Enum):
    """How a call to an upstream ended."""

    SUCCEEDED = 'succeeded'
    # The response status indicates a fault of the upstream.
    FAILED = 'failed'
    # The upstream responded that it is overloaded and did not run the call.
    OVERLOADED = 'overloaded'
    # The response status indicates a fault of the call.
    REFUSED = 'refused'
    # No connection could be made; the call did not reach the upstream.
    UNREACHABLE = 'unreachable'
    # The connection broke when the upstream may already have read the call.
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'
    # The response did not echo the identifiers of the call.
    MISMATCHED = 'mismatched'
    # The ticket was released without sending the call.
    UNUSED = 'unused'


@final
@dataclass(frozen=True, slots=True)
class CallReport:
    """What the request path observed of a call."""

    end: CallEnd
    # Seconds from the send to the end of the response.
    duration_s: float
    # Values of the response headers; None if there was no response.
    incarnation: int | None = None
    is_warm: bool | None = None


class Router(abc.ABC):
    """Chooses upstreams and counts the calls in flight to them."""

    @abc.abstractmethod
    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket, waiting for one within the configured bounds.

        Fails with ``NO_UPSTREAM`` and a retry delay, at once if waiting cannot
        help, or with ``DEADLINE_PASSED``.
        """

    @abc.abstractmethod
    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Release a ticket, exactly once, with the report of its call."""
