"""How many requests may run at once, by the pools that they use."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.admission.shares import compute_part

if TYPE_CHECKING:
    from damaskpoint.admission.shares import DemandSource
    from damaskpoint.config.model import Configuration, Pipeline


class CapacitySource(abc.ABC):
    """What routing knows of the upstreams."""

    @abc.abstractmethod
    def find_capacity(self, pool: str) -> float | None:
        """Return the calls at once that the pool bears, over all entries.

        None when it is not known; 0 when no upstream can be used now.
        """


@final
class UnknownCapacity(CapacitySource):
    """Stands in where routing is not asked."""

    def find_capacity(self, pool: str) -> float | None:
        """Return that nothing is known."""


@final
class PoolGate:
    """Counts what runs against this entry's part of each pool.

    A request of a pipeline uses one upstream at a time; it counts in each
    pool with the part of its stages that use the pool.
    """

    def __init__(self, capacity: CapacitySource) -> None:
        """Ask this source; start with nothing running."""
        self._capacity = capacity
        self._parts_by_target: dict[str, dict[str, float]] = {}
        self._used_by_pool: dict[str, float] = {}
        self._limit_by_pool: dict[str, float] = {}

    # Commands.

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take over which pools each target uses."""
        self._parts_by_target = {}
        for pool in configuration.pools_by_name:
            self._parts_by_target[pool] = {pool: 1.0}
        for name, pipeline in configuration.pipelines_by_name.items():
            self._parts_by_target[name] = _find_parts(pipeline)

    def refresh(self, share: float) -> None:
        """Ask for the capacity anew; ``share`` is this entry's part."""
        pools: set[str] = set()
        for parts in self._parts_by_target.values():
            pools.update(parts)
        self._limit_by_pool = {}
        for pool in pools:
            capacity = self._capacity.find_capacity(pool)
            if capacity is None:
                continue
            # With nothing to use, routing itself says so to each caller.
            self._limit_by_pool[pool] = max(
                1, capacity * share * defaults.CAPACITY_FILL
            )

    def start(self, target: str) -> dict[str, float]:
        """Count a request that starts; return what to give to ``end``."""
        parts_by_pool = self._find_target(target)
        for pool, part in parts_by_pool.items():
            self._used_by_pool[pool] = self._used_by_pool.get(pool, 0) + part
        return parts_by_pool

    def end(self, parts_by_pool: dict[str, float]) -> None:
        """Count the end of a request that used these parts."""
        for pool, part in parts_by_pool.items():
            self._used_by_pool[pool] -= part

    # Queries.

    def has_room(self, target: str) -> bool:
        """Return whether one more request of the target may run."""
        for pool, part in self._find_target(target).items():
            limit = self._limit_by_pool.get(pool)
            if limit is None:
                continue
            if self._used_by_pool.get(pool, 0) + part > limit + part / 2:
                return False
        return True

    def find_limit(self, pool: str) -> float | None:
        """Return the requests at once that a pool bears of this entry.

        None when nothing is known of the pool.
        """
        return self._limit_by_pool.get(pool)

    def parts_of(self, target: str) -> dict[str, float]:
        """Return the parts of the pools that a request of a target uses."""
        return self._find_target(target)

    def dump(self) -> dict[str, object]:
        """Return use and limit by pool."""
        dumped: dict[str, object] = {}
        for pool, used in self._used_by_pool.items():
            limit = self._limit_by_pool.get(pool)
            dumped[pool] = {
                'used': round(used, 2),
                'limit': None if limit is None else round(limit, 2),
            }
        return dumped

    def _find_target(self, target: str) -> dict[str, float]:
        return self._parts_by_target.get(target, {})


@final
class CapacityShare:
    """Keeps the gate at this entry's part of what the pools bear."""

    def __init__(
        self, gate: PoolGate, own_name: str, demand: DemandSource
    ) -> None:
        """Divide the capacity by the work that each entry has.

        Unlike a client account's limit, the capacity may be overdrawn for
        a moment: parts follow the work without delay.
        """
        self._gate = gate
        self._own_name = own_name
        self._demand = demand
        self._refreshed_at = float('-inf')

    def reset(self) -> None:
        """Compute anew when next asked."""
        self._refreshed_at = float('-inf')

    def refresh(self, own_work: int, now: float) -> None:
        """Compute the part anew when it is due.

        ``own_work`` is the requests that run or wait here.
        """
        if now - self._refreshed_at < defaults.SHARE_REFRESH_S:
            return
        self._refreshed_at = now
        part = compute_part(
            self._own_name,
            own_work,
            self._demand.entry_names(now),
            self._demand.peer_outstanding(),
            'capacity',
        )
        self._gate.refresh(part.share)


def _find_parts(pipeline: Pipeline) -> dict[str, float]:
    parts: dict[str, float] = {}
    for stage in pipeline.stages:
        parts[stage.pool] = parts.get(stage.pool, 0) + 1 / len(pipeline.stages)
    return parts
