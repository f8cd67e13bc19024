"""The reconciler process: one pool reconciler for each pool with targets."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.errors import Code, Failure
from damaskpoint.observe.operator_app import Readiness
from damaskpoint.platform.base import InstanceList, ListedInstance, Presence
from damaskpoint.reconcile.candidates import is_candidate
from damaskpoint.reconcile.lease import LeaseOptions
from damaskpoint.reconcile.lease_keeper import create_lease_keeper
from damaskpoint.reconcile.planner import (
    OrderPlanner,
    PacingOptions,
    create_target,
)
from damaskpoint.reconcile.pool import PoolGoal, PoolReconciler
from damaskpoint.reconcile.progress import build_lease_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.config.follower import ConfigurationFollower
    from damaskpoint.config.model import Configuration
    from damaskpoint.observe.state import StateRegistry
    from damaskpoint.platform.base import Table
    from damaskpoint.reconcile.engine_client import EngineClient
    from damaskpoint.settings import Options


@final
@dataclass(frozen=True, slots=True)
class ReconcilerDependencies:
    """Dependencies of the process; ``clock`` returns monotonic seconds."""

    options: Options
    table: Table
    instances: InstanceList
    follower: ConfigurationFollower
    client: EngineClient
    registry: StateRegistry
    clock: Callable[[], float]


@final
class ReconcilerProcess(Readiness):
    """Runs a pool reconciler for each pool that has targets."""

    def __init__(self, dependencies: ReconcilerDependencies) -> None:
        """Start without pools."""
        self._dependencies = dependencies
        # A restart of the process is another owner of leases.
        start_id = uuid.uuid4().hex
        self._owner = f'{dependencies.options.instance.name}/{start_id}'
        self._pools_by_name: dict[str, PoolReconciler] = {}
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}
        self._listed_instances: tuple[ListedInstance, ...] = ()
        self._is_stopping = False

    def check_ready(self, now: float) -> Failure | None:
        """Return why no order can be sent, or None."""
        if self._is_stopping:
            return Failure(Code.SHUTTING_DOWN)
        return self._dependencies.follower.check_ready(now)

    async def run(self) -> None:
        """Poll the instance list and update the pools' goals until ``stop``."""
        while not self._is_stopping:
            listed = await self._dependencies.instances.fetch()
            if not isinstance(listed, Failure):
                self._listed_instances = listed
            await self._update_pools()
            await asyncio.sleep(
                self._dependencies.options.platform.instance_list_poll_s
            )

    async def stop(self) -> None:
        """Wait for the orders in flight and release all leases."""
        self._is_stopping = True
        limit_s = self._dependencies.options.shutdown.limit_s / 2
        stops = [pool.stop(limit_s) for pool in self._pools_by_name.values()]
        await asyncio.gather(*stops)
        for task in self._tasks_by_name.values():
            task.cancel()

    async def _update_pools(self) -> None:
        configuration = self._dependencies.follower.current
        if configuration is None or self._is_stopping:
            return
        for name in configuration.targets_by_pool:
            goal = self._create_goal(configuration, name)
            if goal:
                self._get_or_create_pool(name).update_goal(goal)
        for name in set(self._pools_by_name) - set(
            configuration.targets_by_pool
        ):
            await self._remove_pool(name)

    def _create_goal(
        self, configuration: Configuration, name: str
    ) -> PoolGoal | None:
        target = create_target(configuration.targets_by_pool[name])
        if target is None:
            return None
        zones_out = set()
        for zone in configuration.zones_by_name.values():
            if zone.is_out:
                zones_out.add(zone.name)
        engines_by_name = {}
        entry_names = []
        for listed in self._listed_instances:
            if listed.presence is not Presence.LIVE:
                continue
            if listed.pool == defaults.ENTRY_POOL:
                entry_names.append(listed.name)
            if listed.pool == name:
                engines_by_name[listed.name] = listed
        own_name = self._dependencies.options.instance.name
        return PoolGoal(
            pool=name,
            version=configuration.version,
            target=target,
            checks_fencing=configuration.pools_by_name[name].checks_fencing,
            engines_by_name=engines_by_name,
            zones_out=frozenset(zones_out),
            is_candidate=is_candidate(name, own_name, entry_names),
        )

    def _get_or_create_pool(self, name: str) -> PoolReconciler:
        pool = self._pools_by_name.get(name)
        if pool:
            return pool
        dependencies = self._dependencies
        options = dependencies.options.reconciler
        lease_options = LeaseOptions(
            build_lease_key(name),
            self._owner,
            options.lease_s,
            options.lease_margin_s,
        )
        pool = PoolReconciler(
            create_lease_keeper(
                lease_options, dependencies.table, dependencies.clock
            ),
            dependencies.client,
            OrderPlanner(PacingOptions(options.max_orders)),
            options,
            dependencies.clock,
        )
        self._pools_by_name[name] = pool
        self._tasks_by_name[name] = asyncio.create_task(pool.run())
        dependencies.registry.register(f'pool {name}', pool)
        return pool

    async def _remove_pool(self, name: str) -> None:
        """Stop the reconciler of a pool that no longer has targets."""
        pool = self._pools_by_name.pop(name)
        self._dependencies.registry.remove(f'pool {name}')
        await pool.stop(self._dependencies.options.reconciler.order_timeout_s)
        self._tasks_by_name.pop(name).cancel()
