"""HTTP handlers common to model engines and plain services."""

from __future__ import annotations

import asyncio
import http
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

import pydantic

from damaskpoint import protocol
from standins.http import JsonHandler
from standins.upstream_faults import UpstreamControl

if TYPE_CHECKING:
    from standins.load import LoadSnapshot
    from standins.upstream import Upstream

_CROSS_TIMEOUT_S = 2.0
# A warm upstream accepts up to this multiple of its limit; calls above the
# limit share its capacity, so that all calls slow down.
_OVERCOMMIT_FACTOR = 4
_WORK_SLICE_S = 0.02


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer and the call that it belongs to."""

    request_id: str
    stage: str
    attempt: str
    body: dict[str, object]


@dataclass(slots=True)
class Crossing:
    """Holds an answer until a second one arrives to be swapped with it."""

    waiting: asyncio.Future[Answer] | None = None
    answer: Answer | None = field(default=None)


class UpstreamHandler(JsonHandler):
    """The base of an upstream's handlers; it applies the injected faults."""

    upstream: Upstream

    def initialize(self, upstream: Upstream, crossing: Crossing) -> None:
        """Store the upstream and its pending answer to be swapped."""
        self.upstream = upstream
        self.crossing = crossing
        self.work_task: asyncio.Task[object] | None = None
        self.is_dropped = False

    async def prepare(self) -> None:
        """Wait while the upstream is frozen."""
        await self.upstream.faults.wait_until_unfrozen()

    def drop(self) -> None:
        """Close the connection and cancel the work for it."""
        self.is_dropped = True
        self.cancel_work()
        super().drop()

    def cancel_work(self) -> None:
        """Cancel the work for the answer."""
        if self.work_task is not None:
            self.work_task.cancel()

    def call_fields(self) -> dict[str, object]:
        """Return the fields that identify the call in the history."""
        headers = self.request.headers
        return {
            'request_id': headers.get(protocol.HEADER_REQUEST_ID, ''),
            'stage': headers.get(protocol.HEADER_STAGE, ''),
            'attempt': headers.get(protocol.HEADER_ATTEMPT, ''),
            'key': headers.get(protocol.HEADER_IDEMPOTENCY_KEY, ''),
        }

    def set_answer_headers(
        self, request_id: str, stage: str, attempt: str
    ) -> None:
        """Set the headers that identify the answer's call and its upstream."""
        upstream = self.upstream
        self.set_header(protocol.HEADER_REQUEST_ID, request_id)
        self.set_header(protocol.HEADER_STAGE, stage)
        self.set_header(protocol.HEADER_ATTEMPT, attempt)
        self.set_header(protocol.HEADER_INCARNATION, str(upstream.incarnation))
        self.set_header(
            protocol.HEADER_WARMTH, _format_warmth(upstream.is_cold)
        )

    def set_call_headers(self) -> None:
        """Set the answer headers of the call being handled."""
        call_fields = self.call_fields()
        self.set_answer_headers(
            str(call_fields['request_id']),
            str(call_fields['stage']),
            str(call_fields['attempt']),
        )

    def refuse_call(self, call_fields: dict[str, object]) -> bool:
        """Refuse the call if a fault or the load demands it.

        Returns whether the call was refused.
        """
        upstream = self.upstream
        status = upstream.faults.consume_failure(is_after_run=False)
        if status:
            upstream.record_refusal(call_fields, 'failed')
            self.set_call_headers()
            self.refuse(http.HTTPStatus(status), 'failed', ran=False)
            return True
        bound = upstream.limit * _OVERCOMMIT_FACTOR
        is_full = not upstream.is_cold and upstream.in_flight >= bound
        if is_full or upstream.faults.consume('refuse'):
            upstream.record_refusal(call_fields, 'overloaded')
            self.set_call_headers()
            self.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE, 'overloaded', ran=False
            )
            return True
        return False

    async def deliver(self, answer: Answer) -> None:
        """Send an answer after applying the faults that affect it."""
        faults = self.upstream.faults
        delay_s = faults.consume_delay_s()
        if delay_s:
            await asyncio.sleep(delay_s)
        if faults.consume('drop'):
            self.drop()
            return
        status = faults.consume_failure(is_after_run=True)
        if status:
            self.set_call_headers()
            self.refuse(http.HTTPStatus(status), 'failed')
            return
        if faults.consume('cross'):
            answer = await self._swap(answer)
        self.set_answer_headers(answer.request_id, answer.stage, answer.attempt)
        self.send_json(answer.body)

    async def _swap(self, answer: Answer) -> Answer:
        """Swap the answer with that of another call; keep it on a timeout."""
        crossing = self.crossing
        if crossing.waiting is not None and not crossing.waiting.done():
            other = crossing.answer
            crossing.waiting.set_result(answer)
            crossing.waiting = None
            return other or answer
        crossing.answer = answer
        crossing.waiting = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(crossing.waiting, _CROSS_TIMEOUT_S)
        except TimeoutError:
            crossing.waiting = None
            return answer


class UsageHandler(UpstreamHandler):
    """Serves the counts of what the upstream executed."""

    async def get(self) -> None:
        """Return the counts since the process started."""
        self.send_json(self.upstream.usage.encode())


class ControlHandler(UpstreamHandler):
    """Serves control requests."""

    async def prepare(self) -> None:
        """Serve also while the upstream is frozen."""

    async def get(self) -> None:
        """Report that the process is serving."""
        options = self.upstream.options
        self.send_json({'role': 'upstream', 'name': options.name})

    async def post(self) -> None:
        """Apply a control request."""
        try:
            control = UpstreamControl.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(http.HTTPStatus.BAD_REQUEST, str(error))
            return
        self.upstream.apply_control(control)
        self.send_json({'at': time.monotonic()})


async def simulate_work(upstream: Upstream, seconds: float) -> None:
    """Wait for ``seconds`` of work, in slices with the slowdown of each."""
    left_s = seconds
    while left_s > 0:
        slice_s = min(left_s, _WORK_SLICE_S)
        left_s -= slice_s
        await asyncio.sleep(slice_s * upstream.slowdown_factor())
        await upstream.faults.wait_until_unfrozen()


def encode_load(load: LoadSnapshot) -> dict[str, object]:
    """Return a load report in the form of the protocol."""
    return {
        'incarnation': load.incarnation,
        'warmth': _format_warmth(load.is_cold),
        'in_flight': load.in_flight,
        'limit': load.limit,
        'units_done': load.units_done,
    }


def _format_warmth(is_cold: bool) -> str:
    return 'cold' if is_cold else 'warm'
