"""What rollouts need to know of the instances, the runners and the routes."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpoint.batching.base import Peers
    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import Route, Runner
    from damaskpoint.membership.service import Membership
    from damaskpoint.rollout.book import RolloutBook

# Longest time for which results of stage calls are taken to be needed
# (seconds).
_MAX_HOLD_S: Final = 3.0


@final
@dataclass(frozen=True, slots=True)
class Usage:
    """How the configured routes use a service."""

    # Number of routes whose requests reach it; at least 1.
    routes: int
    # Longest timeout of these routes (seconds).
    timeout_s: float
    # How long results of its calls are needed; 0 if it is no stage (seconds).
    hold_s: float


class Fleet(abc.ABC):
    """The instances, the runners and the routes; times are monotonic."""

    own_name: str

    @property
    @abc.abstractmethod
    def gossip_s(self) -> float:
        """Return the time in which each instance hears of each other."""

    @abc.abstractmethod
    def unended_names(self) -> frozenset[str]:
        """Return the other instances that may be running."""

    @abc.abstractmethod
    def is_live(self, name: str, now: float) -> bool:
        """Return whether another instance is live."""

    @abc.abstractmethod
    def candidate_names(self, now: float) -> frozenset[str]:
        """Return the instances that may store a change, with this one."""

    @abc.abstractmethod
    def count_instances(self) -> int | None:
        """Return the most instances that may run; None if unknown."""

    @abc.abstractmethod
    def count_runners(self, service: str, version: str) -> int:
        """Return the number of usable runners of a version."""

    @abc.abstractmethod
    def has_mixed_versions(self) -> bool:
        """Return whether a service has runners of several versions."""

    @abc.abstractmethod
    def update_versions(self, book: RolloutBook) -> None:
        """Apply the known runners of all services."""

    @abc.abstractmethod
    def find_usage(self, service: str) -> Usage:
        """Return how the routes use a service."""


@final
class GatewayFleet(Fleet):
    """The fleet as a gateway knows it."""

    def __init__(
        self,
        own_name: str,
        membership: Membership,
        peers: Peers,
        catalog: Catalog,
    ) -> None:
        """Read from these."""
        self.own_name = own_name
        self._membership = membership
        self._peers = peers
        self._catalog = catalog
        self._is_mixed = False

    @property
    def gossip_s(self) -> float:
        """Return the time in which each instance hears of each other."""
        return self._membership.cycle_s

    def unended_names(self) -> frozenset[str]:
        """Return the other instances that may be running."""
        membership = self._membership
        listed = frozenset(membership.listed_by_name)
        return membership.view.peers.unended_names(listed)

    def is_live(self, name: str, now: float) -> bool:
        """Return whether another instance is live."""
        return self._membership.view.peers.find_live(name, now) is not None

    def candidate_names(self, now: float) -> frozenset[str]:
        """Return the instances that may store a change, with this one."""
        return self._peers.batching_names(now) | {self.own_name}

    def count_instances(self) -> int | None:
        """Return the most instances that may run; None if unknown."""
        if not self._membership.has_list:
            return None
        return len(self.unended_names()) + 1

    def count_runners(self, service: str, version: str) -> int:
        """Return the number of usable runners of a version."""
        return sum(
            runner.version == version
            for runner in self._catalog.runners.usable(service)
        )

    def has_mixed_versions(self) -> bool:
        """Return whether a service had runners of several versions.

        As of the last update of the versions.
        """
        return self._is_mixed

    def update_versions(self, book: RolloutBook) -> None:
        """Apply the known runners of all services."""
        runners_by_service: dict[str, list[Runner]] = {}
        for runner in self._catalog.runners.known():
            runners_by_service.setdefault(runner.service, []).append(runner)
        self._is_mixed = any(
            map(_has_several_versions, runners_by_service.values())
        )
        for service, runners in runners_by_service.items():
            book.versions.update(service, runners, book.find_tested(service))

    def find_usage(self, service: str) -> Usage:
        """Return how the routes use a service."""
        configuration = self._catalog.configuration
        routes: list[Route] = []
        if configuration is not None:
            for found in configuration.routes_by_host.values():
                routes.extend(found)
        return compute_usage(service, routes)


def _has_several_versions(runners: Iterable[Runner]) -> bool:
    return len({runner.version for runner in runners}) > 1


def compute_usage(service: str, routes: Iterable[Route]) -> Usage:
    """Return how routes use a service."""
    count = 0
    timeout_s = float(0)
    hold_s = float(0)
    for route in routes:
        is_target = any(item.service == service for item in route.targets)
        is_stage = any(item.service == service for item in route.stages)
        if not is_target and not is_stage:
            continue
        count += int(is_target)
        timeout_s = max(timeout_s, route.timeout_s)
        if is_stage:
            hold_s = max(hold_s, min(_MAX_HOLD_S, route.objective_s))
    return Usage(max(1, count), timeout_s, hold_s)
