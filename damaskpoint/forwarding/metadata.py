"""Metadata of requests and answers, independent of the headers' syntax."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; equal ids mean equal content."""

    part_id: str
    tokens: int


@final
@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The parameters in the headers of a caller's request."""

    request_id: str
    # How long the caller waits after sending (seconds); None if unbounded.
    deadline_s: float | None
    key: str | None
    # Parts in order; the last one is specific to this request.
    prompt: tuple[PromptPart, ...] = ()
    # Tokens of the prompt, then the most that may be generated.
    token_counts: tuple[int, ...] = ()
    # Number of pieces by stage index; 0 skips the stage.
    piece_counts: tuple[int, ...] = ()
    # Identifies the input of the pieces of first stages.
    piece_key: str = ''
    last_event_id: str | None = None

    @property
    def affinity_key(self) -> str:
        """Return a key that is equal for requests that should share a runner.

        It is the next to last part of the prompt, the last one that other
        requests can have in common.
        """
        if not self.prompt:
            return self.request_id
        return self.prompt[-2:][0].part_id

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Return the ids of the parts that other requests can have too."""
        return tuple(part.part_id for part in self.prompt[:-1])

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens of the whole prompt."""
        return sum(part.tokens for part in self.prompt)

    def count_pieces(self, stage: int) -> int:
        """Return the number of pieces of a stage, by the stage's index."""
        if stage < len(self.piece_counts):
            return self.piece_counts[stage]
        return 0


@final
@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a runner reports of its load in a header."""

    running: int
    waiting: int
    slots: int
    # How long work takes on its machine now; 100 is usual. None if the runner
    # does not tell.
    percent: int | None = None


@final
@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """The metadata in the headers of a runner's answer."""

    # The runner states that it did not and will not run the request.
    is_not_run: bool
    is_sealed: bool
    # Id of the answered request, if the answer contains it.
    request_id: str | None
    cold_left_s: float | None
    # The runner is about to exit.
    is_leaving: bool = False
    # For how long the runner wants no further requests of this instance.
    pause_s: float | None = None
    # The runner's load as it began to answer.
    load: LoadReport | None = None
