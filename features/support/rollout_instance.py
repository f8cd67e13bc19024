"""An instance of a simulated rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from damaskpoint.membership.facts import PeerFact, Phase
from damaskpoint.rollout.components import create_rollouts
from damaskpoint.rollout.fleet import Fleet, Usage, compute_usage
from damaskpoint.rollout.gate import VersionGate
from damaskpoint.rollout.model import RolloutBounds
from features.support.rollout_parts import NEW, ROUTES, SERVICE

if TYPE_CHECKING:
    from damaskpoint.rollout.book import RolloutBook
    from features.support.rollout_fleet import RolloutWorld

BOUNDS: Final = RolloutBounds(0.1, 50, 5)
_PEER_TIMEOUT_S: Final = 1.0


class SimulatedInstance(Fleet):
    """One start of an instance."""

    def __init__(self, world: RolloutWorld, number: int, start: int) -> None:
        """Start; knows the runners at once."""
        self.world = world
        self.number = number
        self.start = start
        self.own_name = f'i-{number}'
        self.beats = 0
        self.seen_at_by_name: dict[str, float] = {}
        self.is_running = True
        self.frozen_until = float(0)
        self.gate = VersionGate(self.own_name, BOUNDS, lambda *_: False)
        store: Any = world.store
        self.rollouts = create_rollouts(store, self.gate, self, world.now)
        self.read_version = -1
        self.read_era = world.store.era
        self.read_at = float('-inf')

    @property
    def gossip_s(self) -> float:
        """Return the interval of the simulated rounds."""
        return 0.15

    def create_fact(self) -> PeerFact:
        """Return what others learn of this instance."""
        return PeerFact(
            self.own_name,
            'zone-1',
            '127.0.0.1',
            1,
            self.start,
            self.beats,
            Phase.SERVING,
        )

    def unended_names(self) -> frozenset[str]:
        """Return all others."""
        others = {item.own_name for item in self.world.instances}
        return frozenset(others - {self.own_name})

    def is_live(self, name: str, now: float) -> bool:
        """Return whether another one was heard of just now."""
        seen_at = self.seen_at_by_name.get(name, float('-inf'))
        return now - seen_at < _PEER_TIMEOUT_S

    def candidate_names(self, now: float) -> frozenset[str]:
        """Return the live instances."""
        live = {
            name for name in self.unended_names() if self.is_live(name, now)
        }
        return frozenset(live | {self.own_name})

    def count_instances(self) -> int | None:
        """Return the number of all."""
        return len(self.world.instances)

    def count_runners(self, service: str, version: str) -> int:
        """Return the runners of a version."""
        return len(self.world.list_usable(version))

    def has_mixed_versions(self) -> bool:
        """Return whether there are new runners."""
        return bool(self.world.list_usable(NEW))

    def update_versions(self, book: RolloutBook) -> None:
        """Apply the known runners."""
        known = [item.entry for item in self.world.list_known()]
        book.versions.update(SERVICE, known, book.find_tested(SERVICE))

    def find_usage(self, service: str) -> Usage:
        """Return how the routes use the service."""
        return compute_usage(service, [route for route, _ in ROUTES])
