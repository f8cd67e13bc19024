"""One attempt at a stage: acquire a ticket, send, validate the answer."""

from __future__ import annotations

import hashlib
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, final
from urllib.parse import quote

from damaskpoint import defaults, protocol
from damaskpoint.errors import Failure
from damaskpoint.pipeline import metrics
from damaskpoint.pipeline.answer_check import (
    CallIdentity,
    classify_status,
    make_report,
    parse_stage_body,
)
from damaskpoint.pipeline.call import (
    AttemptIdGenerator,
    CallFailure,
    UpstreamCall,
)
from damaskpoint.pipeline.model import AttemptFailure, StageResult
from damaskpoint.pipeline.token_receiver import TokenReceiver
from damaskpoint.routing.base import CallEnd, RouteQuery, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.pipeline.background import BackgroundTasks
    from damaskpoint.pipeline.call import UpstreamAnswer, UpstreamHead
    from damaskpoint.pipeline.model import StageJob
    from damaskpoint.pipeline.upstream_client import UpstreamClient
    from damaskpoint.routing.base import Router, Upstream

_PREFIX_BYTES = 256
_MAX_RESUMES = 3


@final
@dataclass(frozen=True, slots=True)
class CallDependencies:
    """The dependencies that all calls share."""

    router: Router
    client: UpstreamClient
    background: BackgroundTasks
    attempt_ids: AttemptIdGenerator
    max_answer_bytes: int


