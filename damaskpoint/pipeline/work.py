"""What a request asks of its stages and what they give, as typed values."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.config.model import Account, Pipeline, Stage
    from damaskpoint.routing.base import CallEnd


class TokenSink(abc.ABC):
    """Where the text of a stream goes."""

    @abc.abstractmethod
    async def write_token(self, offset: int, text: str) -> None:
        """Pass one piece of text on; offsets count from 1 without gaps.

        A sink whose reader has left drops the text.
        """

    @property
    @abc.abstractmethod
    def has_begun(self) -> bool:
        """Return whether any text was passed on."""


@final
@dataclass(frozen=True, slots=True)
class PipelineRequest:
    """A request that was let in."""

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
    # Monotonic time in seconds by which the stage must have ended.
    end_by: float
    # Set where the text is wanted piece by piece.
    sink: TokenSink | None
    # Stages of the request that have run.
    stages_done: int


@final
@dataclass(frozen=True, slots=True)
class StageResult:
    """The output of one stage, tied to the call that gave it."""

    request_id: str
    stage: str
    attempt: str
    output: object
    units: int
    upstream: str
    # Seconds from the send to the whole answer.
    seconds: float


@final
@dataclass(frozen=True, slots=True)
class TryFault:
    """A try that brought no result; another may."""

    end: CallEnd
    detail: str
    # Empty where no upstream was chosen.
    upstream: str


@final
@dataclass(frozen=True, slots=True)
class PipelineAnswer:
    """The whole answer of a pipeline."""

    request_id: str
    output: object
    results: tuple[StageResult, ...]

    def encode(self) -> dict[str, object]:
        """Return the answer as callers see it."""
        stages = [
            {
                'name': result.stage,
                'attempt': result.attempt,
                'units': result.units,
                'upstream': result.upstream,
                'seconds': round(result.seconds, _DIGITS),
            }
            for result in self.results
        ]
        return {
            'request_id': self.request_id,
            'output': self.output,
            'stages': stages,
        }


_DIGITS = 6
