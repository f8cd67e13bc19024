"""Makes pieces at any group of runners, through whoever batches for it.

The runners of a service form groups of a few; each group has one batching
instance, by rendezvous hashing over the live ones. That is for efficiency
only: while views differ, two may batch for a group, and its calls are
smaller than they could be.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from functools import partial
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint.balancing import rendezvous
from damaskpoint.batching.group import RunnerGroup
from damaskpoint.batching.model import PieceOutcome, PieceReason
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import PaceFact
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.base import PieceCaller, Peers
    from damaskpoint.batching.paces import PaceTable
    from damaskpoint.batching.model import Piece
    from damaskpoint.batching.peer_orders import PieceOrderClient
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import Runner
    from damaskpoint.membership.facts import Address

_LOG: Final = logging.getLogger(__name__)
# Time between two looks whether the peer that has an order still lives
# (seconds): a fraction of the silence after which a peer counts as gone.
_WATCH_S: Final = 0.1
# Runners of a group: enough that one is free soon, and few enough for the
# work of batching to spread over the instances.
_GROUP_RUNNERS: Final = 6
_GROUP_MARK: Final = '#'


@final
class StagePool(StateSource):
    """The runners of all stages, as this instance reaches them."""

    def __init__(
        self,
        own_name: str,
        catalog: Catalog,
        peers: Peers,
        paces: PaceTable,
        health: RunnerHealth,
        caller: PieceCaller,
        client: PieceOrderClient,
    ) -> None:
        """Start without groups."""
        self._own_name = own_name
        self._catalog = catalog
        self.peers = peers
        self._paces = paces
        self._health = health
        self._caller = caller
        self._client = client
        self._groups_by_name: dict[str, RunnerGroup] = {}
        self._release_tasks: set[asyncio.Task[None]] = set()

    # Commands.

    async def make(
        self, group: str, pieces: Sequence[Piece]
    ) -> tuple[PieceOutcome, ...]:
        """Return the outcomes of pieces of one stage of one request."""
        now = time.monotonic()
        batcher = self.find_batcher(group, now)
        address = self.peers.find_address(batcher, now)
        if batcher == self._own_name or address is None:
            return await self.make_here(group, pieces)
        outcomes = await self._order(batcher, address, group, pieces)
        if not isinstance(outcomes, Failure):
            return outcomes
        _LOG.info(
            'batching instance lost, calling runners from here',
            extra={
                'request': pieces[0].request_id,
                'group': group,
                'instance': batcher,
                'reason': outcomes.detail,
            },
        )
        return await self.make_here(group, pieces)

    async def make_here(
        self, group_name: str, pieces: Sequence[Piece]
    ) -> tuple[PieceOutcome, ...]:
        """Make pieces as the batching instance of a group."""
        group = self._find_group(group_name)
        if group is None:
            lost = PieceOutcome(None, PieceReason.UNREACHABLE)
            return (lost,) * len(pieces)
        return await group.make(pieces)

    def release(self, runner_name: str, handles: Sequence[str]) -> None:
        """Give results up."""
        runner = self._catalog.runners.find(runner_name)
        if runner is None:
            return
        now = time.monotonic()
        batcher = self.find_batcher(self.name_group(runner), now)
        address = self.peers.find_address(batcher, now)
        if batcher == self._own_name or address is None:
            self.release_here(runner_name, handles)
            return
        task = asyncio.ensure_future(
            self._release_at(address, runner_name, handles)
        )
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    def release_here(self, runner_name: str, handles: Sequence[str]) -> None:
        """Give results up as the batching instance of their runner."""
        runner = self._catalog.runners.find(runner_name)
        if runner is None:
            return
        group = self._find_group(self.name_group(runner))
        if group is not None:
            group.release(runner, handles)

    def drop_unused(self) -> None:
        """Forget idle groups of services that are gone."""
        for name, group in tuple(self._groups_by_name.items()):
            if group.is_unused and not self.find_runners(name):
                self._groups_by_name.pop(name)

    # Queries.

    def choose_group(self, service: str, request_id: str) -> str:
        """Return the group for a request, by the groups' sizes."""
        sizes_by_group: dict[str, float] = {}
        for runner in self._catalog.runners.usable(service):
            name = self.name_group(runner)
            sizes_by_group[name] = sizes_by_group.get(name, 0) + 1
        if not sizes_by_group:
            return f'{service}{_GROUP_MARK}0'
        return rendezvous.order_weighted(sizes_by_group, request_id)[0]

    def name_group(self, runner: Runner) -> str:
        """Return the group of a runner."""
        count = len(self._catalog.runners.usable(runner.service))
        groups = max(1, math.ceil(count / _GROUP_RUNNERS))
        number = xxhash.xxh32_intdigest(runner.name.encode()) % groups
        return f'{runner.service}{_GROUP_MARK}{number}'

    def find_runners(self, group: str) -> list[Runner]:
        """Return the runners of a group that may be used."""
        service, _, _ = group.rpartition(_GROUP_MARK)
        found = []
        for runner in self._catalog.runners.usable(service):
            if self.name_group(runner) == group:
                found.append(runner)
        return found

    def find_zone(self, runner_name: str) -> str:
        """Return the zone of a runner, or an empty text."""
        runner = self._catalog.runners.find(runner_name)
        return '' if runner is None else runner.zone

    def find_batcher(self, group: str, now: float) -> str:
        """Return the instance that batches for a group."""
        names = self.peers.batching_names(now) | {self._own_name}
        return rendezvous.order(names, group)[0]

    def find_pace(self, group_name: str, now: float) -> float:
        """Return how long calls of a group take, of what they should."""
        if self.find_batcher(group_name, now) == self._own_name:
            group = self._groups_by_name.get(group_name)
            if group is not None:
                return group.pace
        return self._paces.find(group_name, now)

    def own_paces(self, now: float) -> list[PaceFact]:
        """Return the paces of the groups that this instance batches for."""
        return [
            PaceFact(name, group.pace)
            for name, group in self._groups_by_name.items()
            if self.find_batcher(name, now) == self._own_name
        ]

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the groups that are held here."""
        return {
            name: {
                'batcher': self.find_batcher(name, now),
                **group.dump_state(now),
            }
            for name, group in self._groups_by_name.items()
        }

    # Steps.

    def _find_group(self, name: str) -> RunnerGroup | None:
        group = self._groups_by_name.get(name)
        if group is not None:
            return group
        service = self._catalog.find_service(name.rpartition(_GROUP_MARK)[0])
        if service is None or service.batches is None:
            return None
        group = RunnerGroup(
            service.batches,
            partial(self.find_runners, name),
            self._health,
            self._caller,
        )
        self._groups_by_name[name] = group
        return group

    async def _order(
        self,
        batcher: str,
        address: Address,
        group: str,
        pieces: Sequence[Piece],
    ) -> tuple[PieceOutcome, ...] | Failure:
        """Order from a peer, as long as it lives."""
        order = asyncio.ensure_future(
            self._client.order(address, group, pieces)
        )
        try:
            while not order.done():
                await asyncio.wait((order,), timeout=_WATCH_S)
                if self.peers.find_address(batcher, time.monotonic()) is None:
                    break
        finally:
            if not order.done():
                order.cancel()
        if order.done() and not order.cancelled():
            return order.result()
        return Failure(Code.PEER_UNREACHABLE, 'the peer fell silent')

    async def _release_at(
        self, address: Address, runner_name: str, handles: Sequence[str]
    ) -> None:
        failure = await self._client.release(address, runner_name, handles)
        if failure is not None:
            _LOG.info(
                'results not released, they expire at the runner',
                extra={
                    'runner': runner_name,
                    'results': len(handles),
                    'reason': failure.detail,
                },
            )
