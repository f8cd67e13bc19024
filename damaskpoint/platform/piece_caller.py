"""HTTP client for runners of stages."""

from __future__ import annotations

import asyncio
import http
import logging
import time
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Final, final

from damaskpoint import protocol
from damaskpoint.batching.base import PieceCaller
from damaskpoint.batching.model import CallAnswer
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding import exchange
from damaskpoint.forwarding.connecting import open_stream
from damaskpoint.forwarding.spare_connections import SpareConnections
from damaskpoint.platform import names, requests, stage_calls

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.balancing.signals import RunnerSignals
    from damaskpoint.batching.model import Piece
    from damaskpoint.catalog.model import Runner

    # Head and body.
    _Response = tuple[exchange.AnswerHead, bytes]

_LOG: Final = logging.getLogger(__name__)
# Timeout of a call that releases results (seconds). It is not retried, as
# results also expire at the runner.
_RELEASE_TIMEOUT_S: Final = 1.0


@final
@dataclass(frozen=True, slots=True)
class _Call:
    """A call of a runner."""

    runner: Runner
    path: str
    body: bytes
    timeout_s: float


@final
class HttpPieceCaller(PieceCaller):
    """Calls runners on a connection of its own for each call."""

    def __init__(
        self, connect_s: float, silence_s: float, signals: RunnerSignals
    ) -> None:
        """Use these timeouts, both in seconds.

        ``connect_s`` bounds connecting, ``silence_s`` the time that sent
        bytes may stay unacknowledged.
        """
        self._signals = signals
        self._open = partial(
            open_stream, timeout_s=connect_s, ack_timeout_s=silence_s
        )
        self._spares = SpareConnections(self._open)

    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> CallAnswer | Failure:
        """Return the runner's answer, also if it was full."""
        body = stage_calls.encode_pieces(pieces, time.monotonic())
        opened = await self._spares.open(runner.address)
        if isinstance(opened, Failure):
            return opened
        call = _Call(runner, names.PATH_RUN_PIECES, body, timeout_s)
        connection = exchange.Exchange(opened.stream)
        response = await self._send(connection, call)
        if opened.is_spare and connection.is_lost_unanswered:
            # The runner may have closed it before the call; calls may be
            # repeated.
            opened = await self._spares.open_new(runner.address)
            if isinstance(opened, Failure):
                return opened
            response = await self._send(exchange.Exchange(opened.stream), call)
        if isinstance(response, Failure):
            return response
        head, answer = response
        load = stage_calls.decode_load(head.headers.get(names.SERVER_LOAD, ''))
        if head.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            if names.NOT_RUN in head.headers:
                return CallAnswer(None, load, opened.waited_s, len(body))
        if head.status != http.HTTPStatus.OK:
            return Failure(Code.UPSTREAM_FAILED, f'HTTP {head.status}')
        outcomes = stage_calls.decode_outcomes(answer, len(pieces), runner.name)
        if isinstance(outcomes, Failure):
            return outcomes
        return CallAnswer(outcomes, load, opened.waited_s, len(body))

    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Release results at a runner; a failure is only logged."""
        body = stage_calls.encode_release(handles)
        call = _Call(runner, names.PATH_FREE_RESULTS, body, _RELEASE_TIMEOUT_S)
        response: _Response | Failure
        stream = await self._open(runner.address)
        if isinstance(stream, Failure):
            response = stream
        else:
            response = await self._send(exchange.Exchange(stream), call)
        if isinstance(response, Failure):
            _LOG.info(
                'results not released, they expire at the runner',
                extra={
                    'runner': runner.name,
                    'results': len(handles),
                    'reason': response.detail,
                },
            )

    async def _send(
        self, connection: exchange.Exchange, call: _Call
    ) -> _Response | Failure:
        """Send a call and return its answer; closes the connection."""
        runner = call.runner
        headers = (
            ('Host', f'{runner.host}:{runner.port}'),
            ('Content-Type', protocol.MEDIA_JSON),
            (names.EXPECT_RUNNER, runner.name),
        )
        try:
            async with asyncio.timeout(call.timeout_s):
                connection.send(
                    exchange.RunnerRequest(
                        'POST', call.path, headers, call.body
                    )
                )
                head = await connection.read_head()
                self._record_signals(runner, head)
                return head, await connection.read_body()
        except TimeoutError:
            return Failure(Code.UPSTREAM_TIMEOUT, call.path, Ran.UNKNOWN)
        except exchange.BrokenAnswerError as error:
            return exchange.broken_answer_failure(error)
        finally:
            connection.close()

    def _record_signals(
        self, runner: Runner, head: exchange.AnswerHead
    ) -> None:
        metadata = requests.read_answer_metadata(head.status, head.headers)
        # Only the batching instance calls a stage runner, and it reads the
        # load itself: gossip of it took a tenth of each peer's time.
        self._signals.record(
            runner, replace(metadata, load=None), time.monotonic()
        )