@final
class StageAttempt:
    """Runs one attempt at a stage on one upstream.

    A stream that breaks is resumed within the attempt, each time as a new
    call with an attempt id of its own.
    """

    def __init__(self, job: StageJob, dependencies: CallDependencies) -> None:
        """Create an attempt for which no upstream is chosen yet."""
        # Name of the upstream; empty until one is chosen.
        self.upstream = ''
        # Called right before each send.
        self.on_sent: Callable[[], None] | None = None
        self._job = job
        self._dependencies = dependencies
        self._receiver: TokenReceiver | None = None
        if job.sink is not None:
            self._receiver = TokenReceiver(
                job.sink, dependencies.max_answer_bytes
            )
        self._is_resume = False
        self._resumes = 0
        # Identifiers of the current call.
        self._identity = CallIdentity('', '', '')
        self._sent_at = float(0)

    async def run(
        self, excluded: frozenset[str]
    ) -> StageResult | AttemptFailure | Failure:
        """Return the stage's result, or why there is none.

        A ``Failure`` is the router's refusal: nothing was sent. After an
        ``AttemptFailure`` another attempt may succeed.
        """
        ticket = await self._acquire(excluded, only='')
        if isinstance(ticket, Failure):
            return ticket
        self.upstream = ticket.upstream.name
        outcome = await self._send(ticket)
        while isinstance(outcome, AttemptFailure) and self._may_resume(outcome):
            resumed = await self._acquire(frozenset(), only=self.upstream)
            if isinstance(resumed, Failure):
                metrics.RESUMES.inc({'result': 'not_allowed'})
                break
            if resumed.upstream.name != self.upstream:
                self._release_unused(resumed)
                break
            self._is_resume = True
            self._resumes += 1
            outcome = await self._send(resumed)
            result = 'whole' if isinstance(outcome, StageResult) else 'broken'
            metrics.RESUMES.inc({'result': result})
        return outcome

    def _may_resume(self, failure: AttemptFailure) -> bool:
        if self._receiver is None or self._receiver.offset == 0:
            return False
        if self._resumes >= _MAX_RESUMES:
            return False
        return failure.end in {CallEnd.BROKEN, CallEnd.UNREACHABLE}

    async def _acquire(
        self, excluded: frozenset[str], only: str
    ) -> Ticket | Failure:
        job = self._job
        query = RouteQuery(
            job.request.request_id,
            job.stage.pool,
            job.stage.model,
            job.stage.adapter,
            _hash_prefix(job),
            excluded,
            job.deadline,
            only,
            job.stages_done,
        )
        return await self._dependencies.router.acquire(query)

    def _release_unused(self, ticket: Ticket) -> None:
        report = make_report(CallEnd.UNUSED, 0, None)
        self._dependencies.router.release(ticket, report)

    async def _send(self, ticket: Ticket) -> StageResult | AttemptFailure:
        """Send with a ticket, and always release the ticket."""
        self._identity = self._make_identity()
        self._sent_at = time.monotonic()
        if self.on_sent is not None:
            self.on_sent()
        try:
            outcome, head = await self._call_upstream(ticket)
        except BaseException:
            # The caller disconnected, or the other attempt of a hedge won.
            self._release(ticket, CallEnd.CANCELLED, None)
            self._stop_stream(ticket.upstream)
            raise
        self._release(ticket, _call_end(outcome), head)
        return outcome

    def _release(
        self, ticket: Ticket, end: CallEnd, head: UpstreamHead | None
    ) -> None:
        report = make_report(end, time.monotonic() - self._sent_at, head)
        self._dependencies.router.release(ticket, report)
        metrics.UPSTREAM_CALLS.inc(
            {'pool': self._job.stage.pool, 'end': end.value}
        )

    async def _call_upstream(
        self, ticket: Ticket
    ) -> tuple[StageResult | AttemptFailure, UpstreamHead | None]:
        address = (ticket.upstream.host, ticket.upstream.port)
        receiver = self._receiver
        call = self._make_call(ticket)
        if receiver is None:
            answer = await self._dependencies.client.send(address, call)
        else:
            receiver.begin_call(self._identity)
            answer = await self._dependencies.client.send(
                address, call, receiver.receive
            )
        if isinstance(answer, CallFailure):
            end = answer.end
            if receiver is not None and receiver.end is not None:
                end = receiver.end
            return self._make_failure(end, answer.detail), None
        return self._check_answer(answer), answer.head

    def _check_answer(
        self, answer: UpstreamAnswer
    ) -> StageResult | AttemptFailure:
        end = classify_status(self._identity, answer)
        if end is not CallEnd.SUCCEEDED:
            return self._make_failure(end, f'status {answer.head.status}')
        if self._receiver is None:
            return self._parse_result(answer)
        if self._receiver.end is CallEnd.SUCCEEDED:
            return self._make_result(self._receiver.text, self._receiver.offset)
        stream_end = self._receiver.end or CallEnd.BROKEN
        return self._make_failure(stream_end, 'the stream has no end mark')

    def _parse_result(
        self, answer: UpstreamAnswer
    ) -> StageResult | AttemptFailure:
        body = parse_stage_body(self._identity, answer.body)
        if isinstance(body, CallEnd):
            return self._make_failure(
                body, 'the body is not an answer to the call'
            )
        return self._make_result(body.output, body.units)

    def _make_result(self, output: object, units: int) -> StageResult:
        return StageResult(
            self._identity.request_id,
            self._identity.stage,
            self._identity.attempt,
            output,
            units,
            self.upstream,
            time.monotonic() - self._sent_at,
        )

    def _make_failure(self, end: CallEnd, detail: str) -> AttemptFailure:
        if end is CallEnd.MISMATCHED:
            metrics.DISCARDED.inc({'reason': end.value})
        return AttemptFailure(end, detail, self.upstream)

    def _make_identity(self) -> CallIdentity:
        return CallIdentity(
            self._job.request.request_id,
            self._job.stage.name,
            self._dependencies.attempt_ids.next_id(),
        )

    def _make_call(self, ticket: Ticket) -> UpstreamCall:
        job = self._job
        body = {
            'model': job.stage.model,
            'adapter': job.stage.adapter,
            'stream': self._receiver is not None,
            'input': job.payload,
        }
        headers = [
            ('Host', f'{ticket.upstream.host}:{ticket.upstream.port}'),
            ('Content-Type', protocol.MEDIA_JSON),
            (protocol.HEADER_PRIORITY, str(job.request.account.priority)),
            *self._identity.headers(),
        ]
        if self._is_resume and self._receiver is not None:
            offset = str(self._receiver.offset)
            headers.append((protocol.HEADER_LAST_EVENT_ID, offset))
        if job.stage.has_side_effect and job.request.key:
            headers.append((protocol.HEADER_IDEMPOTENCY_KEY, job.request.key))
        return UpstreamCall(
            method='POST',
            path=f'/v1/stages/{job.stage.kind.value}',
            headers=tuple(headers),
            body=json.dumps(body).encode(),
            deadline=job.deadline,
            send_deadline=ticket.issued_at + defaults.MAX_SEND_DELAY_S,
            is_idempotent=not job.stage.has_side_effect,
        )

    def _stop_stream(self, upstream: Upstream) -> None:
        """Ask the engine to drop the stream, since it will not be resumed."""
        if self._receiver is None:
            return
        now = time.monotonic()
        request_id = quote(self._job.request.request_id, safe='')
        call = UpstreamCall(
            method='DELETE',
            path=f'/v1/streams/{request_id}',
            headers=(('Host', f'{upstream.host}:{upstream.port}'),),
            body=b'',
            deadline=now + defaults.STOP_STREAM_TIMEOUT_S,
            send_deadline=now + defaults.STOP_STREAM_TIMEOUT_S,
            is_idempotent=False,
        )
        address = (upstream.host, upstream.port)
        self._dependencies.background.start(
            self._dependencies.client.send(address, call)
        )


def _call_end(outcome: StageResult | AttemptFailure) -> CallEnd:
    if isinstance(outcome, StageResult):
        return CallEnd.SUCCEEDED
    return outcome.end


def _hash_prefix(job: StageJob) -> bytes:
    """Return a digest of the prompt's first bytes, for prefix affinity.

    Calls with equal digests can share an engine's prompt cache. Empty if
    the payload has no text.
    """
    payload = job.payload
    if isinstance(payload, dict) and isinstance(payload.get('prefix'), str):
        text = str(payload['prefix'])
    elif isinstance(payload, str):
        text = payload
    else:
        return b''
    start = text.encode()[:_PREFIX_BYTES]
    return hashlib.sha256(start).digest()
