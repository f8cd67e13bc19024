"""A simulated model engine: four kinds of stages, streams and orders.

Sleeps stand in for the model's work; ``derive`` computes the outputs.
"""

from __future__ import annotations

import asyncio
import http
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

import pydantic
from tornado import iostream, web

from damaskpoint import protocol
from standins import derive
from standins.engine_cache import PromptCache
from standins.engine_orders import EngineModels, OrderBody
from standins.engine_streams import ResumableStream, StreamRegistry
from standins.upstream_http import (
    Answer,
    ControlHandler,
    Crossing,
    UpstreamHandler,
    UsageHandler,
    encode_load,
    simulate_work,
)

if TYPE_CHECKING:
    from standins.upstream import Upstream

# Share of a stage's time that remains when its prefix is cached.
_CACHED_SHARE: Final = 0.5


@final
@dataclass(frozen=True, slots=True)
class EngineTimes:
    """Processing times in seconds for a call that runs alone."""

    stage_s_by_kind: dict[str, float]
    token_s: float = 0.002


@final
class CallBody(pydantic.BaseModel):
    """The request body of a stage call."""

    model: str = ''
    adapter: str = ''
    stream: bool = False
    input: object = None


class Engine:
    """The state of one engine: upstream, models, prompt cache and streams."""

    def __init__(
        self, upstream: Upstream, models: EngineModels, times: EngineTimes
    ) -> None:
        """Start with an empty cache and no streams."""
        self.upstream = upstream
        self.models = models
        self.times = times
        self.cache = PromptCache()
        self.streams = StreamRegistry()


class _EngineHandler(UpstreamHandler):
    # tornado lets each handler's ``initialize`` take arguments of its own.
    def initialize(self, engine: Engine, crossing: Crossing) -> None:  # type: ignore[override]
        """Store the engine and its upstream."""
        super().initialize(engine.upstream, crossing)
        self.engine = engine


class StageHandler(_EngineHandler):
    """Serves calls to a stage."""

    async def post(self, kind: str) -> None:
        """Run the call; it is cancelled when its connection closes."""
        self._units = 1
        call_fields = {**self.call_fields(), 'kind': kind}
        self.upstream.history.record('received', **call_fields)
        try:
            body = CallBody.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(http.HTTPStatus.BAD_REQUEST, str(error), ran=False)
            return
        call_fields['input'] = body.input
        call_fields['model'] = body.model
        if kind not in self.engine.models.roles():
            self.upstream.record_refusal(call_fields, 'role')
            self.refuse(http.HTTPStatus.CONFLICT, 'role', ran=False)
            return
        resume_offset = self._read_resume_offset()
        resumable = None
        if resume_offset is not None:
            resumable = self.engine.streams.find(*self._stage_key())
            if resumable is None:
                self.upstream.record_refusal(call_fields, 'forgotten')
                self.refuse(http.HTTPStatus.NOT_FOUND, 'forgotten', ran=False)
                return
        if self.refuse_call(call_fields):
            return
        call_fields['is_resumed'] = resumable is not None
        call = self.upstream.start_call(self, call_fields)
        if call is None:
            return
        if body.stream:
            work = self._stream(
                call_fields, body, resumable, resume_offset or 0
            )
        else:
            work = self._run(kind, body)
        await self._await_work(call, call_fields, asyncio.ensure_future(work))

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that disconnected."""
        self.cancel_work()

    async def _await_work(
        self,
        call: int,
        call_fields: dict[str, object],
        work: asyncio.Task[Answer],
    ) -> None:
        self.work_task = work
        self._call = call
        try:
            answer = await work
        except (asyncio.CancelledError, iostream.StreamClosedError):
            self.upstream.cancel_call(call, call_fields, self._units)
            return
        self._end_call(call_fields, answer)
        self.work_task = None
        if self._finished or self.is_dropped:
            return
        await self.deliver(answer)

    def _end_call(self, call_fields: dict[str, object], answer: Answer) -> None:
        """Record the end of the call, before the last byte of its answer."""
        self.upstream.end_call(
            self._call, {**call_fields, 'output': answer.body}, self._units
        )

    async def _run(self, kind: str, body: CallBody) -> Answer:
        await self._simulate_stage(kind, body.input)
        request_id, stage = self._stage_key()
        output = derive.derive_output(kind, request_id, body.input)
        if kind == 'generate':
            tokens = derive.derive_tokens(kind, request_id, body.input)
            self._units = len(tokens)
            await self._simulate_work(len(tokens) * self.engine.times.token_s)
        attempt = str(self.call_fields()['attempt'])
        return Answer(
            request_id,
            stage,
            attempt,
            {
                'request_id': request_id,
                'stage': stage,
                'attempt': attempt,
                'output': output,
                'units': self._units,
            },
        )

    async def _stream(
        self,
        call_fields: dict[str, object],
        body: CallBody,
        resumable: ResumableStream | None,
        start: int,
    ) -> Answer:
        kind = str(call_fields['kind'])
        request_id, stage = self._stage_key()
        echoed_id = request_id
        if resumable is None:
            if self.upstream.faults.consume('cross'):
                echoed_id = f'{request_id}-other'
            tokens = derive.derive_tokens(kind, echoed_id, body.input)
            resumable = ResumableStream(tokens)
            if echoed_id == request_id:
                self.engine.streams.add(request_id, stage, resumable)
            await self._simulate_stage(kind, body.input)
        self.engine.streams.handlers_by_request[request_id] = self
        attempt = str(call_fields['attempt'])
        self.set_answer_headers(echoed_id, stage, attempt)
        self.set_header('Content-Type', protocol.MEDIA_EVENTS)
        await self._send_tokens(resumable, start)
        answer = Answer(
            request_id,
            stage,
            attempt,
            {
                'request_id': echoed_id,
                'stage': stage,
                'attempt': attempt,
                'tokens': len(resumable.tokens),
                'sha256': derive.hash_text(''.join(resumable.tokens)),
            },
        )
        self._end_call(call_fields, answer)
        await self._send_end(answer)
        return answer

    async def _send_end(self, answer: Answer) -> None:
        if self.is_dropped:
            return
        self.write(f'event: end\ndata: {json.dumps(answer.body)}\n\n')
        await self.flush()
        self.finish()
        self.engine.streams.handlers_by_request.pop(answer.request_id, None)

    async def _send_tokens(
        self, resumable: ResumableStream, start: int
    ) -> None:
        cut = self.upstream.faults.consume_cut()
        for offset in range(start + 1, len(resumable.tokens) + 1):
            if cut is not None and offset - start > cut:
                self.drop()
            if offset > resumable.generated:
                await self._simulate_work(self.engine.times.token_s)
                resumable.generated = offset
            self._units = offset - start
            resumable.used_at = time.monotonic()
            data = json.dumps({'text': resumable.tokens[offset - 1]})
            self.write(f'event: token\nid: {offset}\ndata: {data}\n\n')
            await self.flush()

    async def _simulate_stage(self, kind: str, call_input: object) -> None:
        """Wait for the stage's processing time, less with a cached prefix."""
        seconds = self.engine.times.stage_s_by_kind.get(kind, 0)
        if self.engine.cache.touch(derive.read_prefix(call_input)):
            seconds *= _CACHED_SHARE
        await self._simulate_work(seconds)

    async def _simulate_work(self, seconds: float) -> None:
        await simulate_work(self.upstream, seconds)

    def _stage_key(self) -> tuple[str, str]:
        call_fields = self.call_fields()
        return str(call_fields['request_id']), str(call_fields['stage'])

    def _read_resume_offset(self) -> int | None:
        value = self.request.headers.get(protocol.HEADER_LAST_EVENT_ID)
        return None if value is None else int(value)


