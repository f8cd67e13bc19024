"""Fault scripts: timed requests to the control endpoints of the stand-ins.

A script is JSON with comments: a list of ``{"at_s", "method", "url",
"body"}``, where ``at_s`` is in seconds from the start of the load.
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
    """A request that injects or clears a fault."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    at_s: float = pydantic.Field(ge=0)
    method: str = 'POST'
    url: str
    body: dict[str, object] | None = None


_STEPS = pydantic.TypeAdapter(list[Step])


def load_script(path: pathlib.Path) -> list[Step] | Failure:
    """Return the steps of a script in time order.

    A ``SETTINGS_INVALID`` failure lists every error in the script.
    """
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
    """Send each step at its time.

    ``started`` is the start of the load on the monotonic clock.
    """
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
            'fault script step at %.1f s: %s returned %s',
            step.at_s,
            step.url,
            response.code if response else 'nothing',
        )
