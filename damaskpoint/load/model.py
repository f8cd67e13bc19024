"""What the load tool sends and what it saw, as immutable data."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final


@final
class Shape(enum.Enum):
    """The kinds of request that a caller sends."""

    # A pipeline whose answer comes in one piece, or as a stream.
    PIPELINE = 'pipeline'
    STREAM = 'stream'
    # A call to a plain service that may be repeated, or may not.
    LOOKUP = 'lookup'
    ORDER = 'order'


@final
@dataclass(frozen=True, slots=True)
class AccountLoad:
    """One client account of a profile and its part of the load."""

    name: str
    credential: str
    # Share of the offered rate, relative to the other accounts.
    share: int


@final
@dataclass(frozen=True, slots=True)
class Source:
    """One kind of request and its part of the load."""

    shape: Shape
    # Name of the pipeline, or POOL/PATH of a plain service.
    target: str
    share: int


@final
@dataclass(frozen=True, slots=True)
class Profile:
    """A deployment's callers."""

    name: str
    accounts: tuple[AccountLoad, ...]
    sources: tuple[Source, ...]
    deadline_ms: int
    # Size of a request's input.
    input_bytes: int


@final
@dataclass(frozen=True, slots=True)
class Planned:
    """A request and the time at which it is due, in seconds from the start."""

    number: int
    at_s: float
    account: AccountLoad
    source: Source


@final
class Verdict(enum.Enum):
    """How a request ended, as its caller saw it."""

    # The whole answer, within the deadline.
    WHOLE = 'whole'
    # The whole answer, too late.
    LATE = 'late'
    # A refusal that says that nothing ran.
    REFUSED = 'refused'
    # A failure after something may have run.
    FAILED = 'failed'
    # An answer that is not whole or not the caller's own.
    WRONG = 'wrong'
    # No answer at all.
    LOST = 'lost'


@final
@dataclass(frozen=True, slots=True)
class StageUse:
    """What one stage of an answered request used."""

    name: str
    units: int


@final
@dataclass(frozen=True, slots=True)
class Sample:
    """One request as its caller saw it; times are from when it was due."""

    planned: Planned
    request_id: str
    verdict: Verdict
    # Stable code of a refusal or failure; empty for an answer.
    code: str
    duration_s: float
    # Time to the first token of a stream; None elsewhere.
    first_token_s: float | None
    # Longest time between two tokens of a stream; None elsewhere.
    token_gap_s: float | None
    stages: tuple[StageUse, ...]
