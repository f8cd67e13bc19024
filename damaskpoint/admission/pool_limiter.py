"""Bounds the requests in flight by the capacity of the pools they use."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.admission.shares import compute_share

if TYPE_CHECKING:
    from damaskpoint.admission.shares import DemandSource
    from damaskpoint.config.model import Configuration, Pipeline


class CapacitySource(abc.ABC):
    """Supplies the capacity of pools, as routing sees it."""

    @abc.abstractmethod
    def find_capacity(self, pool: str) -> float | None:
        """Return the concurrent calls that the pool sustains for all entries.

        None if it is unknown; 0 if no upstream is usable now.
        """


@final
class UnknownCapacity(CapacitySource):
    """A source for admission without routing."""

    def find_capacity(self, pool: str) -> float | None:
        """Return None for every pool."""


@final
class PoolLimiter:
    """Bounds the running requests by this entry's share of each pool.

    A request of a pipeline uses one upstream at a time; it counts in each
    pool as the fraction of its stages that use the pool.
    """

    def __init__(self, capacity: CapacitySource) -> None:
        """Start with no running requests."""
        self._capacity = capacity
        self._fractions_by_target: dict[str, dict[str, float]] = {}
        self._used_by_pool: dict[str, float] = {}
        self._limit_by_pool: dict[str, float] = {}

    # Commands.

    def apply_configuration(self, configuration: Configuration) -> None:
        """Set which pools each target uses."""
        self._fractions_by_target = {}
        for pool in configuration.pools_by_name:
            self._fractions_by_target[pool] = {pool: 1.0}
        for name, pipeline in configuration.pipelines_by_name.items():
            self._fractions_by_target[name] = _find_pool_fractions(pipeline)

    def refresh(self, share: float) -> None:
        """Update the limits; ``share`` is this entry's fraction of capacity."""
        pools: set[str] = set()
        for fractions in self._fractions_by_target.values():
            pools.update(fractions)
        self._limit_by_pool = {}
        for pool in pools:
            capacity = self._capacity.find_capacity(pool)
            if capacity is None:
                continue
            # At least 1: with no usable upstream, routing fails each request
            # with the reason.
            self._limit_by_pool[pool] = max(
                1, capacity * share * defaults.CAPACITY_FACTOR
            )

    def start(self, target: str) -> dict[str, float]:
        """Count a started request; return the argument for ``end``."""
        fractions_by_pool = self._find_fractions(target)
        for pool, fraction in fractions_by_pool.items():
            self._used_by_pool[pool] = (
                self._used_by_pool.get(pool, 0) + fraction
            )
        return fractions_by_pool

    def end(self, fractions_by_pool: dict[str, float]) -> None:
        """Count the end of a request that used these fractions of pools."""
        for pool, fraction in fractions_by_pool.items():
            self._used_by_pool[pool] -= fraction

    # Queries.

    def has_capacity(self, target: str) -> bool:
        """Return whether one more request of the target may run now."""
        for pool, fraction in self._find_fractions(target).items():
            limit = self._limit_by_pool.get(pool)
            if limit is None:
                continue
            if (
                self._used_by_pool.get(pool, 0) + fraction
                > limit + fraction / 2
            ):
                return False
        return True

    def find_limit(self, pool: str) -> float | None:
        """Return the concurrent calls that a pool sustains for this entry.

        None if the capacity of the pool is unknown.
        """
        return self._limit_by_pool.get(pool)

    def fractions_of(self, target: str) -> dict[str, float]:
        """Return the fraction of a request's service by pool, for a target."""
        return self._find_fractions(target)

    def dump(self) -> dict[str, object]:
        """Return the used capacity and the limit of each pool."""
        dumped: dict[str, object] = {}
        for pool, used in self._used_by_pool.items():
            limit = self._limit_by_pool.get(pool)
            dumped[pool] = {
                'used': round(used, 2),
                'limit': None if limit is None else round(limit, 2),
            }
        return dumped

    def _find_fractions(self, target: str) -> dict[str, float]:
        return self._fractions_by_target.get(target, {})


@final
class CapacityShare:
    """Keeps the limiter at this entry's share of the pools' capacity."""

    def __init__(
        self, pool_limiter: PoolLimiter, own_name: str, demand: DemandSource
    ) -> None:
        """Divide the capacity by the outstanding requests of each entry.

        Unlike a client account's limit, the capacity may be exceeded for a
        moment, so shares follow the demand without a ``ShareStabilizer``.
        """
        self._pool_limiter = pool_limiter
        self._own_name = own_name
        self._demand = demand
        self._refreshed_at = float('-inf')

    def reset(self) -> None:
        """Make the next ``refresh`` compute the share."""
        self._refreshed_at = float('-inf')

    def refresh(self, own_outstanding: int, now: float) -> None:
        """Update the share if the last one is too old.

        ``own_outstanding`` is the number of requests that run or wait at this
        entry.
        """
        if now - self._refreshed_at < defaults.SHARE_REFRESH_S:
            return
        self._refreshed_at = now
        share = compute_share(
            self._own_name,
            own_outstanding,
            self._demand.entry_names(now),
            self._demand.peer_outstanding(),
            'capacity',
        )
        self._pool_limiter.refresh(share.fraction)


def _find_pool_fractions(pipeline: Pipeline) -> dict[str, float]:
    fractions: dict[str, float] = {}
    for stage in pipeline.stages:
        fractions[stage.pool] = fractions.get(stage.pool, 0) + 1 / len(
            pipeline.stages
        )
    return fractions
