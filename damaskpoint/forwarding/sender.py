"""Sends one request to a runner and reads the head of its answer."""

from __future__ import annotations

import asyncio
import http
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding.exchange import (
    AnswerHead,
    BrokenAnswerError,
    Exchange,
    RunnerRequest,
    broken_answer_failure,
    open_exchange,
)
from damaskpoint.platform import requests

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Runner
    from damaskpoint.forwarding.context import ForwardingContext
    from damaskpoint.forwarding.metadata import AnswerMetadata

_MISDIRECTED: Final = 421


@final
@dataclass(frozen=True, slots=True)
class Opened:
    """An answer whose head was read."""

    runner: Runner
    exchange: Exchange
    head: AnswerHead
    marks: AnswerMetadata


async def send(
    parts: ForwardingContext,
    runner: Runner,
    request: RunnerRequest,
    request_id: str,
    head_limit_s: float,
) -> Opened | Failure:
    """Return the head of the answer, or why there is none.

    The failure's ``ran`` tells whether the request may have run. The caller
    closes the exchange.
    """
    options = parts.options
    opened = await open_exchange(
        runner.address,
        min(options.connect_s, head_limit_s),
        options.silence_s,
    )
    if isinstance(opened, Failure):
        return opened
    try:
        async with asyncio.timeout(head_limit_s):
            opened.send(request)
            head = await opened.read_head()
    except TimeoutError:
        opened.close()
        return Failure(Code.UPSTREAM_TIMEOUT, 'no head in time', Ran.UNKNOWN)
    except BrokenAnswerError as error:
        opened.close()
        return broken_answer_failure(error)
    except asyncio.CancelledError:
        # The runner sees the close, and stops.
        opened.close()
        raise
    marks = requests.read_marks(head.headers)
    _note_cold(parts, runner, marks)
    failure = _check_head(head, marks, request_id)
    if failure is not None:
        opened.close()
        return failure
    return Opened(runner, opened, head, marks)


def _check_head(
    head: AnswerHead, marks: AnswerMetadata, request_id: str
) -> Failure | None:
    """Return why an answer is not one of a run of this request."""
    if head.status == _MISDIRECTED:
        return Failure(
            Code.UPSTREAM_MISMATCHED, 'another runner answers', Ran.NO
        )
    if marks.is_not_run and head.status == http.HTTPStatus.CONFLICT:
        return Failure(Code.RESULT_LOST, 'a result of a stage is gone')
    if marks.is_not_run:
        return Failure(Code.UPSTREAM_OVERLOADED, f'HTTP {head.status}', Ran.NO)
    if marks.request_id not in {None, request_id}:
        return Failure(
            Code.UPSTREAM_MISMATCHED,
            f'the answer is for {marks.request_id}',
            Ran.UNKNOWN,
        )
    if head.is_success and not marks.is_sealed:
        return Failure(
            Code.UPSTREAM_BROKEN, 'the answer has no seal', Ran.UNKNOWN
        )
    return None


def _note_cold(
    parts: ForwardingContext, runner: Runner, marks: AnswerMetadata
) -> None:
    if marks.cold_left_s is not None:
        parts.catalog.runners.note_cold(
            runner.name, marks.cold_left_s, time.monotonic()
        )
