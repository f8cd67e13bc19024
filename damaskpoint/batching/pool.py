"""Runs pieces at any group of runners, through its batching instance.

The runners of a service are split into small groups. Each group has one
batching instance, chosen by rendezvous hashing over the live instances. This
serves efficiency only: while instances disagree on who is live, two may batch
for one group, whose batches are then smaller than necessary.
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
from damaskpoint.batching.paces import PaceTable
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import PaceFact
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.base import Peers, PieceCaller
    from damaskpoint.batching.model import Piece
    from damaskpoint.batching.peer_orders import PieceOrderClient
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import Runner
    from damaskpoint.membership.facts import Address
    from damaskpoint.rollout.gate import VersionGate

_LOG: Final = logging.getLogger(__name__)
# Interval at which the peer that holds an order is checked to be live
# (seconds): a fraction of the time after which a silent peer is not live.
_LIVENESS_POLL_S: Final = 0.1
# Runners per group: enough that one becomes free soon, and few enough that
# the work of batching spreads over the instances.
_RUNNERS_PER_GROUP: Final = 6
_GROUP_SEPARATOR: Final = '#'


@final
class StagePool(StateSource):
    """Runs pieces and releases results at the runners of all stages."""

    def __init__(
        self,
        own_name: str,
        catalog: Catalog,
        peers: Peers,
        health: RunnerHealth,
        caller: PieceCaller,
        client: PieceOrderClient,
        versions: VersionGate,
    ) -> None:
        """Start without groups."""
        self._versions = versions
        self._own_name = own_name
        self._catalog = catalog
        self.peers = peers
        self.paces = PaceTable()
        self._health = health
        self._caller = caller
        self._client = client
        self._groups_by_name: dict[str, RunnerGroup] = {}
        self._release_tasks: set[asyncio.Task[None]] = set()

    # Commands.

    async def run_pieces(
        self, group: str, pieces: Sequence[Piece]
    ) -> tuple[PieceOutcome, ...]:
        """Run pieces of one stage of one request and return the outcomes."""
        now = time.monotonic()
        self._record_order(group, len(pieces))
        batcher = self.find_batcher(group, now)
        address = self.peers.find_address(batcher, now)
        if batcher == self._own_name or address is None:
            return await self.run_locally(group, pieces)
        outcomes = await self._order_from_peer(batcher, address, group, pieces)
        if not isinstance(outcomes, Failure):
            return outcomes
        _LOG.info(
            'batching instance lost, calling runners directly',
            extra={
                'request': pieces[0].request_id,
                'group': group,
                'instance': batcher,
                'reason': outcomes.detail,
            },
        )
        return await self.run_locally(group, pieces)

    async def run_locally(
        self, group_name: str, pieces: Sequence[Piece]
    ) -> tuple[PieceOutcome, ...]:
        """Run pieces as the batching instance of a group."""
        group = self._find_or_create_group(group_name)
        if group is None:
            unreachable = PieceOutcome(None, PieceReason.UNREACHABLE)
            return (unreachable,) * len(pieces)
        return await group.run_pieces(pieces)

    def release(self, runner_name: str, handles: Sequence[str]) -> None:
        """Release results through the batching instance of their runner."""
        runner = self._catalog.runners.find(runner_name)
        if runner is None:
            return
        now = time.monotonic()
        batcher = self.find_batcher(self.find_group_name(runner), now)
        address = self.peers.find_address(batcher, now)
        if batcher == self._own_name or address is None:
            self.release_locally(runner_name, handles)
            return
        task = asyncio.ensure_future(
            self._release_at_peer(address, runner_name, handles)
        )
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    def release_locally(self, runner_name: str, handles: Sequence[str]) -> None:
        """Release results as the batching instance of their runner."""
        runner = self._catalog.runners.find(runner_name)
        if runner is None:
            return
        group = self._find_or_create_group(self.find_group_name(runner))
        if group is not None:
            group.release(runner, handles)

    def drop_unused(self) -> None:
        """Remove idle groups that have no runners any more."""
        for name, group in tuple(self._groups_by_name.items()):
            if group.is_unused and not self.find_runners(name):
                self._groups_by_name.pop(name)

    # Queries.

    def choose_group(self, service: str, request_id: str) -> str:
        """Return a group for a request, weighted by the groups' sizes."""
        sizes_by_group: dict[str, float] = {}
        for runner in self._versions.select_stage(
            service, self._catalog.runners.usable(service), time.monotonic()
        ):
            name = self.find_group_name(runner)
            sizes_by_group[name] = sizes_by_group.get(name, 0) + 1
        if not sizes_by_group:
            return f'{service}{_GROUP_SEPARATOR}0'
        return rendezvous.order_weighted(sizes_by_group, request_id)[0]

    def find_group_name(self, runner: Runner) -> str:
        """Return the name of a runner's group."""
        prefix = self._versions.group_prefix(runner.version)
        count = self._versions.count_alike(
            runner, self._catalog.runners.usable(runner.service)
        )
        groups = max(1, math.ceil(count / _RUNNERS_PER_GROUP))
        number = xxhash.xxh32_intdigest(runner.name.encode()) % groups
        return f'{runner.service}{_GROUP_SEPARATOR}{prefix}{number}'

    def find_runners(self, group: str) -> list[Runner]:
        """Return the usable runners of a group."""
        service, _, _ = group.rpartition(_GROUP_SEPARATOR)
        found = []
        usable = self._catalog.runners.usable(service)
        for runner in usable:
            if self.find_group_name(runner) == group:
                found.append(runner)
        return self._versions.filter_group(found, usable, time.monotonic())

    def find_zone(self, runner_name: str) -> str:
        """Return the zone of a runner, or an empty string."""
        runner = self._catalog.runners.find(runner_name)
        return '' if runner is None else runner.zone

    def find_batcher(self, group: str, now: float) -> str:
        """Return the instance that batches for a group."""
        names = self.peers.batching_names(now) | {self._own_name}
        return rendezvous.order(names, group)[0]

    def find_pace(self, group_name: str, now: float) -> float:
        """Return the pace of a group, as defined in ``batching.paces``."""
        if self.find_batcher(group_name, now) == self._own_name:
            group = self._groups_by_name.get(group_name)
            if group is not None:
                return group.pace
        return self.paces.find(group_name)

    def own_paces(self, now: float) -> list[PaceFact]:
        """Return the paces of the groups that this instance batches for."""
        return [
            PaceFact(name, group.pace)
            for name, group in self._groups_by_name.items()
            if self.find_batcher(name, now) == self._own_name
        ]

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the state of the groups that have a queue here."""
        return {
            name: {
                'batcher': self.find_batcher(name, now),
                **group.dump_state(now),
            }
            for name, group in self._groups_by_name.items()
        }

    # Steps.

    def _record_order(self, group: str, pieces: int) -> None:
        """Count pieces for the share of a version under test."""
        name = group.rpartition(_GROUP_SEPARATOR)[0]
        service = self._catalog.find_service(name)
        if service is None or not self._versions.has_rollout(name):
            return
        runners = self.find_runners(group)
        if runners and service.batches is not None:
            calls = pieces / service.batches.max_pieces
            self._versions.record_stage_pieces(
                runners[0], calls, time.monotonic()
            )

    def _find_or_create_group(self, name: str) -> RunnerGroup | None:
        group = self._groups_by_name.get(name)
        if group is not None:
            return group
        service = self._catalog.find_service(
            name.rpartition(_GROUP_SEPARATOR)[0]
        )
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

    async def _order_from_peer(
        self,
        batcher: str,
        address: Address,
        group: str,
        pieces: Sequence[Piece],
    ) -> tuple[PieceOutcome, ...] | Failure:
        """Order pieces from a peer; fails as soon as it is no longer live."""
        order = asyncio.ensure_future(
            self._client.order(address, group, pieces)
        )
        try:
            while not order.done():
                await asyncio.wait((order,), timeout=_LIVENESS_POLL_S)
                if self.peers.find_address(batcher, time.monotonic()) is None:
                    break
        finally:
            if not order.done():
                order.cancel()
        if order.done() and not order.cancelled():
            return order.result()
        return Failure(Code.PEER_UNREACHABLE, 'peer is no longer live')

    async def _release_at_peer(
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
