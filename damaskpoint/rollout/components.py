"""Creates what a process needs to take part in rollouts."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.rollout.coordinator import RolloutCoordinator
from damaskpoint.rollout.orders import OrderBook
from damaskpoint.rollout.state_follower import StateFollower

if TYPE_CHECKING:
    from damaskpoint.platform.store import PlatformStore
    from damaskpoint.rollout.fleet import Fleet
    from damaskpoint.rollout.gate import VersionGate


@final
@dataclass(frozen=True, slots=True)
class RolloutComponents:
    """What a process needs to take part in rollouts."""

    orders: OrderBook
    follower: StateFollower
    coordinator: RolloutCoordinator

    async def follow(self) -> None:
        """Read the states once if they are needed, and pause."""
        await self.follower.step(self.coordinator.is_needed())

    async def check_evidence(self) -> None:
        """Evaluate the evidence once, also while a phase is being stored."""
        self.coordinator.check_evidence(time.monotonic())

    async def advance(self) -> None:
        """Evaluate the evidence once."""
        await self.coordinator.advance(time.monotonic())


def create_rollouts(
    store: PlatformStore, gate: VersionGate, fleet: Fleet, started_at: float
) -> RolloutComponents:
    """Return the components of a process that started at ``started_at``."""
    follower = StateFollower(store, gate.book)
    coordinator = RolloutCoordinator(store, gate, follower, fleet, started_at)
    return RolloutComponents(OrderBook(gate.book), follower, coordinator)
