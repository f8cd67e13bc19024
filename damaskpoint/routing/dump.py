"""The routing section of the state dump, bounded in size."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final, final

from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from damaskpoint.routing.core import RoutingCore
    from damaskpoint.routing.directory import UpstreamDirectory
    from damaskpoint.routing.nodes import Node, PoolState
    from damaskpoint.routing.warmth import WarmthTracker

# Maximum number of upstreams per pool, of leases and of leave marks shown.
_MAX_SHOWN: Final = 200


@final
class RoutingDump(StateSource):
    """Dumps pools, upstreams, leases and marks."""

    def __init__(
        self,
        core: RoutingCore,
        directory: UpstreamDirectory,
        warmth: WarmthTracker,
    ) -> None:
        """Dump the state of these objects."""
        self._core = core
        self._directory = directory
        self._warmth = warmth

    def dump_state(self, now: float) -> dict[str, object]:
        """Return plain JSON data; ages are in seconds."""
        pools: dict[str, object] = {}
        for name, pool_state in self._core.fleet.states_by_pool.items():
            pools[name] = self._dump_pool(pool_state, now)
        return {
            'pools': pools,
            'leases': self._dump_leases(now),
            'marks': self._dump_marks(),
        }

    def _dump_pool(
        self, pool_state: PoolState, now: float
    ) -> dict[str, object]:
        counts: dict[str, int] = {}
        for placement, names in pool_state.names_by_placement.items():
            counts[placement.value] = len(names)
        upstreams: dict[str, object] = {}
        nodes = pool_state.nodes_by_name.items()
        for name, node in itertools.islice(nodes, _MAX_SHOWN):
            upstreams[name] = self._dump_node(node, now)
        return {
            'waiting': self._core.waiting.count_waiting(pool_state.pool.name),
            'own_in_flight': pool_state.own_in_flight,
            'estimated_in_flight': pool_state.total_in_flight,
            'service_s': pool_state.service_s,
            'median_s': pool_state.median_s,
            'upstreams_by_placement': counts,
            'upstreams': upstreams,
            'not_shown': max(0, len(pool_state.nodes_by_name) - _MAX_SHOWN),
        }

    def _dump_node(self, node: Node, now: float) -> dict[str, object]:
        name = node.upstream.name
        load = node.load
        shown: dict[str, object] = {
            'placement': node.placement.value,
            'zone': node.upstream.zone,
            'incarnation': node.upstream.incarnation,
            'is_leaving': self._directory.is_leaving(name),
            'own_in_flight': load.own_in_flight,
            'peers_in_flight': load.peers_in_flight,
            'service_s': load.service_s,
            'is_outlier': load.is_outlier,
            'breaker': node.breaker.state.value,
            'is_warm': self._warmth.is_warm(name, now),
            'answered_incarnation': self._warmth.find_incarnation(name),
        }
        if not shown['is_warm']:
            shown['unproven'] = self._warmth.find_reason(name).value
        if load.report is not None:
            shown['report_in_flight'] = load.report.in_flight
            shown['report_age_s'] = now - load.reported_at
        return shown

    def _dump_leases(self, now: float) -> dict[str, object]:
        shown: dict[str, object] = {}
        leases = self._core.permits.leases_by_name.items()
        for name, lease in itertools.islice(leases, _MAX_SHOWN):
            shown[name] = {
                'state': lease.state.value,
                'fencing': lease.fencing,
                'left_s': max(0, lease.deadline - now),
                'others_inside': lease.uncounted.find_bound(),
            }
        return shown

    def _dump_marks(self) -> dict[str, object]:
        leaving: dict[str, int] = {}
        marks = self._directory.leave_marks_by_name.items()
        for name, mark in itertools.islice(marks, _MAX_SHOWN):
            leaving[name] = mark.incarnation
        zones_out = []
        for zone, zone_mark in self._directory.zone_marks_by_name.items():
            if zone_mark.is_out:
                zones_out.append(zone)
        return {'leaving': leaving, 'zones_out': zones_out}


def create_dump(
    core: RoutingCore, directory: UpstreamDirectory, warmth: WarmthTracker
) -> RoutingDump:
    """Return the state source for routing."""
    return RoutingDump(core, directory, warmth)
