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
class OpenAnswer:
    """An answer of which only the head has been read."""

    runner: Runner
    exchange: Exchange
    head: AnswerHead
    metadata: AnswerMetadata


async def send(
    context: ForwardingContext,
    runner: Runner,
    request: RunnerRequest,
    request_id: str,
    head_timeout_s: float,
) -> OpenAnswer | Failure:
    """Return the answer with its head, or a failure.

    ``ran`` of the failure says whether the request may have run; its code is
    ``NO_UPSTREAM`` if nothing was sent, as the runner was excluded while the
    connection was opened. The caller must close the exchange of the answer.
    """
    options = context.options
    exchange = await open_exchange(
        runner.address,
        min(options.connect_s, head_timeout_s),
        options.ack_timeout_s,
    )
    if isinstance(exchange, Failure):
        return exchange
    if context.catalog.runners.find(runner.name) is None:
        exchange.close()
        return Failure(Code.NO_UPSTREAM, 'the runner is leaving', Ran.NO)
    try:
        async with asyncio.timeout(head_timeout_s):
            exchange.send(request)
            head = await exchange.read_head()
    except TimeoutError:
        exchange.close()
        return Failure(Code.UPSTREAM_TIMEOUT, 'no head in time', Ran.UNKNOWN)
    except BrokenAnswerError as error:
        exchange.close()
        return broken_answer_failure(error)
    except asyncio.CancelledError:
        # Closing the connection makes the runner stop its work.
        exchange.close()
        raise
    metadata = requests.read_answer_metadata(head.status, head.headers)
    context.signals.record(runner, metadata, time.monotonic())
    failure = _check_head(head, metadata, request_id)
    if failure is not None:
        exchange.close()
        return failure
    return OpenAnswer(runner, exchange, head, metadata)


def _check_head(
    head: AnswerHead, metadata: AnswerMetadata, request_id: str
) -> Failure | None:
    """Return the failure if the answer is not from a run of this request."""
    if head.status == _MISDIRECTED:
        return Failure(
            Code.UPSTREAM_MISMATCHED, 'another runner answers', Ran.NO
        )
    if metadata.is_not_run and head.status == http.HTTPStatus.CONFLICT:
        return Failure(Code.RESULT_LOST, 'a result of a stage is gone')
    if metadata.is_not_run:
        return Failure(Code.UPSTREAM_OVERLOADED, f'HTTP {head.status}', Ran.NO)
    if metadata.request_id not in {None, request_id}:
        return Failure(
            Code.UPSTREAM_MISMATCHED,
            f'the answer is for {metadata.request_id}',
            Ran.UNKNOWN,
        )
    if head.is_success and not metadata.is_sealed:
        return Failure(
            Code.UPSTREAM_BROKEN, 'the answer has no seal', Ran.UNKNOWN
        )
    return None
