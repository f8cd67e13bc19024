"""A model engine: the four kinds of stages, streams, orders."""

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
from standins.engine_streams import StreamBook, StreamMemory
from standins.upstream_http import (
    Answer,
    ControlHandler,
    Crossing,
    UpstreamHandler,
    UsageHandler,
    encode_load,
    work,
)

if TYPE_CHECKING:
    from standins.upstream import Upstream

_CACHED_SHARE: Final = 0.5


@final
@dataclass(frozen=True, slots=True)
class EngineTimes:
    """How long the work takes, in seconds, for one call on its own."""

    stage_s_by_kind: dict[str, float]
    token_s: float = 0.002


@final
class CallBody(pydantic.BaseModel):
    """The body of a call to a stage."""

    model: str = ''
    adapter: str = ''
    stream: bool = False
    input: object = None


class Engine:
    """One engine's parts."""

    def __init__(
        self, upstream: Upstream, models: EngineModels, times: EngineTimes
    ) -> None:
        """Start with an empty cache and no streams."""
        self.upstream = upstream
        self.models = models
        self.times = times
        self.cache = PromptCache()
        self.streams = StreamBook()


class _EngineHandler(UpstreamHandler):
    # tornado lets each handler's ``initialize`` take arguments of its own.
    def initialize(self, engine: Engine, crossing: Crossing) -> None:  # type: ignore[override]
        """Keep the engine."""
        super().initialize(engine.upstream, crossing)
        self.engine = engine


class StageHandler(_EngineHandler):
    """Runs one call to a stage."""

    async def post(self, kind: str) -> None:
        """Run the call; it ends early when its connection closes."""
        self._units = 1
        about = {**self.about(), 'kind': kind}
        self.upstream.history.record('received', **about)
        try:
            body = CallBody.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(http.HTTPStatus.BAD_REQUEST, str(error), ran=False)
            return
        about['input'] = body.input
        about['model'] = body.model
        if kind not in self.engine.models.roles():
            self.upstream.refuse(about, 'role')
            self.refuse(http.HTTPStatus.CONFLICT, 'role', ran=False)
            return
        resume_from = self._read_resume()
        memory = None
        if resume_from is not None:
            memory = self.engine.streams.recall(*self._place())
            if memory is None:
                self.upstream.refuse(about, 'forgotten')
                self.refuse(http.HTTPStatus.NOT_FOUND, 'forgotten', ran=False)
                return
        if self.refuse_call(about):
            return
        about['is_resumed'] = memory is not None
        call = self.upstream.start(self, about)
        if call is None:
            return
        if body.stream:
            running = self._stream(about, body, memory, resume_from or 0)
        else:
            running = self._run(kind, body)
        await self._finish_work(call, about, asyncio.ensure_future(running))

    def on_connection_close(self) -> None:
        """End the work of a caller that has left."""
        self.cancel_work()

    async def _finish_work(
        self,
        call: int,
        about: dict[str, object],
        running: asyncio.Task[Answer],
    ) -> None:
        self.work = running
        self._call = call
        try:
            answer = await running
        except (asyncio.CancelledError, iostream.StreamClosedError):
            self.upstream.cancel(call, about, self._units)
            return
        self._end(about, answer)
        self.work = None
        if self._finished or self.is_dropped:
            return
        await self.deliver(answer)

    def _end(self, about: dict[str, object], answer: Answer) -> None:
        """Count the call out, before the last byte of its answer."""
        self.upstream.end(
            self._call, {**about, 'output': answer.body}, self._units
        )

    async def _run(self, kind: str, body: CallBody) -> Answer:
        await self._spend(kind, body.input)
        request_id, stage = self._place()
        output = derive.derive_output(kind, request_id, body.input)
        if kind == 'generate':
            tokens = derive.derive_tokens(kind, request_id, body.input)
            self._units = len(tokens)
            await self._sleep(len(tokens) * self.engine.times.token_s)
        attempt = str(self.about()['attempt'])
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
        about: dict[str, object],
        body: CallBody,
        memory: StreamMemory | None,
        start: int,
    ) -> Answer:
        kind = str(about['kind'])
        request_id, stage = self._place()
        shown_id = request_id
        if memory is None:
            if self.upstream.faults.draw('cross'):
                shown_id = f'{request_id}-other'
            tokens = derive.derive_tokens(kind, shown_id, body.input)
            memory = StreamMemory(tokens)
            if shown_id == request_id:
                self.engine.streams.remember(request_id, stage, memory)
            await self._spend(kind, body.input)
        self.engine.streams.handlers_by_request[request_id] = self
        attempt = str(about['attempt'])
        self.echo(shown_id, stage, attempt)
        self.set_header('Content-Type', protocol.MEDIA_EVENTS)
        await self._send_tokens(memory, start)
        answer = Answer(
            request_id,
            stage,
            attempt,
            {
                'request_id': shown_id,
                'stage': stage,
                'attempt': attempt,
                'tokens': len(memory.tokens),
                'sha256': derive.hash_text(''.join(memory.tokens)),
            },
        )
        self._end(about, answer)
        await self._send_end(answer)
        return answer

    async def _send_end(self, answer: Answer) -> None:
        if self.is_dropped:
            return
        self.write(f'event: end\ndata: {json.dumps(answer.body)}\n\n')
        await self.flush()
        self.finish()
        self.engine.streams.handlers_by_request.pop(answer.request_id, None)

    async def _send_tokens(self, memory: StreamMemory, start: int) -> None:
        cut = self.upstream.faults.draw_cut()
        for offset in range(start + 1, len(memory.tokens) + 1):
            if cut is not None and offset - start > cut:
                self.drop()
            if offset > memory.made:
                await self._sleep(self.engine.times.token_s)
                memory.made = offset
            self._units = offset - start
            memory.seen_at = time.monotonic()
            data = json.dumps({'text': memory.tokens[offset - 1]})
            self.write(f'event: token\nid: {offset}\ndata: {data}\n\n')
            await self.flush()

    async def _spend(self, kind: str, call_input: object) -> None:
        """Take the time that a stage takes; less with a cached prefix."""
        seconds = self.engine.times.stage_s_by_kind.get(kind, 0)
        if self.engine.cache.touch(derive.read_prefix(call_input)):
            seconds *= _CACHED_SHARE
        await self._sleep(seconds)

    async def _sleep(self, seconds: float) -> None:
        await work(self.upstream, seconds)

    def _place(self) -> tuple[str, str]:
        about = self.about()
        return str(about['request_id']), str(about['stage'])

    def _read_resume(self) -> int | None:
        value = self.request.headers.get(protocol.HEADER_LAST_EVENT_ID)
        return None if value is None else int(value)


