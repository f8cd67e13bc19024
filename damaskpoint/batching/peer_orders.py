"""Calls between instances that order or release pieces.

The instance of a request sends them to the batching instance of a group. Each
is a thrift struct in an HTTP POST.
"""

from __future__ import annotations

import asyncio
import http
import time
from typing import TYPE_CHECKING, Final, final

from tornado import httpserver, web

from damaskpoint import defaults, protocol
from damaskpoint.batching.model import (
    CallHolding,
    OrderAnswer,
    Piece,
    PieceOutcome,
    PieceReason,
    find_slowest,
)
from damaskpoint.batching.peer_connections import PeerConnections
from damaskpoint.errors import Code, Failure
from damaskpoint.forwarding.exchange import BrokenAnswerError, RunnerRequest
from damaskpoint.wire import codec
from damaskpoint.wire.generated.peer import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from damaskpoint.batching.pool import StagePool
    from damaskpoint.membership.facts import Address

PATH_PIECES: Final = '/pieces'
PATH_RELEASE: Final = '/pieces/release'
_MS: Final = 1000
# Timeout of a call that releases results (seconds).
_RELEASE_TIMEOUT_S: Final = 1.0
# Longest time for which a peer's report of its calls is used (seconds).
_MAX_BUSY_S: Final = 2.0
# An order is answered at the latest when its results become useless; this
# leaves time for the answer to arrive (seconds).
_REPLY_MARGIN_S: Final = 0.1


@final
class PieceOrderClient:
    """Orders pieces from peers.

    The connection of a call closes if the call is cancelled, so that the peer
    can drop the pieces at once; tornado's client would keep it open. Failures:
    ``PEER_UNREACHABLE``, ``UPSTREAM_TIMEOUT``, ``MESSAGE_MALFORMED``, and
    ``PEER_UNKNOWN`` if the peer has not heard of this instance yet.
    """

    def __init__(self, own_host: str) -> None:
        """Connect from this IP address, by which peers know this instance."""
        self._connections = PeerConnections(own_host)

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._connections.close_idle(now)

    async def order(
        self,
        address: Address,
        group: str,
        pieces: Sequence[Piece],
        held: Sequence[CallHolding],
    ) -> OrderAnswer | Failure:
        """Run pieces of one stage of one request at a peer.

        ``held`` are calls at the runners that the peer may not know of.
        """
        now = time.monotonic()
        order = _to_order(group, pieces, now)
        order.held = _to_wire_held(held, now)
        timeout_s = max(float(0), pieces[0].ends_at - now) + _REPLY_MARGIN_S
        body = await self._post(
            address, PATH_PIECES, codec.encode(order), timeout_s
        )
        if isinstance(body, Failure):
            return body
        answer = codec.decode(
            ttypes.PieceAnswer, body, defaults.MAX_PEER_BODY_BYTES
        )
        if isinstance(answer, Failure):
            return answer
        return _from_answer(answer, len(pieces), time.monotonic())

    async def release(
        self, address: Address, runner: str, handles: Sequence[str]
    ) -> Failure | None:
        """Release results through the batching instance of their runner."""
        order = ttypes.ReleaseOrder(runner, list(handles))
        body = await self._post(
            address, PATH_RELEASE, codec.encode(order), _RELEASE_TIMEOUT_S
        )
        return body if isinstance(body, Failure) else None

    async def _post(
        self, address: Address, path: str, body: bytes, timeout_s: float
    ) -> bytes | Failure:
        """Call a peer; a cancelled call closes its connection."""
        headers = (
            ('Host', f'{address.host}:{address.port}'),
            ('Content-Type', protocol.MEDIA_THRIFT),
        )
        request = RunnerRequest('POST', path, headers, body, is_last=False)
        try:
            async with asyncio.timeout(timeout_s):
                answered = await self._connections.call(address, request)
        except TimeoutError:
            return Failure(Code.UPSTREAM_TIMEOUT, f'{address.host}: timed out')
        except BrokenAnswerError as error:
            return Failure(Code.PEER_UNREACHABLE, f'{address.host}: {error}')
        if isinstance(answered, Failure):
            return Failure(
                Code.PEER_UNREACHABLE, f'{address.host}: {answered.detail}'
            )
        head, answer = answered
        if head.status == http.HTTPStatus.FORBIDDEN:
            return Failure(
                Code.PEER_UNKNOWN, f'{address.host} does not know this instance'
            )
        if head.status != http.HTTPStatus.OK:
            return Failure(
                Code.PEER_UNREACHABLE, f'{address.host}: HTTP {head.status}'
            )
        return answer


