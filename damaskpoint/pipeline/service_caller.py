"""Forwards requests to plain services and returns their complete answers."""

from __future__ import annotations

import functools
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.errors import Failure, Ran
from damaskpoint.journal.base import GuardedRequest, StoredAnswer
from damaskpoint.pipeline import metrics
from damaskpoint.pipeline.answer_check import (
    CallIdentity,
    classify_status,
    make_report,
)
from damaskpoint.pipeline.call import CallFailure, UpstreamCall
from damaskpoint.pipeline.model import AttemptFailure
from damaskpoint.pipeline.retry_policy import (
    AttemptHistory,
    RetryDecision,
    decide_retry,
    describe_end,
)
from damaskpoint.routing.base import CallEnd, RouteQuery

if TYPE_CHECKING:
    from damaskpoint.journal.guard import Guard
    from damaskpoint.pipeline.attempt import CallDependencies
    from damaskpoint.pipeline.call import UpstreamAnswer, UpstreamHead
    from damaskpoint.pipeline.retry_budget import RetryBudget
    from damaskpoint.routing.base import Ticket

# Headers that are not forwarded in either direction, in lower case: those of
# one connection, and those that this system sets itself.
_DROPPED_HEADERS: Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-attempt',
        'x-deadline-ms',
        'x-incarnation',
        'x-request-id',
        'x-stage',
        'x-warmth',
    )
)
_NOT_SENT: Final = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE))


@final
@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """An admitted request to a plain service."""

    request_id: str
    account: str
    pool: str
    method: str
    # Path and query, as sent to the service.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_idempotent: bool
    # The caller's idempotency key; empty if there is none.
    key: str
    # Hexadecimal SHA-256 of pool, method, path and body.
    digest: str
    # Monotonic time in seconds.
    deadline: float


@final
class ServiceCaller:
    """Sends requests to plain services.

    An idempotent request is retried within the retry budget; any other is
    run at most once, under the journal's guard.
    """

    def __init__(
        self, dependencies: CallDependencies, budget: RetryBudget, guard: Guard
    ) -> None:
        """Create a caller with the dependencies that all requests share."""
        self._dependencies = dependencies
        self._budget = budget
        self._guard = guard

    async def answer(self, request: ServiceRequest) -> StoredAnswer | Failure:
        """Return the service's complete answer, or why there is none."""
        if request.is_idempotent:
            return await self._send_with_retries(request)
        guarded = GuardedRequest(
            request.account, request.key, request.digest, request.deadline
        )
        send = functools.partial(self._send_with_retries, request)
        return await self._guard.run(guarded, send)

    async def _send_with_retries(
        self, request: ServiceRequest
    ) -> StoredAnswer | Failure:
        """Send until there is an answer or no retry is allowed."""
        self._budget.record_first_attempt()
        tried: set[str] = set()
        sent = 0
        unsent = 0
        while True:
            outcome = await self._run_attempt(request, frozenset(tried))
            if isinstance(outcome, StoredAnswer):
                return outcome
            if isinstance(outcome, Failure):
                may_have_run = request.is_idempotent and sent > 0
                return (
                    replace(outcome, ran=Ran.UNKNOWN)
                    if may_have_run
                    else outcome
                )
            tried.add(outcome.upstream)
            if outcome.end in _NOT_SENT:
                unsent += 1
            else:
                sent += 1
            remaining_s = request.deadline - time.monotonic()
            history = AttemptHistory(
                request.is_idempotent, sent, unsent, remaining_s, fast_s=0
            )
            if not self._may_retry(outcome, history):
                return describe_end(
                    outcome.end, request.is_idempotent, outcome.detail
                )

    def _may_retry(
        self, failure: AttemptFailure, history: AttemptHistory
    ) -> bool:
        decision = decide_retry(failure.end, history)
        on_budget = decision is RetryDecision.REPEAT_ON_BUDGET
        if on_budget and not self._budget.spend():
            decision = RetryDecision.GIVE_UP
        metrics.RETRIES.inc(
            {'decision': decision.value, 'cause': failure.end.value}
        )
        return decision is not RetryDecision.GIVE_UP

    async def _run_attempt(
        self, request: ServiceRequest, tried: frozenset[str]
    ) -> StoredAnswer | AttemptFailure | Failure:
        query = RouteQuery(
            request.request_id,
            request.pool,
            model='',
            adapter='',
            prefix=b'',
            excluded=tried,
            deadline=request.deadline,
        )
        ticket = await self._dependencies.router.acquire(query)
        if isinstance(ticket, Failure):
            return ticket
        sent_at = time.monotonic()
        try:
            outcome, end, head = await self._send(request, ticket)
        except BaseException:
            self._release(ticket, CallEnd.CANCELLED, sent_at, None)
            raise
        self._release(ticket, end, sent_at, head)
        return outcome

    async def _send(
        self, request: ServiceRequest, ticket: Ticket
    ) -> tuple[StoredAnswer | AttemptFailure, CallEnd, UpstreamHead | None]:
        upstream = ticket.upstream
        identity = CallIdentity(
            request.request_id, '', self._dependencies.attempt_ids.next_id()
        )
        host = f'{upstream.host}:{upstream.port}'
        call = UpstreamCall(
            request.method,
            request.path,
            (('Host', host), *request.headers, *identity.headers()),
            request.body,
            request.deadline,
            ticket.issued_at + defaults.MAX_SEND_DELAY_S,
            request.is_idempotent,
        )
        answer = await self._dependencies.client.send(
            (upstream.host, upstream.port), call
        )
        if isinstance(answer, CallFailure):
            failure = AttemptFailure(answer.end, answer.detail, upstream.name)
            return failure, answer.end, None
        end = classify_status(identity, answer)
        if _is_final(end, request.is_idempotent):
            return _to_stored_answer(answer), end, answer.head
        if end is CallEnd.MISMATCHED:
            metrics.DISCARDED.inc({'reason': end.value})
        detail = f'status {answer.head.status}'
        return AttemptFailure(end, detail, upstream.name), end, answer.head

    def _release(
        self,
        ticket: Ticket,
        end: CallEnd,
        sent_at: float,
        head: UpstreamHead | None,
    ) -> None:
        report = make_report(end, time.monotonic() - sent_at, head)
        self._dependencies.router.release(ticket, report)
        metrics.UPSTREAM_CALLS.inc(
            {'pool': ticket.upstream.pool, 'end': end.value}
        )


def select_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, in either direction."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _DROPPED_HEADERS
    )


def _is_final(end: CallEnd, is_idempotent: bool) -> bool:
    """Return whether an answer is returned to the caller as it is.

    This includes an error of a call that may not be repeated, as only the
    service itself can report the outcome of that call.
    """
    if end in {CallEnd.SUCCEEDED, CallEnd.REFUSED}:
        return True
    return end is CallEnd.FAILED and not is_idempotent


def _to_stored_answer(answer: UpstreamAnswer) -> StoredAnswer:
    headers = select_headers(answer.head.headers)
    return StoredAnswer(answer.head.status, headers, answer.body)
