"""Splits the runners of a stage service into groups that share a queue."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint.balancing import rendezvous
from damaskpoint.batching.instance_rates import compute_runner_rate
from damaskpoint.batching.placement import find_service_name

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.catalog.catalog import Catalog
    from damaskpoint.catalog.model import Runner
    from damaskpoint.rollout.gate import VersionGate

    # The usable runners of a service, and the same by the name of their group.
    _Grouping = tuple[tuple[Runner, ...], Mapping[str, Sequence[Runner]]]

# Runners per group: enough that one becomes free soon, and few enough that
# the work of batching spreads over the instances. Hashing makes groups of
# unequal size, and pieces wait longer at the small ones, so a service of up to
# this many runners is one group.
_RUNNERS_PER_GROUP: Final = 12
_GROUP_SEPARATOR: Final = '#'


@final
class RunnerGroups:
    """The groups of the usable runners of all services."""

    def __init__(self, catalog: Catalog, versions: VersionGate) -> None:
        """Group the runners of this catalog; a group has one version."""
        self._catalog = catalog
        self._versions = versions
        self._groupings_by_service: dict[str, _Grouping] = {}

    def choose(self, service: str, request_id: str, now: float) -> str:
        """Return a group for a request, weighted by the groups' sizes."""
        usable = self._catalog.runners.usable(service)
        selected = self._versions.select_stage(service, usable, now)
        sizes_by_group = self._count_sizes(service, selected)
        if not sizes_by_group:
            return f'{service}{_GROUP_SEPARATOR}0'
        if len(sizes_by_group) == 1:
            return next(iter(sizes_by_group))
        return rendezvous.order_weighted(sizes_by_group, request_id)[0]

    def find_name(self, runner: Runner) -> str:
        """Return the name of a runner's group."""
        prefix = self._versions.group_prefix(runner.version)
        count = self._versions.count_alike(
            runner, self._catalog.runners.usable(runner.service)
        )
        groups = max(1, math.ceil(count / _RUNNERS_PER_GROUP))
        number = xxhash.xxh32_intdigest(runner.name.encode()) % groups
        return f'{runner.service}{_GROUP_SEPARATOR}{prefix}{number}'

    def find_runners(self, group: str, now: float) -> Sequence[Runner]:
        """Return the usable runners of a group."""
        service = find_service_name(group)
        found = self._list_groups(service).get(group, ())
        usable = self._catalog.runners.usable(service)
        return self._versions.filter_group(found, usable, now)

    def find_total_rate(self) -> float:
        """Return the pieces per second that all runners make in full calls."""
        total = float(0)
        for service in self._catalog.list_services():
            if service.batches is not None:
                runners = len(self._catalog.runners.usable(service.name))
                total += runners * compute_runner_rate(service.batches)
        return total

    def _count_sizes(
        self, service: str, selected: Sequence[Runner]
    ) -> dict[str, float]:
        """Return the number of the selected runners in each group."""
        names = frozenset(runner.name for runner in selected)
        sizes_by_group: dict[str, float] = {}
        for group, runners in self._list_groups(service).items():
            size = sum(runner.name in names for runner in runners)
            if size:
                sizes_by_group[group] = float(size)
        return sizes_by_group

    def _list_groups(self, service: str) -> Mapping[str, Sequence[Runner]]:
        """Return the runners of each group of a service.

        They are grouped again only when the table of runners has changed,
        since each piece looks them up several times.
        """
        usable = self._catalog.runners.usable(service)
        cached = self._groupings_by_service.get(service)
        if cached is not None and cached[0] is usable:
            return cached[1]
        runners_by_group: dict[str, list[Runner]] = {}
        for runner in usable:
            runners_by_group.setdefault(self.find_name(runner), []).append(
                runner
            )
        self._groupings_by_service[service] = (usable, runners_by_group)
        return runners_by_group
