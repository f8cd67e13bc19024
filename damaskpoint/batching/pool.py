"""Runs pieces at any group of runners, through its batching instance.

The runners of a service are split into small groups. Each group has one
batching instance, chosen by rendezvous hashing, see ``assignment``. This
serves efficiency only: while instances disagree on who is live, two may batch
for one group, whose batches are then smaller than necessary.
"""

from __future__ import annotations

import asyncio
import logging
import time
from functools import partial
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching import metrics
from damaskpoint.batching.batchers import BatcherDirectory
from damaskpoint.batching.group import RunnerGroup
from damaskpoint.batching.grouping import RunnerGroups
from damaskpoint.batching.holdings import HoldingTable
from damaskpoint.batching.model import OrderAnswer, PieceOutcome, PieceReason
from damaskpoint.batching.paces import PaceTable
from damaskpoint.batching.placement import (
    LocalBatching,
    OrderPlacer,
    find_service_name,
    hand_back,
    list_handed_back,
)
from damaskpoint.membership.facts import PaceFact
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.balancing.health import RunnerHealth
    from damaskpoint.batching.base import Peers, PieceCaller
    from damaskpoint.batching.model import CallHolding, Piece
    from damaskpoint.batching.peer_orders import PieceOrderClient
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import Runner
    from damaskpoint.membership.facts import Address
    from damaskpoint.rollout.gate import VersionGate

_LOG: Final = logging.getLogger(__name__)


