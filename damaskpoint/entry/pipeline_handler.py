"""Handler of ``POST /v1/pipelines/NAME``."""

from __future__ import annotations

import hashlib
import http
import json
from typing import TYPE_CHECKING, final

import pydantic

from damaskpoint.config.model import StageKind
from damaskpoint.entry.caller_handler import CallerHandler
from damaskpoint.entry.caller_input import read_json
from damaskpoint.entry.event_sink import EventSink, render_error_event
from damaskpoint.errors import Code, Failure, FailureError
from damaskpoint.pipeline.model import PipelineRequest

if TYPE_CHECKING:
    from damaskpoint.config.model import Account, Configuration, Pipeline
    from damaskpoint.entry.handler_dependencies import HandlerDependencies
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
    """Runs a pipeline and answers with JSON or server-sent events."""

    kind = 'pipeline'

    def initialize(self, dependencies: HandlerDependencies) -> None:
        """Initialize the request without a pipeline run."""
        super().initialize(dependencies)
        self._run: PipelineRun | None = None

    async def post(self, name: str) -> None:
        """Run the named pipeline."""
        await self.run_request(name)

    def current_step(self) -> str:
        """Return the running stage."""
        return self._run.stage_name if self._run else 'admission'

    async def serve(
        self,
        configuration: Configuration,
        account: Account,
        target: tuple[str, ...],
    ) -> None:
        """Admit the request, run the pipeline and send the final answer."""
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
            self.dependencies.admission.release(admitted, is_complete=False)
            raise
        self.dependencies.admission.release(admitted, is_complete)

    async def _run_pipeline(
        self, request: PipelineRequest, sink: EventSink | None
    ) -> bool:
        """Send the final answer, and return whether it is complete."""
        self._run = self.dependencies.pipelines.create_run(request, sink)
        outcome = await self.dependencies.pipelines.answer(self._run)
        if isinstance(outcome, Failure):
            if sink is None or not sink.has_begun:
                raise FailureError(outcome)
            error = render_error_event(outcome, self.request_id)
            self.finish_events(error, outcome.code.value)
            return False
        if sink is None or outcome.status != _OK:
            self.send_answer(outcome)
            return True
        await self._end_stream(sink, outcome)
        return True

    async def _end_stream(self, sink: EventSink, answer: StoredAnswer) -> None:
        """Finish a stream; a replayed answer is sent as a single token."""
        body = json.loads(answer.body)
        if not sink.has_begun:
            output = body['output']
            text = output if isinstance(output, str) else json.dumps(output)
            await sink.write_token(1, text)
        self.finish_events(sink.render_end_event(body), 'ok')

    def _make_request(
        self, account: Account, pipeline: Pipeline, payload: object
    ) -> PipelineRequest:
        digest_input = _SEPARATOR.join(
            (pipeline.name.encode(), bytes(self.body))
        )
        return PipelineRequest(
            self.request_id,
            account,
            pipeline,
            payload,
            self.deadline,
            self.input_headers.idempotency_key,
            hashlib.sha256(digest_input).hexdigest(),
        )


def _ends_in_text(pipeline: Pipeline) -> bool:
    return pipeline.stages[-1].kind is StageKind.GENERATE


def _read_body(pipeline: Pipeline, raw: bytes) -> _PipelineBody:
    """Return the validated body, or raise why it is invalid."""
    parsed = read_json(raw)
    if isinstance(parsed, Failure):
        raise FailureError(parsed)
    try:
        body = _PipelineBody.model_validate(parsed)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = '.'.join(str(part) for part in first['loc'])
        raise _malformed(f'{location}: {first["msg"]}') from error
    if body.stream and not _ends_in_text(pipeline):
        raise _malformed('the last stage of this pipeline has no stream')
    return body


def _malformed(detail: str) -> FailureError:
    return FailureError(Failure(Code.BODY_MALFORMED, detail))


_OK = http.HTTPStatus.OK