class _StreamHandler(_EngineHandler):
    async def delete(self, request_id: str) -> None:
        """Stop the streams of a request."""
        self.engine.streams.forget(request_id)
        self.set_status(http.HTTPStatus.NO_CONTENT)


class _LoadHandler(_EngineHandler):
    async def get(self) -> None:
        """Answer the load, as late as it is."""
        models = self.engine.models
        self.echo_own()
        self.answer(
            {
                **encode_load(self.upstream.report()),
                'roles': models.roles(),
                'models': models.names(),
            }
        )


class _StateHandler(_EngineHandler):
    async def get(self) -> None:
        """Answer the role and the models."""
        self.answer(self.engine.models.encode(self.upstream.incarnation))


class _OrderHandler(_EngineHandler):
    async def post(self) -> None:
        """Carry an order out."""
        try:
            order = OrderBody.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            self.refuse(http.HTTPStatus.BAD_REQUEST, str(error))
            return
        if not await self.engine.models.obey(order):
            self.refuse(http.HTTPStatus.CONFLICT, 'old fencing number')
            return
        models = self.engine.models
        self.answer({'state': models.encode(self.upstream.incarnation)})


class _CacheEventsHandler(_EngineHandler):
    async def get(self) -> None:
        """Answer the cache's events, late and with gaps."""
        after = int(self.get_argument('after', '0'))
        self.answer(self.engine.cache.events_after(after))


def create_engine_app(engine: Engine) -> web.Application:
    """Return an engine's HTTP application."""
    crossing = Crossing()
    bound = {'engine': engine, 'crossing': crossing}
    shared = {'upstream': engine.upstream, 'crossing': crossing}
    return web.Application(
        [
            ('/v1/stages/([a-z]+)', StageHandler, bound),
            ('/v1/streams/(.+)', _StreamHandler, bound),
            ('/v1/load', _LoadHandler, bound),
            ('/v1/state', _StateHandler, bound),
            ('/v1/orders', _OrderHandler, bound),
            ('/v1/cache-events', _CacheEventsHandler, bound),
            ('/control/usage', UsageHandler, shared),
            ('/control', ControlHandler, shared),
        ]
    )