class _StreamHandler(_EngineHandler):
    async def delete(self, request_id: str) -> None:
        """Stop the streams of a request."""
        self.engine.streams.stop(request_id)
        self.set_status(http.HTTPStatus.NO_CONTENT)


class _LoadHandler(_EngineHandler):
    async def get(self) -> None:
        """Return the load report, which lags behind the load."""
        models = self.engine.models
        self.set_call_headers()
        self.send_json(
            {
                **encode_load(self.upstream.reported_load()),
                'roles': models.roles(),
                'models': models.names(),
            }
        )


class _StateHandler(_EngineHandler):
    async def get(self) -> None:
        """Return the role and the models."""
        self.send_json(self.engine.models.encode(self.upstream.incarnation))


class _OrderHandler(_EngineHandler):
    async def post(self) -> None:
        """Execute an order."""
        try:
            order = OrderBody.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(http.HTTPStatus.BAD_REQUEST, str(error))
            return
        if not await self.engine.models.execute(order):
            self.refuse(http.HTTPStatus.CONFLICT, 'old fencing number')
            return
        models = self.engine.models
        self.send_json({'state': models.encode(self.upstream.incarnation)})


class _CacheEventsHandler(_EngineHandler):
    async def get(self) -> None:
        """Return the cache's events, delayed and with gaps."""
        after = int(self.get_argument('after', '0'))
        self.send_json(self.engine.cache.events_after(after))


def create_engine_app(engine: Engine) -> web.Application:
    """Return an engine's HTTP application."""
    crossing = Crossing()
    handler_arguments = {'engine': engine, 'crossing': crossing}
    shared_arguments = {'upstream': engine.upstream, 'crossing': crossing}
    return web.Application(
        [
            ('/v1/stages/([a-z]+)', StageHandler, handler_arguments),
            ('/v1/streams/(.+)', _StreamHandler, handler_arguments),
            ('/v1/load', _LoadHandler, handler_arguments),
            ('/v1/state', _StateHandler, handler_arguments),
            ('/v1/orders', _OrderHandler, handler_arguments),
            ('/v1/cache-events', _CacheEventsHandler, handler_arguments),
            ('/control/usage', UsageHandler, shared_arguments),
            ('/control', ControlHandler, shared_arguments),
        ]
    )
