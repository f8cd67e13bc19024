"""The handlers that a model engine and a plain service share."""

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

_CROSS_WAIT_S = 2.0
# A warm upstream shares its speed among up to so many times its limit.
_SHARING = 4
_QUANTUM_S = 0.02


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer, with the call that it belongs to."""

    request_id: str
    stage: str
    attempt: str
    body: dict[str, object]


@dataclass(slots=True)
class Crossing:
    """The answer that waits for another to be swapped with."""

    waiting: asyncio.Future[Answer] | None = None
    answer: Answer | None = field(default=None)


class UpstreamHandler(JsonHandler):
    """A handler of one upstream, with its headers on each answer."""

    upstream: Upstream

    def initialize(self, upstream: Upstream, crossing: Crossing) -> None:
        """Keep the upstream and the answer that waits to be swapped."""
        self.upstream = upstream
        self.crossing = crossing
        self.work: asyncio.Task[object] | None = None
        self.is_dropped = False

    async def prepare(self) -> None:
        """Wait while the upstream is frozen."""
        await self.upstream.faults.thaw()

    def drop(self) -> None:
        """Close the connection and end the work for it."""
        self.is_dropped = True
        self.cancel_work()
        super().drop()

    def cancel_work(self) -> None:
        """End the work behind the answer."""
        if self.work is not None:
            self.work.cancel()

    def about(self) -> dict[str, object]:
        """Return what the history says of the call."""
        headers = self.request.headers
        return {
            'request_id': headers.get(protocol.HEADER_REQUEST_ID, ''),
            'stage': headers.get(protocol.HEADER_STAGE, ''),
            'attempt': headers.get(protocol.HEADER_ATTEMPT, ''),
            'key': headers.get(protocol.HEADER_IDEMPOTENCY_KEY, ''),
        }

    def echo(self, request_id: str, stage: str, attempt: str) -> None:
        """Set the headers that say whose answer this is."""
        upstream = self.upstream
        self.set_header(protocol.HEADER_REQUEST_ID, request_id)
        self.set_header(protocol.HEADER_STAGE, stage)
        self.set_header(protocol.HEADER_ATTEMPT, attempt)
        self.set_header(protocol.HEADER_INCARNATION, str(upstream.incarnation))
        self.set_header(protocol.HEADER_WARMTH, _name_warmth(upstream.is_cold))

    def echo_own(self) -> None:
        """Set the headers of the call itself."""
        about = self.about()
        self.echo(
            str(about['request_id']),
            str(about['stage']),
            str(about['attempt']),
        )

    def refuse_call(self, about: dict[str, object]) -> bool:
        """Refuse the call before it runs, if there is cause."""
        upstream = self.upstream
        status = upstream.faults.draw_failure(is_after_run=False)
        if status:
            upstream.refuse(about, 'failed')
            self.echo_own()
            self.refuse(http.HTTPStatus(status), 'failed', ran=False)
            return True
        bound = upstream.limit * _SHARING
        is_full = not upstream.is_cold and upstream.in_flight >= bound
        if is_full or upstream.faults.draw('refuse'):
            upstream.refuse(about, 'overloaded')
            self.echo_own()
            self.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE, 'overloaded', ran=False
            )
            return True
        return False

    async def deliver(self, answer: Answer) -> None:
        """Send an answer, after the faults that stand before it."""
        faults = self.upstream.faults
        delay_s = faults.draw_delay_s()
        if delay_s:
            await asyncio.sleep(delay_s)
        if faults.draw('drop'):
            self.drop()
            return
        status = faults.draw_failure(is_after_run=True)
        if status:
            self.echo_own()
            self.refuse(http.HTTPStatus(status), 'failed')
            return
        if faults.draw('cross'):
            answer = await self._swap(answer)
        self.echo(answer.request_id, answer.stage, answer.attempt)
        self.answer(answer.body)

    async def _swap(self, answer: Answer) -> Answer:
        """Exchange the answer with that of another call."""
        crossing = self.crossing
        if crossing.waiting is not None and not crossing.waiting.done():
            other = crossing.answer
            crossing.waiting.set_result(answer)
            crossing.waiting = None
            return other or answer
        crossing.answer = answer
        crossing.waiting = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(crossing.waiting, _CROSS_WAIT_S)
        except TimeoutError:
            crossing.waiting = None
            return answer


class UsageHandler(UpstreamHandler):
    """Shows what the upstream really ran."""

    async def get(self) -> None:
        """Answer the counts since the process started."""
        self.answer(self.upstream.usage.encode())


class ControlHandler(UpstreamHandler):
    """Takes control requests."""

    async def prepare(self) -> None:
        """Work also while the upstream is frozen."""

    async def get(self) -> None:
        """Answer that the process serves."""
        options = self.upstream.options
        self.answer({'role': 'upstream', 'name': options.name})

    async def post(self) -> None:
        """Put a control request in force."""
        try:
            control = UpstreamControl.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(http.HTTPStatus.BAD_REQUEST, str(error))
            return
        self.upstream.control(control)
        self.answer({'at': time.monotonic()})


async def work(upstream: Upstream, seconds: float) -> None:
    """Take the time of so much work, in slices at the speed of each."""
    left_s = seconds
    while left_s > 0:
        slice_s = min(left_s, _QUANTUM_S)
        left_s -= slice_s
        await asyncio.sleep(slice_s * upstream.slowness())
        await upstream.faults.thaw()


def encode_load(load: LoadSnapshot) -> dict[str, object]:
    """Return a load report as the protocol writes it."""
    return {
        'incarnation': load.incarnation,
        'warmth': _name_warmth(load.is_cold),
        'in_flight': load.in_flight,
        'limit': load.limit,
        'units_done': load.units_done,
    }


def _name_warmth(is_cold: bool) -> str:
    return 'cold' if is_cold else 'warm'
