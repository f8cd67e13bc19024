"""Value types for pipeline requests, their stages, and the results."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.config.model import Account, Pipeline, Stage
    from damaskpoint.routing.base import CallEnd


class TokenSink(abc.ABC):
    """Destination of the text of a streaming stage."""

    @abc.abstractmethod
    async def write_token(self, offset: int, text: str) -> None:
        """Write the text of one token; offsets are consecutive from 1.

        The text is dropped if the reader has disconnected.
        """

    @property
    @abc.abstractmethod
    def has_begun(self) -> bool:
        """Return whether any text was written."""


@final
@dataclass(frozen=True, slots=True)
class PipelineRequest:
    """An admitted request to a pipeline."""

    request_id: str
    account: Account
    pipeline: Pipeline
    payload: object
    # Monotonic time in seconds.
    deadline: float
    # The caller's idempotency key; empty if there is none.
    key: str
    # Hexadecimal SHA-256 of the pipeline's name and the body.
    digest: str


@final
@dataclass(frozen=True, slots=True)
class StageJob:
    """One stage of one request."""

    request: PipelineRequest
    stage: Stage
    payload: object
    # Deadline of the stage, as monotonic time in seconds.
    deadline: float
    # Set if the stage's text is to be streamed.
    sink: TokenSink | None
    # Number of stages of the request that have run.
    stages_done: int


@final
@dataclass(frozen=True, slots=True)
class StageResult:
    """The output of one stage, with the identifiers of its call."""

    request_id: str
    stage: str
    attempt: str
    output: object
    units: int
    upstream: str
    # Seconds from the send to the complete answer.
    seconds: float


@final
@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without a result; another attempt may succeed."""

    end: CallEnd
    detail: str
    # Empty if no upstream was chosen.
    upstream: str


@final
@dataclass(frozen=True, slots=True)
class PipelineAnswer:
    """The final answer of a pipeline."""

    request_id: str
    output: object
    results: tuple[StageResult, ...]

    def encode(self) -> dict[str, object]:
        """Return the answer as the JSON object for the caller."""
        stages = [
            {
                'name': result.stage,
                'attempt': result.attempt,
                'units': result.units,
                'upstream': result.upstream,
                'seconds': round(result.seconds, _SECONDS_DIGITS),
            }
            for result in self.results
        ]
        return {
            'request_id': self.request_id,
            'output': self.output,
            'stages': stages,
        }


_SECONDS_DIGITS = 6
