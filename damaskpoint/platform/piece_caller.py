"""HTTP client for runners of stages."""

from __future__ import annotations

import asyncio
import http
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Final, final

from damaskpoint import protocol
from damaskpoint.batching.base import PieceCaller
from damaskpoint.batching.model import CallAnswer
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.forwarding import exchange
from damaskpoint.platform import names, requests, stage_calls

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.balancing.signals import RunnerSignals
    from damaskpoint.batching.model import Piece
    from damaskpoint.catalog.model import Runner

_LOG: Final = logging.getLogger(__name__)
# Timeout of a call that releases results (seconds). It is not retried, as
# results also expire at the runner.
_RELEASE_TIMEOUT_S: Final = 1.0


@final
class HttpPieceCaller(PieceCaller):
    """Calls runners on a new connection for each call."""

    def __init__(
        self, connect_s: float, silence_s: float, signals: RunnerSignals
    ) -> None:
        """Use these timeouts, both in seconds.

        ``connect_s`` bounds connecting, ``silence_s`` the time that sent
        bytes may stay unacknowledged.
        """
        self._signals = signals
        self._connect_s = connect_s
        self._silence_s = silence_s

    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> CallAnswer | Failure:
        """Return the runner's answer, also if it was full."""
        body = stage_calls.encode_pieces(pieces, time.monotonic())
        response = await self._call(
            runner, names.PATH_RUN_PIECES, body, timeout_s
        )
        if isinstance(response, Failure):
            return response
        head, answer, connected_s = response
        load = stage_calls.decode_load(head.headers.get(names.SERVER_LOAD, ''))
        if head.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            if names.NOT_RUN in head.headers:
                return CallAnswer(None, load, connected_s, len(body))
        if head.status != http.HTTPStatus.OK:
            return Failure(Code.UPSTREAM_FAILED, f'HTTP {head.status}')
        outcomes = stage_calls.decode_outcomes(answer, len(pieces), runner.name)
        if isinstance(outcomes, Failure):
            return outcomes
        return CallAnswer(outcomes, load, connected_s, len(body))

    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Release results at a runner; a failure is only logged."""
        body = stage_calls.encode_release(handles)
        response = await self._call(
            runner, names.PATH_FREE_RESULTS, body, _RELEASE_TIMEOUT_S
        )
        if isinstance(response, Failure):
            _LOG.info(
                'results not released, they expire at the runner',
                extra={
                    'runner': runner.name,
                    'results': len(handles),
                    'reason': response.detail,
                },
            )

    async def _call(
        self, runner: Runner, path: str, body: bytes, timeout_s: float
    ) -> tuple[exchange.AnswerHead, bytes, float] | Failure:
        """Return the head and body of the answer, and the time to connect."""
        began_at = time.monotonic()
        opened = await exchange.open_exchange(
            runner.address, self._connect_s, self._silence_s
        )
        if isinstance(opened, Failure):
            return opened
        connected_s = time.monotonic() - began_at
        headers = (
            ('Host', f'{runner.host}:{runner.port}'),
            ('Content-Type', protocol.MEDIA_JSON),
            (names.EXPECT_RUNNER, runner.name),
        )
        try:
            async with asyncio.timeout(timeout_s):
                opened.send(exchange.RunnerRequest('POST', path, headers, body))
                head = await opened.read_head()
                self._record_signals(runner, head)
                return head, await opened.read_body(), connected_s
        except TimeoutError:
            return Failure(Code.UPSTREAM_TIMEOUT, path, Ran.UNKNOWN)
        except exchange.BrokenAnswerError as error:
            return exchange.broken_answer_failure(error)
        finally:
            opened.close()

    def _record_signals(
        self, runner: Runner, head: exchange.AnswerHead
    ) -> None:
        metadata = requests.read_answer_metadata(head.status, head.headers)
        # Only the batching instance calls a stage runner, and it reads the
        # load itself: gossip of it took a tenth of each peer's time.
        self._signals.record(
            runner, replace(metadata, load=None), time.monotonic()
        )
