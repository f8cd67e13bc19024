"""Passes requests on to plain services and their answers back, whole."""

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
    judge_status,
    make_report,
)
from damaskpoint.pipeline.call import CallFault, UpstreamCall
from damaskpoint.pipeline.retry_policy import (
    RetryDecision,
    TryHistory,
    decide_retry,
    describe_end,
)
from damaskpoint.pipeline.work import TryFault
from damaskpoint.routing.base import CallEnd, RouteQuery

if TYPE_CHECKING:
    from damaskpoint.journal.guard import Guard
    from damaskpoint.pipeline.attempt import CallParts
    from damaskpoint.pipeline.call import UpstreamAnswer, UpstreamHead
    from damaskpoint.pipeline.retry_budget import RetryBudget
    from damaskpoint.routing.base import Ticket

# Headers of one connection, and those that are the system's own.
_NOT_PASSED_ON: Final = frozenset(
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
_UNSENT: Final = frozenset((CallEnd.UNUSED, CallEnd.UNREACHABLE))


@final
@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request to a plain service that was let in."""

    request_id: str
    account: str
    pool: str
    method: str
    # Path and query as the service gets them.
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
    """Sends idempotent calls until one succeeds, others at most once."""

    def __init__(
        self, parts: CallParts, budget: RetryBudget, guard: Guard
    ) -> None:
        """Keep what all calls share."""
        self._parts = parts
        self._budget = budget
        self._guard = guard

    async def answer(self, request: ServiceRequest) -> StoredAnswer | Failure:
        """Return the service's whole answer, or why there is none."""
        if request.is_idempotent:
            return await self._send_tries(request)
        guarded = GuardedRequest(
            request.account, request.key, request.digest, request.deadline
        )
        send = functools.partial(self._send_tries, request)
        return await self._guard.run(guarded, send)

    async def _send_tries(
        self, request: ServiceRequest
    ) -> StoredAnswer | Failure:
        """Try until there is an answer, or nothing may be repeated."""
        self._budget.record_first_try()
        used: set[str] = set()
        sent = 0
        unsent = 0
        while True:
            outcome = await self._try(request, frozenset(used))
            if isinstance(outcome, StoredAnswer):
                return outcome
            if isinstance(outcome, Failure):
                has_run = request.is_idempotent and sent > 0
                return replace(outcome, ran=Ran.UNKNOWN) if has_run else outcome
            used.add(outcome.upstream)
            if outcome.end in _UNSENT:
                unsent += 1
            else:
                sent += 1
            left_s = request.deadline - time.monotonic()
            history = TryHistory(
                request.is_idempotent, sent, unsent, left_s, fast_s=0
            )
            if not self._may_repeat(outcome, history):
                return describe_end(
                    outcome.end, request.is_idempotent, outcome.detail
                )

    def _may_repeat(self, fault: TryFault, history: TryHistory) -> bool:
        decision = decide_retry(fault.end, history)
        on_budget = decision is RetryDecision.REPEAT_ON_BUDGET
        if on_budget and not self._budget.spend():
            decision = RetryDecision.GIVE_UP
        metrics.RETRIES.inc(
            {'decision': decision.value, 'cause': fault.end.value}
        )
        return decision is not RetryDecision.GIVE_UP

    async def _try(
        self, request: ServiceRequest, used: frozenset[str]
    ) -> StoredAnswer | TryFault | Failure:
        query = RouteQuery(
            request.request_id,
            request.pool,
            model='',
            adapter='',
            prefix=b'',
            excluded=used,
            deadline=request.deadline,
        )
        ticket = await self._parts.router.acquire(query)
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
    ) -> tuple[StoredAnswer | TryFault, CallEnd, UpstreamHead | None]:
        upstream = ticket.upstream
        identity = CallIdentity(
            request.request_id, '', self._parts.attempt_ids.make()
        )
        host = f'{upstream.host}:{upstream.port}'
        call = UpstreamCall(
            request.method,
            request.path,
            (('Host', host), *request.headers, *identity.headers()),
            request.body,
            request.deadline,
            ticket.issued_at + defaults.SEND_BOUND_S,
            request.is_idempotent,
        )
        answer = await self._parts.client.send(
            (upstream.host, upstream.port), call
        )
        if isinstance(answer, CallFault):
            fault = TryFault(answer.end, answer.detail, upstream.name)
            return fault, answer.end, None
        end = judge_status(identity, answer)
        if _is_final(end, request.is_idempotent):
            return _keep(answer), end, answer.head
        if end is CallEnd.MISMATCHED:
            metrics.DISCARDED.inc({'reason': end.value})
        detail = f'status {answer.head.status}'
        return TryFault(end, detail, upstream.name), end, answer.head

    def _release(
        self,
        ticket: Ticket,
        end: CallEnd,
        sent_at: float,
        head: UpstreamHead | None,
    ) -> None:
        report = make_report(end, time.monotonic() - sent_at, head)
        self._parts.router.release(ticket, report)
        metrics.UPSTREAM_CALLS.inc(
            {'pool': ticket.upstream.pool, 'end': end.value}
        )


def select_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are passed on, in either direction."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_PASSED_ON
    )


def _is_final(end: CallEnd, is_idempotent: bool) -> bool:
    """Return whether an answer is the service's own word to the caller.

    An error of a call that may not be repeated is passed on whole: the
    service said what became of it.
    """
    if end in {CallEnd.SUCCEEDED, CallEnd.REFUSED}:
        return True
    return end is CallEnd.FAILED and not is_idempotent


def _keep(answer: UpstreamAnswer) -> StoredAnswer:
    headers = select_headers(answer.head.headers)
    return StoredAnswer(answer.head.status, headers, answer.body)
