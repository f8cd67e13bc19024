"""Places orders of pieces with the batching instance of their group.

Pieces that an instance hands back, or whose order is lost with it, are ordered
from the next one. All instances try them in the same order, so that they meet
at the same next one.
"""

from __future__ import annotations

import abc
import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching import metrics
from damaskpoint.batching.assignment import compute_direct_delay_s
from damaskpoint.batching.model import PieceOutcome, PieceReason
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.batching.base import Peers
    from damaskpoint.batching.batchers import BatcherDirectory
    from damaskpoint.batching.model import CallHolding, OrderAnswer, Piece
    from damaskpoint.batching.peer_orders import PieceOrderClient
    from damaskpoint.membership.facts import Address

    Outcomes = tuple[PieceOutcome, ...]

_LOG: Final = logging.getLogger(__name__)
_MS: Final = 1000
# Interval at which the peer that holds an order is checked to be live
# (seconds): a fraction of the time after which a silent peer is not live.
_LIVENESS_POLL_S: Final = 0.1
# Instances that an order is tried at before the runners are called directly.
_MAX_PLACES: Final = 3
# Rounds of orders and direct calls: this instance hands back what it began to
# run itself when it learns which one batches for the group.
_MAX_ROUNDS: Final = 2
_HANDED_BACK: Final = PieceOutcome(None, PieceReason.HANDED_BACK)
_UNREACHABLE: Final = PieceOutcome(None, PieceReason.UNREACHABLE)


class LocalBatching(abc.ABC):
    """Batching by this process, and what it knows of calls in flight."""

    @abc.abstractmethod
    async def run_locally(
        self, group_name: str, pieces: Sequence[Piece]
    ) -> Outcomes:
        """Run pieces as the batching instance of a group."""

    @abc.abstractmethod
    def hand_back_group(self, group_name: str) -> None:
        """Return the waiting pieces of a group to their requests."""

    @abc.abstractmethod
    def record_held(self, group_name: str, held: Sequence[CallHolding]) -> None:
        """Record calls that other instances have at runners of a group."""

    @abc.abstractmethod
    def list_held(self, group_name: str, now: float) -> tuple[CallHolding, ...]:
        """Return the calls in flight that a batching instance should know."""


