"""What requests ask for and answers say, apart from how it is written."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests with equal ids share it."""

    part_id: str
    tokens: int


@final
@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers ask for."""

    request_id: str
    # How long the caller waits, from its send; None for no bound.
    deadline_s: float | None
    key: str | None
    # In order; the last part is the request's own.
    prompt: tuple[PromptPart, ...] = ()
    # Of the prompt, and the most that may be generated.
    token_counts: tuple[int, ...] = ()
    # Pieces of each stage, by its index; 0 leaves the stage out.
    piece_counts: tuple[int, ...] = ()
    # Names the input of the pieces of first stages.
    piece_key: str = ''
    last_event_id: str | None = None

    @property
    def affinity_key(self) -> str:
        """Return what requests have in common that should share a runner.

        That is the last part of the prompt that others share: the last part
        of all is the request's own.
        """
        if not self.prompt:
            return self.request_id
        return self.prompt[-2:][0].part_id

    def count_pieces(self, stage: int) -> int:
        """Return how many pieces a stage has for this request."""
        if stage < len(self.piece_counts):
            return self.piece_counts[stage]
        return 0


@final
@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What a runner's answer says besides its status and body."""

    # The runner states that it did not and will not run the request.
    is_not_run: bool
    is_sealed: bool
    # The request that the answer belongs to, if it says so.
    request_id: str | None
    cold_left_s: float | None
