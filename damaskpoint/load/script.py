"""A script of faults: timed requests to the controls of the stand-ins.

A script is JSON with comments: a list of ``{"at_s", "method", "url",
"body"}``; the times are seconds from the start of the load.
"""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import time
from typing import TYPE_CHECKING, final

import json5
import pydantic
from tornado.httpclient import HTTPRequest

from damaskpoint import protocol
from damaskpoint.errors import Code, Failure
from damaskpoint.load.fetching import fetch

if TYPE_CHECKING:
    from tornado.httpclient import AsyncHTTPClient

_LOG = logging.getLogger(__name__)


@final
class Step(pydantic.BaseModel):
    """One fault, or its end."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    at_s: float = pydantic.Field(ge=0)
    method: str = 'POST'
    url: str
    body: dict[str, object] | None = None


_STEPS = pydantic.TypeAdapter(list[Step])


def load_script(path: pathlib.Path) -> list[Step] | Failure:
    """Read a script; ``SETTINGS_INVALID`` names every fault in it."""
    try:
        steps = _read_steps(path)
    except (OSError, ValueError) as error:
        return Failure(Code.SETTINGS_INVALID, f'{path.name}: {error}')
    return sorted(steps, key=lambda step: step.at_s)


def _read_steps(path: pathlib.Path) -> list[Step]:
    raw = json5.loads(path.read_text(encoding='utf-8'))
    return _STEPS.validate_python(raw)


async def run_script(
    steps: list[Step], client: AsyncHTTPClient, started: float
) -> None:
    """Send each step when it is due; ``started`` is monotonic."""
    for step in steps:
        await asyncio.sleep(max(0, started + step.at_s - time.monotonic()))
        request = HTTPRequest(
            step.url,
            method=step.method,
            body=json.dumps(step.body or {}),
            headers={'Content-Type': protocol.MEDIA_JSON},
        )
        response = await fetch(client, request)
        _LOG.info(
            'script step at %.1f s: %s answered %s',
            step.at_s,
            step.url,
            response.code if response else 'nothing',
        )
