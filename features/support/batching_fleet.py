"""Instances that batch for the same runners, in one event loop.

Orders between them and calls of runners are simulated without a network; the
pools, groups and queues are the product's.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from damaskpoint.balancing.health import RunnerHealth
from damaskpoint.batching.assignment import InstanceView
from damaskpoint.batching.base import PieceCaller, Peers
from damaskpoint.batching.model import (
    CallAnswer,
    CallHolding,
    OrderAnswer,
    Piece,
    PieceOutcome,
    RunnerLoad,
)
from damaskpoint.batching.pool import StagePool
from damaskpoint.catalog.catalog import Catalog
from damaskpoint.catalog.model import (
    BatchLimits,
    CallerLimits,
    Configuration,
    Runner,
    Service,
)
from damaskpoint.errors import Code, Failure
from damaskpoint.membership.facts import Address, Phase
from damaskpoint.rollout.gate import VersionGate

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE: Final = 'stage'
_ZONE: Final = 'zone'
# Calls that a runner accepts: one that runs, and two that wait.
_RUNNER_PLACES: Final = 3
LIMITS: Final = BatchLimits(
    max_concurrent_calls=1,
    max_pieces=10,
    call_s=0.2,
    piece_s=0.01,
    result_capacity_bytes=1e9,
    result_ttl_s=4,
)


@dataclass(slots=True)
class SimulatedRunner:
    """Runs one call at a time, in the order of their arrival."""

    name: str
    # The instance of each call that was accepted, and of each refused one.
    callers: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    batch_sizes: list[int] = field(default_factory=list)
    # The instance and the time of each call, refused or not.
    calls: list[tuple[str, float]] = field(default_factory=list)
    accepted: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def load(self) -> RunnerLoad:
        """Return its report."""
        running = min(1, self.accepted)
        return RunnerLoad(running, self.accepted - running, 1)

    async def run(
        self, instance: str, count: int
    ) -> tuple[PieceOutcome, ...] | None:
        """Run a call of ``count`` pieces, or return None if full."""
        self.calls.append((instance, time.monotonic()))
        if self.accepted >= _RUNNER_PLACES:
            self.refused.append(instance)
            return None
        self.callers.append(instance)
        self.batch_sizes.append(count)
        self.accepted += 1
        try:
            async with self.lock:
                await asyncio.sleep(LIMITS.estimate_call_s(count))
        finally:
            self.accepted -= 1
        number = len(self.callers)
        return tuple(
            PieceOutcome(f'{self.name}/{number}/{index}', None, self.name)
            for index in range(count)
        )


@dataclass(slots=True)
class SimulatedInstance:
    """One instance, and which others it knows."""

    name: str
    pool: StagePool
    catalog: Catalog
    phase: Phase = Phase.SERVING
    # Peers that it has heard of.
    known: set[str] = field(default_factory=set)
    # Set when the process is killed.
    killed: asyncio.Event = field(default_factory=asyncio.Event)
    # Whether its process answers nothing, though its connections stay open.
    is_frozen: bool = False
    # Whether its heartbeats arrive.
    is_heard: bool = False
    # Orders of peers.
    orders: int = 0
    # Pieces per second that its machine can batch; 0 if unknown.
    batch_rate: int = 0


class BatchingFleet:
    """Instances, all in the platform's list, and the runners of a service."""

    def __init__(self, instances: int, runners: int) -> None:
        """Start all instances; each knows all others."""
        self.runners_by_name = {
            f'r-{number}': SimulatedRunner(f'r-{number}')
            for number in range(runners)
        }
        self.by_name: dict[str, SimulatedInstance] = {}
        for number in range(instances):
            self._add(f'i-{number}')
        for instance in self.by_name.values():
            instance.known = set(self.by_name) - {instance.name}

    def start(self, name: str) -> SimulatedInstance:
        """Start an instance that is listed, and that nobody has heard of."""
        instance = self._add(name)
        instance.phase = Phase.STARTING
        return instance

    def leave(self, name: str) -> None:
        """Begin the shutdown of an instance; all peers hear of it."""
        instance = self.by_name[name]
        instance.phase = Phase.LEAVING
        instance.pool.hand_back(time.monotonic())

    def kill(self, name: str) -> None:
        """End an instance; its peers do not hear of it."""
        self.by_name[name].killed.set()

    def find_batcher(self, group: str) -> str:
        """Return the batching instance in the view of the first instance."""
        first = next(iter(self.by_name.values()))
        return first.pool.find_batcher(group, time.monotonic())

    async def order(
        self, name: str, group: str, count: int, left_s: float = 5
    ) -> tuple[PieceOutcome, ...]:
        """Run pieces of a request of an instance."""
        ends_at = time.monotonic() + left_s
        pieces = [
            Piece(
                request_id=f'{name}/{time.monotonic_ns()}',
                stage=0,
                index=index,
                key='',
                inputs=(),
                zone=_ZONE,
                moved_bytes=0,
                priority=0,
                ends_at=ends_at,
                needed_at=ends_at,
                lead_s=0,
                result_bytes=1,
                has_cost=False,
                is_deferred=False,
            )
            for index in range(count)
        ]
        return await self.by_name[name].pool.run_pieces(group, pieces)

    @property
    def callers(self) -> list[str]:
        """Return the instance of each accepted call."""
        found: list[str] = []
        for runner in self.runners_by_name.values():
            found.extend(runner.callers)
        return found

    @property
    def refused(self) -> list[str]:
        """Return the instance of each refused call."""
        found: list[str] = []
        for runner in self.runners_by_name.values():
            found.extend(runner.refused)
        return found

    def _add(self, name: str) -> SimulatedInstance:
        catalog = self._create_catalog()
        pool = StagePool(
            name,
            catalog,
            _SimulatedPeers(self, name),
            RunnerHealth(),
            _SimulatedCaller(self, name),
            _SimulatedClient(self, name),  # type: ignore[arg-type]
            VersionGate(name, None, catalog.runners.is_cold),
        )
        instance = SimulatedInstance(name, pool, catalog)
        self.by_name[name] = instance
        return instance

    def _create_catalog(self) -> Catalog:
        catalog = Catalog()
        service = Service(SERVICE, '/', 9, 0, 0, batches=LIMITS)
        catalog.apply(
            Configuration(1, {}, {SERVICE: service}, CallerLimits(1, 1, 1, 1)),
            0,
            time.monotonic(),
        )
        for name in self.runners_by_name:
            runner = Runner(name, SERVICE, 'h', 1, _ZONE, 1, False, 0)
            catalog.runners.put(runner, time.monotonic())
        return catalog


