"""Encodes and parses the rows of the quarantines of prompt parts.

Times in rows are the store's clock, which all instances can read.
"""

from __future__ import annotations

from typing import Final

import pydantic

from damaskpoint.errors import Code, Failure
from damaskpoint.quarantine.model import Quarantine

_MS_PER_S: Final = 1000


class _QuarantineBody(pydantic.BaseModel):
    """Content of the row of a prompt part."""

    number: int = pydantic.Field(ge=1)
    lifted: bool
    began_ms: int = pydantic.Field(ge=0)


def encode_quarantine(quarantine: Quarantine, clock_offset_s: float) -> bytes:
    """Return the content of a row.

    ``clock_offset_s`` is the store's clock minus the monotonic clock.
    """
    began_s = max(0, quarantine.began_at + clock_offset_s)
    body = _QuarantineBody(
        number=quarantine.number,
        lifted=quarantine.is_lifted,
        began_ms=round(began_s * _MS_PER_S),
    )
    return body.model_dump_json().encode()


def read_quarantine(
    content: bytes, clock_offset_s: float
) -> Quarantine | Failure:
    """Parse the content of a row; fails with ``MESSAGE_MALFORMED``."""
    try:
        body = _QuarantineBody.model_validate_json(content)
    except pydantic.ValidationError as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    return Quarantine(
        body.number, body.lifted, body.began_ms / _MS_PER_S - clock_offset_s
    )