@final
class StagePool(StateSource, LocalBatching):
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
        self.groups = RunnerGroups(catalog, versions)
        self._batchers = BatcherDirectory(
            own_name, peers, self.groups.find_total_rate
        )
        self._holdings = HoldingTable()
        self._placer = OrderPlacer(
            own_name, peers, self._batchers, client, self
        )
        # Whether requests give way by urgency and account where not all can
        # be in time; set before the first group is created.
        self.shares_capacity = True
        self._groups_by_name: dict[str, RunnerGroup] = {}
        self._release_tasks: set[asyncio.Task[None]] = set()

    # Commands.

    async def run_pieces(
        self, group: str, pieces: Sequence[Piece]
    ) -> tuple[PieceOutcome, ...]:
        """Run pieces of one stage of one request and return the outcomes."""
        self._record_order(group, len(pieces))
        return await self._placer.place(group, pieces)

    async def run_for_peer(
        self,
        group_name: str,
        pieces: Sequence[Piece],
        held: Sequence[CallHolding],
    ) -> OrderAnswer:
        """Run pieces that a peer ordered, or hand them back to it.

        ``held`` are calls at the runners that this instance may not know of.
        A leaving instance hands them back, and so does one that has not read
        the configuration yet.
        """
        is_replaced = self._batchers.is_replaced(time.monotonic())
        group = None if is_replaced else self._find_or_create_group(group_name)
        self.record_held(group_name, held)
        outcomes = hand_back(pieces)
        if group is not None:
            outcomes = await group.run_pieces(pieces)
        if not list_handed_back(outcomes):
            return OrderAnswer(outcomes)
        return OrderAnswer(
            outcomes, self.list_held(group_name, time.monotonic())
        )

    def hand_back(self, now: float) -> None:
        """Return the waiting pieces for which another instance batches."""
        for name in tuple(self._groups_by_name):
            if self.find_batcher(name, now) != self._own_name:
                self.hand_back_group(name)

    def hand_back_group(self, group_name: str) -> None:
        """Return the waiting pieces of a group to their requests."""
        group = self._groups_by_name.get(group_name)
        count = 0 if group is None else group.hand_back()
        if not count:
            return
        metrics.HANDED_BACK.add({}, count)
        _LOG.info(
            'pieces handed back', extra={'group': group_name, 'pieces': count}
        )

    async def run_locally(
        self, group_name: str, pieces: Sequence[Piece]
    ) -> tuple[PieceOutcome, ...]:
        """Run pieces as the batching instance of a group."""
        group = self._find_or_create_group(group_name)
        if group is None:
            unreachable = PieceOutcome(None, PieceReason.UNREACHABLE)
            return (unreachable,) * len(pieces)
        group.capacities.record_held(
            self._holdings.list_held(group_name, time.monotonic())
        )
        return await group.run_pieces(pieces)

    def record_held(self, group_name: str, held: Sequence[CallHolding]) -> None:
        """Record calls that other instances have at runners of a group."""
        foreign = [item for item in held if item.instance != self._own_name]
        self._holdings.record(group_name, foreign)
        group = self._groups_by_name.get(group_name)
        if group is not None:
            group.capacities.record_held(foreign)

    def release(self, runner_name: str, handles: Sequence[str]) -> None:
        """Release results through the batching instance of their runner."""
        runner = self._catalog.runners.find(runner_name)
        if runner is None:
            return
        now = time.monotonic()
        batcher = self.find_batcher(self.groups.find_name(runner), now)
        address = self.peers.find_address(batcher, now)
        if batcher == self._own_name or address is None:
            self.release_locally(runner_name, handles)
            return
        task = asyncio.ensure_future(
            _release_at_peer(self._client, address, runner_name, handles)
        )
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    def release_locally(self, runner_name: str, handles: Sequence[str]) -> None:
        """Release results as the batching instance of their runner."""
        runner = self._catalog.runners.find(runner_name)
        if runner is None:
            return
        group = self._find_or_create_group(self.groups.find_name(runner))
        if group is not None:
            group.release(runner, handles)

    def drop_unused(self) -> None:
        """Remove idle groups without runners, and idle connections."""
        self._client.close_idle(time.monotonic())
        for name, group in tuple(self._groups_by_name.items()):
            if group.is_unused and not self.find_runners(name):
                self._groups_by_name.pop(name)
                self._batchers.forget(name)

    # Queries.

    def choose_group(self, service: str, request_id: str) -> str:
        """Return a group for a request, weighted by the groups' sizes."""
        return self.groups.choose(service, request_id, time.monotonic())

    def find_runners(self, group: str) -> Sequence[Runner]:
        """Return the usable runners of a group."""
        return self.groups.find_runners(group, time.monotonic())

    def find_zone(self, runner_name: str) -> str:
        """Return the zone of a runner, or an empty string."""
        runner = self._catalog.runners.find(runner_name)
        return '' if runner is None else runner.zone

    def find_batcher(self, group: str, now: float) -> str:
        """Return the instance that batches for a group."""
        return self._batchers.find(group, now) or self._own_name

    def find_pace(self, group_name: str, now: float) -> PaceFact:
        """Return the paces of a group, as defined in ``batching.paces``."""
        if self.find_batcher(group_name, now) == self._own_name:
            group = self._groups_by_name.get(group_name)
            if group is not None:
                return group.report_pace(group_name, now)
        return self.paces.find_report(group_name)

    def list_held(self, group_name: str, now: float) -> tuple[CallHolding, ...]:
        """Return the known calls in flight at runners, except of peers.

        These are the own ones and those of leaving instances.
        """
        held = self._holdings.list_held(group_name, now)
        group = self._groups_by_name.get(group_name)
        if group is not None:
            held.extend(group.capacities.list_held(self._own_name, now))
        return tuple(held)

    def own_paces(self, now: float) -> list[PaceFact]:
        """Return the paces of the groups that this instance batches for."""
        return [
            group.report_pace(name, now)
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
        name = find_service_name(group)
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
        service = self._catalog.find_service(find_service_name(name))
        if service is None or service.batches is None:
            return None
        group = RunnerGroup(
            service.batches,
            partial(self.find_runners, name),
            self._health,
            self._caller,
            shares_capacity=self.shares_capacity,
        )
        self._groups_by_name[name] = group
        return group


async def _release_at_peer(
    client: PieceOrderClient,
    address: Address,
    runner_name: str,
    handles: Sequence[str],
) -> None:
    failure = await client.release(address, runner_name, handles)
    if failure is not None:
        _LOG.info(
            'results not released, they expire at the runner',
            extra={
                'runner': runner_name,
                'results': len(handles),
                'reason': failure.detail,
            },
        )