class _SimulatedPeers(Peers):
    """What one instance knows of the others."""

    def __init__(self, fleet: BatchingFleet, own_name: str) -> None:
        self._fleet = fleet
        self._own_name = own_name

    def batching_names(self, now: float) -> frozenset[str]:
        view = self.find_view(now)
        return view.serving | view.starting

    def find_view(self, now: float) -> InstanceView:
        by_name = self._fleet.by_name
        own = by_name[self._own_name]
        names_by_phase: dict[Phase, set[str]] = {}
        for name in own.known:
            phase = by_name[name].phase
            names_by_phase.setdefault(phase, set()).add(name)
        return InstanceView(
            self._own_name,
            own.phase,
            frozenset(names_by_phase.get(Phase.SERVING, ())),
            frozenset(names_by_phase.get(Phase.STARTING, ())),
            frozenset(by_name).difference(own.known, (own.name,)),
            {other.name: other.batch_rate for other in by_name.values()},
        )

    def find_last_seen(self, name: str) -> float | None:
        return time.monotonic() if self._fleet.by_name[name].is_heard else 0

    def find_address(self, name: str, now: float) -> Address | None:
        return Address(name, 1) if name in self._fleet.by_name else None


class _SimulatedCaller(PieceCaller):
    """Calls the runners on behalf of one instance."""

    def __init__(self, fleet: BatchingFleet, own_name: str) -> None:
        self._fleet = fleet
        self._own_name = own_name

    async def run_pieces(
        self, runner: Runner, pieces: Sequence[Piece], timeout_s: float
    ) -> CallAnswer | Failure:
        own = self._fleet.by_name[self._own_name]
        if own.killed.is_set():
            return Failure(Code.UPSTREAM_UNREACHABLE, 'killed')
        simulated = self._fleet.runners_by_name[runner.name]
        outcomes = await simulated.run(self._own_name, len(pieces))
        return CallAnswer(outcomes, simulated.load)

    async def release(self, runner: Runner, handles: Sequence[str]) -> None:
        """Do nothing."""


class _SimulatedClient:
    """Passes orders to the pools of other instances."""

    def __init__(self, fleet: BatchingFleet, own_name: str) -> None:
        self._fleet = fleet
        self._own_name = own_name

    async def order(
        self,
        address: Address,
        group: str,
        pieces: Sequence[Piece],
        held: Sequence[CallHolding],
    ) -> OrderAnswer | Failure:
        target = self._fleet.by_name[address.host]
        target.orders += 1
        if (
            target.phase is Phase.STARTING
            and self._own_name not in target.known
        ):
            return Failure(Code.PEER_UNKNOWN, 'not heard of')
        if target.killed.is_set():
            return Failure(Code.PEER_UNREACHABLE, 'refused')
        if target.is_frozen:
            await asyncio.sleep(pieces[0].ends_at - time.monotonic())
            return Failure(Code.UPSTREAM_TIMEOUT, 'timed out')
        work = asyncio.ensure_future(
            target.pool.run_for_peer(group, pieces, held)
        )
        lost = asyncio.ensure_future(target.killed.wait())
        try:
            await asyncio.wait(
                (work, lost), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            lost.cancel()
            if not work.done():
                work.cancel()
        if work.done() and not work.cancelled():
            return work.result()
        return Failure(Code.PEER_UNREACHABLE, 'connection reset')

    async def release(
        self, address: Address, runner: str, handles: Sequence[str]
    ) -> Failure | None:
        target = self._fleet.by_name[address.host]
        if target.killed.is_set():
            return Failure(Code.PEER_UNREACHABLE, 'refused')
        return None