@final
class OrderPlacer:
    """Orders pieces from the batching instances."""

    def __init__(
        self,
        own_name: str,
        peers: Peers,
        batchers: BatcherDirectory,
        client: PieceOrderClient,
        local: LocalBatching,
    ) -> None:
        """Order from peers by ``client``, and from this process directly."""
        self._own_name = own_name
        self._peers = peers
        self._batchers = batchers
        self._client = client
        self._local = local

    async def place(self, group: str, pieces: Sequence[Piece]) -> Outcomes:
        """Run pieces of one stage of one request and return the outcomes."""
        outcomes = list(hand_back(pieces))
        for _ in range(_MAX_ROUNDS):
            await self._order_from_instances(group, pieces, outcomes)
            waiting = list_handed_back(outcomes)
            if not waiting:
                return tuple(outcomes)
            ran = await self._run_directly(
                group, [pieces[index] for index in waiting]
            )
            _replace(outcomes, waiting, ran)
        return tuple(
            _UNREACHABLE
            if outcome.reason is PieceReason.HANDED_BACK
            else outcome
            for outcome in outcomes
        )

    async def _order_from_instances(
        self, group: str, pieces: Sequence[Piece], outcomes: list[PieceOutcome]
    ) -> None:
        """Order the pieces that were handed back from one after the other."""
        declined: set[str] = set()
        while len(declined) < _MAX_PLACES:
            waiting = list_handed_back(outcomes)
            batcher = self._batchers.find(group, time.monotonic(), declined)
            if batcher is None or not waiting:
                return
            if not declined:
                self._log_change(group, batcher)
            ran = await self._run_at(
                batcher, group, [pieces[index] for index in waiting]
            )
            _replace(outcomes, waiting, ran)
            declined.add(batcher)

    async def _run_at(
        self, batcher: str, group: str, pieces: Sequence[Piece]
    ) -> Outcomes:
        """Run pieces at an instance; they are handed back if it is lost."""
        if batcher == self._own_name:
            return await self._local.run_locally(group, pieces)
        address = self._peers.find_address(batcher, time.monotonic())
        if address is None:
            return hand_back(pieces)
        sent_at = time.monotonic()
        answer = await self._order(batcher, address, group, pieces)
        if not isinstance(answer, Failure):
            self._local.record_held(group, answer.held)
            return answer.outcomes
        is_lost = self._is_lost(batcher, answer, sent_at)
        if is_lost:
            self._batchers.record_lost(batcher, time.monotonic())
        _LOG.info(
            'batching instance lost, ordering from the next one',
            extra={
                'request': pieces[0].request_id,
                'group': group,
                'instance': batcher,
                'is_avoided': is_lost,
                'reason': answer.detail,
            },
        )
        return hand_back(pieces)

    def _is_lost(self, batcher: str, failure: Failure, sent_at: float) -> bool:
        """Return whether further orders should go to another instance.

        A peer that does not know this instance yet serves others. One that
        answers late, but was heard of since, is slow, and a second batching
        instance would not make it faster.
        """
        if failure.code is Code.UPSTREAM_TIMEOUT:
            seen_at = self._peers.find_last_seen(batcher)
            return seen_at is None or seen_at < sent_at
        return failure.code is not Code.PEER_UNKNOWN

    async def _order(
        self,
        batcher: str,
        address: Address,
        group: str,
        pieces: Sequence[Piece],
    ) -> OrderAnswer | Failure:
        """Order pieces from a peer; fails as soon as it is no longer live."""
        held = self._local.list_held(group, time.monotonic())
        order = asyncio.ensure_future(
            self._client.order(address, group, pieces, held)
        )
        try:
            while not order.done():
                await asyncio.wait((order,), timeout=_LIVENESS_POLL_S)
                if self._peers.find_address(batcher, time.monotonic()) is None:
                    break
        finally:
            if not order.done():
                order.cancel()
        if order.done() and not order.cancelled():
            return order.result()
        return Failure(Code.PEER_UNREACHABLE, 'peer is no longer live')

    async def _run_directly(
        self, group: str, pieces: Sequence[Piece]
    ) -> Outcomes:
        """Run pieces without the batching instance, after a short delay."""
        service = find_service_name(group)
        metrics.DIRECT_ORDERS.inc({'service': service})
        delay_s = compute_direct_delay_s(self._own_name, group)
        _LOG.info(
            'no batching instance, calling runners directly',
            extra={
                'request': pieces[0].request_id,
                'group': group,
                'pieces': len(pieces),
                'delay_ms': round(delay_s * _MS),
            },
        )
        await asyncio.sleep(delay_s)
        return await self._local.run_locally(group, pieces)

    def _log_change(self, group: str, batcher: str) -> None:
        previous = self._batchers.record_used(group, batcher)
        if previous is None:
            return
        if previous == self._own_name:
            self._local.hand_back_group(group)
        metrics.BATCHER_CHANGES.inc({'service': find_service_name(group)})
        _LOG.info(
            'batching instance changed',
            extra={'group': group, 'previous': previous, 'instance': batcher},
        )


def hand_back(pieces: Sequence[Piece]) -> Outcomes:
    """Return the outcomes of pieces that another instance should run."""
    return tuple(_HANDED_BACK for _ in pieces)


def find_service_name(group: str) -> str:
    """Return the name of the service that a group belongs to."""
    return group.rpartition('#')[0]


def _replace(
    outcomes: list[PieceOutcome],
    indexes: Sequence[int],
    ran: Sequence[PieceOutcome],
) -> None:
    for index, outcome in zip(indexes, ran, strict=True):
        outcomes[index] = outcome


def list_handed_back(outcomes: Sequence[PieceOutcome]) -> list[int]:
    """Return the indexes of the pieces that are to be ordered again."""
    return [
        index
        for index, outcome in enumerate(outcomes)
        if outcome.reason is PieceReason.HANDED_BACK
    ]
