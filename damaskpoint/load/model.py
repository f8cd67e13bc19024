"""Immutable data of the load tool: planned requests and their samples."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final


@final
class RequestKind(enum.Enum):
    """The kinds of requests that a caller sends."""

    # Requests to a pipeline, answered in one body or as a stream.
    PIPELINE = 'pipeline'
    STREAM = 'stream'
    # Calls to a service: LOOKUP is idempotent, ORDER is not.
    LOOKUP = 'lookup'
    ORDER = 'order'


@final
@dataclass(frozen=True, slots=True)
class AccountLoad:
    """One client account of a profile and its share of the load."""

    name: str
    credential: str
    # Weight in the offered rate, relative to the other accounts.
    share: int


@final
@dataclass(frozen=True, slots=True)
class TrafficClass:
    """Requests of one kind to one target, and their share of the load."""

    kind: RequestKind
    # Name of a pipeline, or POOL/PATH of a service.
    target: str
    # Weight in the offered rate, relative to the other classes.
    share: int


@final
@dataclass(frozen=True, slots=True)
class Profile:
    """The traffic of one deployment."""

    name: str
    accounts: tuple[AccountLoad, ...]
    traffic_classes: tuple[TrafficClass, ...]
    deadline_ms: int
    # Size of the input of a request.
    input_bytes: int


@final
@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to be sent ``at_s`` seconds after the start of the run."""

    number: int
    at_s: float
    account: AccountLoad
    traffic_class: TrafficClass


@final
class Verdict(enum.Enum):
    """How a request ended, as its caller saw it."""

    # A complete answer within the deadline.
    WHOLE = 'whole'
    # A complete answer after the deadline.
    LATE = 'late'
    # An error that states that nothing was executed.
    REFUSED = 'refused'
    # An error after something may have been executed.
    FAILED = 'failed'
    # An incomplete answer, or the answer to another request.
    WRONG = 'wrong'
    # No response.
    LOST = 'lost'


@final
@dataclass(frozen=True, slots=True)
class StageUse:
    """The units that one stage of an answered request used."""

    name: str
    units: int


@final
@dataclass(frozen=True, slots=True)
class Sample:
    """The outcome of one request; durations count from its planned time."""

    planned: PlannedRequest
    request_id: str
    verdict: Verdict
    # Stable error code for a verdict other than WHOLE or LATE, else empty.
    code: str
    duration_s: float
    # Time to the first token of a stream; None if there was none.
    first_token_s: float | None
    # Longest gap between two tokens of a stream; None if there was none.
    token_gap_s: float | None
    stages: tuple[StageUse, ...]
