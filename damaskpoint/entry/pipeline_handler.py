"""``POST /v1/pipelines/NAME``."""

from __future__ import annotations

import hashlib
import http
import json
from typing import TYPE_CHECKING, final

import pydantic

from damaskpoint.config.model import StageKind
from damaskpoint.entry.caller_handler import CallerHandler
from damaskpoint.entry.caller_input import read_json
from damaskpoint.entry.event_sink import EventSink, render_error
from damaskpoint.errors import Code, Failure, FailureError
from damaskpoint.pipeline.work import PipelineRequest

if TYPE_CHECKING:
    from damaskpoint.config.model import Account, Configuration, Pipeline
    from damaskpoint.entry.parts import EntryParts
    from damaskpoint.journal.base import StoredAnswer
    from damaskpoint.pipeline.pipeline_runner import PipelineRun

_SEPARATOR = b'\0'


@final
class _PipelineBody(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    input: object
    stream: bool = False


@final
class PipelineHandler(CallerHandler):
    """Runs a pipeline and answers JSON or server-sent events."""

    kind = 'pipeline'

    def initialize(self, parts: EntryParts) -> None:
        """Start without a run."""
        super().initialize(parts)
        self._run: PipelineRun | None = None

    async def post(self, name: str) -> None:
        """Run the pipeline of this name."""
        await self.run_request(name)

    def place(self) -> str:
        """Return the stage that runs."""
        return self._run.stage_name if self._run else 'admission'

    async def serve(
        self,
        configuration: Configuration,
        account: Account,
        target: tuple[str, ...],
    ) -> None:
        """Admit, run, and give the final answer."""
        pipeline = configuration.pipelines_by_name.get(target[0])
        if pipeline is None:
            raise FailureError(Failure(Code.UNKNOWN_PIPELINE, target[0]))
        if account.name not in pipeline.accounts:
            raise FailureError(Failure(Code.ACCOUNT_NOT_BOUND, target[0]))
        body = _read_body(pipeline, bytes(self.body))
        admitted = await self.admit(
            account, pipeline.name, pipeline.deadline_ms
        )
        sink = EventSink(self) if body.stream else None
        request = self._make_request(account, pipeline, body.input)
        try:
            is_complete = await self._run_pipeline(request, sink)
        except BaseException:
            self.parts.admission.release(admitted, is_complete=False)
            raise
        self.parts.admission.release(admitted, is_complete)

    async def _run_pipeline(
        self, request: PipelineRequest, sink: EventSink | None
    ) -> bool:
        """Give the final answer; return whether it is whole."""
        self._run = self.parts.pipelines.create_run(request, sink)
        outcome = await self.parts.pipelines.answer(self._run)
        if isinstance(outcome, Failure):
            if sink is None or not sink.has_begun:
                raise FailureError(outcome)
            error = render_error(outcome, self.request_id)
            self.end_events(error, outcome.code.value)
            return False
        if sink is None or outcome.status != _OK:
            self.give(outcome)
            return True
        await self._end_stream(sink, outcome)
        return True

    async def _end_stream(self, sink: EventSink, answer: StoredAnswer) -> None:
        """End a stream; one that was answered before is given at once."""
        body = json.loads(answer.body)
        if not sink.has_begun:
            output = body['output']
            text = output if isinstance(output, str) else json.dumps(output)
            await sink.write_token(1, text)
        self.end_events(sink.render_end(body), 'ok')

    def _make_request(
        self, account: Account, pipeline: Pipeline, payload: object
    ) -> PipelineRequest:
        asked = _SEPARATOR.join((pipeline.name.encode(), bytes(self.body)))
        return PipelineRequest(
            self.request_id,
            account,
            pipeline,
            payload,
            self.deadline,
            self.input_headers.key,
            hashlib.sha256(asked).hexdigest(),
        )


def _ends_in_text(pipeline: Pipeline) -> bool:
    return pipeline.stages[-1].kind is StageKind.GENERATE


def _read_body(pipeline: Pipeline, raw: bytes) -> _PipelineBody:
    """Return the body; raise what is wrong with it."""
    parsed = read_json(raw)
    if isinstance(parsed, Failure):
        raise FailureError(parsed)
    try:
        body = _PipelineBody.model_validate(parsed)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = '.'.join(str(part) for part in first['loc'])
        raise _malformed(f'{place}: {first["msg"]}') from error
    if body.stream and not _ends_in_text(pipeline):
        raise _malformed('the last stage of this pipeline has no stream')
    return body


def _malformed(detail: str) -> FailureError:
    return FailureError(Failure(Code.BODY_MALFORMED, detail))


_OK = http.HTTPStatus.OK
