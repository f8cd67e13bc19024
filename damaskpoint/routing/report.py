"""The load report of an upstream, validated when it is received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, final

import pydantic

from damaskpoint.errors import Code, Failure

_MAX_MODELS = 256
_MAX_NAME_LENGTH = 128


@final
@dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's state, possibly from some time before the request."""

    incarnation: int
    is_warm: bool
    in_flight: int
    limit: int
    # Names of the loaded models; None if unknown.
    models: frozenset[str] | None = None


@final
@dataclass(frozen=True, slots=True)
class PeerReport:
    """A report to be sent to peers; the age is in seconds."""

    name: str
    report: LoadReport
    age_s: float


class _ReportBody(pydantic.BaseModel):
    """The body of a response to ``GET /v1/load``."""

    incarnation: int = pydantic.Field(ge=0)
    warmth: Literal['cold', 'warm']
    in_flight: int = pydantic.Field(ge=0)
    limit: int = pydantic.Field(ge=0)
    models: list[str] = pydantic.Field(
        default_factory=list, max_length=_MAX_MODELS
    )


def parse_report(body: bytes) -> LoadReport | Failure:
    """Return the report, or ``MESSAGE_MALFORMED``."""
    try:
        parsed = _ReportBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error.errors()[0]['msg']))
    return LoadReport(
        parsed.incarnation,
        parsed.warmth == 'warm',
        parsed.in_flight,
        parsed.limit,
        frozenset(name[:_MAX_NAME_LENGTH] for name in parsed.models),
    )
