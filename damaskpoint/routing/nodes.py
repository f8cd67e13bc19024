"""The state of each upstream, and the upstreams of each pool by placement.

Every event updates the placement of its own upstream only, so that a choice
does not have to search the pool.
"""

from __future__ import annotations

import bisect
import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

import xxhash

from damaskpoint import defaults
from damaskpoint.routing.breaker import Breaker
from damaskpoint.routing.loads import UpstreamLoad
from damaskpoint.routing.sampled import SampledSet

if TYPE_CHECKING:
    from damaskpoint.config.model import Pool
    from damaskpoint.routing.base import RouteQuery, Upstream

# Upstreams among which the preferred one of a prefix is determined.
AFFINITY_WINDOW: Final = 16


@final
class Placement(enum.Enum):
    """Which calls an upstream can take now."""

    # Leaving, vanished, in a zone that is out or in an unknown pool.
    CLOSED = 'closed'
    BREAKER_OPEN = 'breaker_open'
    FULL = 'full'
    # Cold, and this entry has no free permit for it.
    COLD = 'cold'
    # Cold, and this entry has a free permit for it.
    PERMITTED = 'permitted'
    READY = 'ready'


@final
@dataclass(slots=True)
class Node:
    """The routing state of one upstream; times are monotonic seconds."""

    upstream: Upstream
    load: UpstreamLoad = field(default_factory=UpstreamLoad)
    breaker: Breaker = field(default_factory=Breaker)
    placement: Placement = Placement.CLOSED
    # Calls in flight that the total of the pool includes for this upstream.
    counted_in_flight: int = 0
    last_cold_at: float = float('-inf')
    # When a cold upstream may take a call of this entry; infinite if no such
    # time is known.
    available_at: float = float('inf')
    # When the node has to be refreshed; infinite if never.
    timer_at: float = float('inf')

    def has_model(self, query: RouteQuery) -> bool:
        """Return whether the model is loaded; true if unknown."""
        report = self.load.report
        if not query.model or report is None or report.models is None:
            return True
        return query.model in report.models

    def estimate_wait(self, limit: int, now: float) -> float:
        """Return the expected wait of one more call, in seconds."""
        service_s = self.load.service_s or defaults.INITIAL_SERVICE_TIME_S
        in_flight = self.load.own_in_flight + self.load.estimate_others(now)
        return service_s * (in_flight + 1) / max(1, limit)


class PoolState:
    """The state of one pool, with its upstreams by placement."""

    def __init__(self, pool: Pool) -> None:
        """Start with no upstreams."""
        self.pool = pool
        self.nodes_by_name: dict[str, Node] = {}
        self.ready_by_zone: dict[str, SampledSet] = {}
        self.names_by_placement: dict[Placement, SampledSet] = {
            placement: SampledSet() for placement in Placement
        }
        # Estimated calls in flight in all upstreams, from all entries.
        self.total_in_flight = 0
        # Calls in flight of this entry alone.
        self.own_in_flight = 0
        self.last_demand_at = float('-inf')
        # EWMA of the service time, and its median over upstreams (seconds).
        self.service_s: float = 0
        self.median_s: float = 0
        self.median_at = float('-inf')
        self.outliers = 0
        self._ring: list[tuple[int, str]] = []

    @property
    def ready(self) -> SampledSet:
        """Return the upstreams that are warm and have capacity."""
        return self.names_by_placement[Placement.READY]

    @property
    def permitted(self) -> SampledSet:
        """Return the cold upstreams with a free permit."""
        return self.names_by_placement[Placement.PERMITTED]

    @property
    def cold(self) -> SampledSet:
        """Return the cold upstreams without a free permit."""
        return self.names_by_placement[Placement.COLD]

    @property
    def open_count(self) -> int:
        """Return the number of upstreams that may get new work."""
        closed = self.names_by_placement[Placement.CLOSED]
        return len(self.nodes_by_name) - len(closed)

    def add(self, node: Node) -> None:
        """Add an upstream as closed."""
        name = node.upstream.name
        self.nodes_by_name[name] = node
        self.names_by_placement[Placement.CLOSED].add(name)

    def remove(self, name: str) -> None:
        """Remove an upstream."""
        node = self.nodes_by_name[name]
        self.place(node, Placement.CLOSED)
        self.names_by_placement[Placement.CLOSED].discard(name)
        self.set_in_flight(node, 0)
        self.nodes_by_name.pop(name)

    def place(self, node: Node, placement: Placement) -> None:
        """Change the placement of an upstream."""
        before = node.placement
        if before is placement:
            return
        name = node.upstream.name
        self.names_by_placement[before].discard(name)
        self.names_by_placement[placement].add(name)
        node.placement = placement
        zone = node.upstream.zone
        if before is Placement.READY:
            self.ready_by_zone[zone].discard(name)
        if placement is Placement.READY:
            self.ready_by_zone.setdefault(zone, SampledSet()).add(name)
        if before is Placement.CLOSED:
            bisect.insort(self._ring, _ring_position(name))
        if placement is Placement.CLOSED:
            self._ring.pop(bisect.bisect_left(self._ring, _ring_position(name)))

    def add_service_time(self, duration_s: float) -> None:
        """Add a measured service time to the average."""
        if not self.service_s:
            self.service_s = duration_s
            return
        change = duration_s - self.service_s
        self.service_s += change * defaults.SERVICE_TIME_WEIGHT

    def set_in_flight(self, node: Node, in_flight: int) -> None:
        """Set the calls in flight that an upstream adds to the pool's total."""
        self.total_in_flight += in_flight - node.counted_in_flight
        node.counted_in_flight = in_flight

    def rank_by_prefix(self, prefix: bytes) -> list[str]:
        """Return the upstreams of a prefix, the preferred one first.

        Uses rendezvous hashing within a window of a hash ring: all upstreams
        of a small pool, a fixed number of a large one.
        """
        if not self._ring:
            return []
        seed = xxhash.xxh64_intdigest(prefix)
        start = bisect.bisect_left(self._ring, (seed, ''))
        width = min(AFFINITY_WINDOW, len(self._ring))
        scored = []
        for step in range(width):
            name = self._ring[(start + step) % len(self._ring)][1]
            scored.append((xxhash.xxh64_intdigest(name.encode(), seed), name))
        scored.sort(reverse=True)
        return [name for _, name in scored]


def _ring_position(name: str) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(name.encode()), name)
