"""The store, the runners and the routes of a simulated rollout."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from damaskpoint.catalog.model import RequestKind, Route, Runner, Target
from damaskpoint.errors import Code, Failure
from damaskpoint.platform.store import ChangeConflict, Rows, StoredRow

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from damaskpoint.platform.store import RowChange

SERVICE: Final = 'plain'
OLD: Final = 'v1'
NEW: Final = 'v2'
_CLOCK_OFFSET_S: Final = 5_000.0
_ZONES: Final = ('zone-1', 'zone-2')


def _create_route(name: str, kind: RequestKind) -> Route:
    return Route(
        name=name,
        host='host-1',
        prefix=f'/{name}',
        kind=kind,
        timeout_s=8,
        objective_s=1,
        priority=0,
        targets=(Target(SERVICE, 1),),
        max_attempts=2,
    )


ROUTES: Final = (
    (_create_route('quick', RequestKind.SAFE), 0.05),
    (_create_route('long', RequestKind.UNSAFE), 0.4),
    (_create_route('medium', RequestKind.SAFE), 0.15),
)


@dataclass(slots=True)
class SimulatedRunner:
    """A runner and its requests."""

    entry: Runner
    in_flight: int = 0
    down_until: float = 0


@dataclass(slots=True)
class VersionFault:
    """How the new version is bad; by default it is good."""

    share: float = 0
    # 'fails', 'breaks' or 'is slow'.
    how: str = 'fails'
    from_s: float = 0
    route: str = ''
    # Requests in flight at the runner from which on it is bad.
    load: int = 0

    def strikes(
        self, rng: random.Random, age_s: float, route: str, in_flight: int
    ) -> bool:
        """Return whether a request meets the fault."""
        if not self.share or age_s < self.from_s or in_flight < self.load:
            return False
        return self.route in {'', route} and rng.random() < self.share


class SimulatedStore:
    """Two tables; its clock is ``now`` plus an offset."""

    def __init__(self) -> None:
        """Start empty."""
        self.era = 0
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.is_down = False

    async def change(
        self, changes: Sequence[RowChange]
    ) -> int | ChangeConflict | Failure:
        """Change all rows or none."""
        if self.is_down:
            return Failure(Code.PLATFORM_UNAVAILABLE, 'down')
        for change in changes:
            key = (change.table, change.key)
            version = self.rows.get(key, (b'', 0))[1]
            if change.expected_version not in {None, version}:
                return ChangeConflict({key: version})
        for change in changes:
            self.put(change.table, change.key, change.content or b'')
        return self.version

    def restore(self, rows: dict[tuple[str, str], tuple[bytes, int]]) -> None:
        """Lose all changes since a copy of the rows was made."""
        self.rows = dict(rows)
        self.era += 1
        self.version -= 1

    def put(self, table: str, key: str, content: bytes) -> None:
        """Write a row."""
        self.version += 1
        self.rows[(table, key)] = (content, self.version)

    def read(self, table: str, now: float) -> Rows:
        """Return all rows of a table."""
        found = [
            StoredRow(key, content, version)
            for (name, key), (content, version) in self.rows.items()
            if name == table
        ]
        return Rows(
            tuple(found), self.version, self.era, now_s=now + _CLOCK_OFFSET_S
        )


def create_runner(version: str, number: int) -> SimulatedRunner:
    """Return a runner of a version; zones alternate."""
    return SimulatedRunner(
        Runner(
            name=f'{version}-{number}',
            service=SERVICE,
            host='127.0.0.1',
            port=1,
            zone=_ZONES[number % len(_ZONES)],
            slots=4,
            is_draining=False,
            cold_left_s=0,
            started_ms=1 if version == OLD else 2,
            version=version,
        )
    )