def create_order_server(
    pool: StagePool, is_peer_host: Callable[[str], bool]
) -> httpserver.HTTPServer:
    """Return the server for calls of peers, not yet listening."""
    handler_args = {'pool': pool, 'is_peer': is_peer_host}
    app = web.Application(
        [
            (PATH_PIECES, _PiecesHandler, handler_args),
            (PATH_RELEASE, _ReleaseHandler, handler_args),
        ],
        log_function=_log_nothing,
    )
    return httpserver.HTTPServer(
        app, max_body_size=defaults.MAX_PEER_REQUEST_BYTES
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Log nothing per call: the batches are logged instead."""


class _OrderHandler(web.RequestHandler):
    """Base of the handlers; rejects hosts that are not peers."""

    def initialize(
        self, pool: StagePool, is_peer: Callable[[str], bool]
    ) -> None:
        self._pool = pool
        self._is_peer = is_peer

    def prepare(self) -> None:
        if not self._is_peer(self.request.remote_ip or ''):
            self.set_status(http.HTTPStatus.FORBIDDEN)
            self.finish()


@final
class _PiecesHandler(_OrderHandler):
    """Runs pieces for a peer; drops them if the peer disconnects."""

    async def post(self) -> None:
        order = codec.decode(
            ttypes.PieceOrder,
            self.request.body,
            defaults.MAX_PEER_REQUEST_BYTES,
        )
        if isinstance(order, Failure):
            self._refuse(order)
            return
        now = time.monotonic()
        pieces = _from_order(order, now)
        if isinstance(pieces, Failure):
            self._refuse(pieces)
            return
        self._task = asyncio.ensure_future(
            self._pool.run_for_peer(
                order.group, pieces, _from_wire_held(order.held, now)
            )
        )
        try:
            answer = await self._task
        except asyncio.CancelledError:
            return
        self.finish(codec.encode(_to_answer(answer, time.monotonic())))

    def on_connection_close(self) -> None:
        task = getattr(self, '_task', None)
        if task is not None:
            task.cancel()

    def _refuse(self, failure: Failure) -> None:
        self.set_status(failure.kind.status)
        self.finish()


@final
class _ReleaseHandler(_OrderHandler):
    """Releases results on behalf of a peer."""

    def post(self) -> None:
        order = codec.decode(
            ttypes.ReleaseOrder,
            self.request.body,
            defaults.MAX_PEER_REQUEST_BYTES,
        )
        if isinstance(order, Failure):
            self.set_status(order.kind.status)
        else:
            self._pool.release_locally(order.upstream, order.handles)
        self.finish()


def _to_order(
    group: str, pieces: Sequence[Piece], now: float
) -> ttypes.PieceOrder:
    first = pieces[0]
    return ttypes.PieceOrder(
        group=group,
        request_id=first.request_id,
        stage=first.stage,
        indexes=[piece.index for piece in pieces],
        key=first.key,
        inputs=list(first.inputs),
        priority=first.priority,
        ends_ms=round((first.ends_at - now) * _MS),
        needed_ms=round((first.needed_at - now) * _MS),
        result_bytes=first.result_bytes,
        zone=first.zone,
        moved_bytes=first.moved_bytes,
        lead_ms=round(first.lead_s * _MS),
        has_cost=first.has_cost,
        is_deferred=first.is_deferred,
        account=first.account or None,
    )


def _from_order(
    order: ttypes.PieceOrder, now: float
) -> tuple[Piece, ...] | Failure:
    pieces = []
    for index in order.indexes:
        pieces.append(
            Piece(
                request_id=order.request_id,
                stage=order.stage,
                index=index,
                key=order.key,
                inputs=tuple(order.inputs),
                zone=order.zone,
                moved_bytes=order.moved_bytes,
                lead_s=order.lead_ms / _MS,
                has_cost=order.has_cost,
                is_deferred=order.is_deferred,
                priority=order.priority,
                ends_at=now + order.ends_ms / _MS,
                needed_at=now + order.needed_ms / _MS,
                result_bytes=order.result_bytes,
                account=order.account or '',
            )
        )
    if not pieces:
        return Failure(Code.MESSAGE_MALFORMED, 'no pieces')
    return tuple(pieces)


def _to_answer(answer: OrderAnswer, now: float) -> ttypes.PieceAnswer:
    handles = []
    reasons = []
    runners = []
    for outcome in answer.outcomes:
        handles.append(outcome.handle or '')
        reasons.append(outcome.reason.value if outcome.reason else '')
        runners.append(outcome.runner)
    slowest = find_slowest(answer.outcomes)
    return ttypes.PieceAnswer(
        handles,
        reasons,
        runners,
        _to_wire_held(answer.held, now),
        round(slowest.waited_s * _MS),
        round(slowest.called_s * _MS),
    )


def _from_answer(
    answer: ttypes.PieceAnswer, count: int, now: float
) -> OrderAnswer | Failure:
    """Return the answer to an order of ``count`` pieces."""
    waited_s = (answer.waited_ms or 0) / _MS
    called_s = (answer.called_ms or 0) / _MS
    outcomes = []
    try:
        for handle, reason, runner in zip(
            answer.handles, answer.reasons, answer.runners, strict=True
        ):
            missing = None if handle else PieceReason(reason)
            outcomes.append(
                PieceOutcome(
                    handle or None, missing, runner, waited_s, called_s
                )
            )
    except ValueError as error:
        return Failure(Code.MESSAGE_MALFORMED, str(error))
    if len(outcomes) != count:
        return Failure(Code.MESSAGE_MALFORMED, 'wrong number of pieces')
    return OrderAnswer(tuple(outcomes), _from_wire_held(answer.held, now))


def _to_wire_held(
    held: Sequence[CallHolding], now: float
) -> list[ttypes.CallHolding] | None:
    if not held:
        return None
    return [
        ttypes.CallHolding(
            upstream=holding.runner,
            calls=holding.calls,
            busy_ms=round((holding.busy_until - now) * _MS),
            instance=holding.instance,
        )
        for holding in held
    ]


def _from_wire_held(
    held: list[ttypes.CallHolding] | None, now: float
) -> tuple[CallHolding, ...]:
    """Return the calls in flight; incomplete entries are left out."""
    found = []
    for entry in held or ():
        if None in {entry.upstream, entry.instance}:
            continue
        if entry.calls is None or entry.busy_ms is None:
            continue
        busy_s = min(_MAX_BUSY_S, entry.busy_ms / _MS)
        found.append(
            CallHolding(
                entry.upstream, entry.instance, entry.calls, now + busy_s
            )
        )
    return tuple(found)
