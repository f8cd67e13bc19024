"""Which upstreams exist and which of them may get new work.

The directory merges the platform's lagging list, leave marks, zones of the
configuration and zone marks heard from peers. All marks only remove
choices, so they apply on arrival; a mark is lifted only by something newer
than itself: a higher incarnation or a higher configuration version.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.platform.base import Presence
from damaskpoint.routing.base import Upstream

if TYPE_CHECKING:
    from collections.abc import Sequence

    from damaskpoint.config.model import Configuration, Pool
    from damaskpoint.platform.base import ListedInstance

ENTRY_POOL = 'entry'
# An upstream that the list no longer shows gets no new work after this.
VANISHED_BOUND_S = 3.0
# Marks and upstreams that the list no longer shows are kept this long.
KEEP_S = 3_600.0


@final
@dataclass(slots=True)
class _Record:
    """What is known of one upstream."""

    upstream: Upstream
    # Monotonic time from which the list did not show it; None if it did.
    vanished_at: float | None = None


@final
@dataclass(frozen=True, slots=True)
class LeaveMark:
    """An upstream leaves, up to and including this incarnation."""

    incarnation: int
    heard_at: float


@final
@dataclass(frozen=True, slots=True)
class ZoneMark:
    """A zone's state as of one configuration version."""

    version: int
    is_out: bool


@final
class UpstreamDirectory:
    """The upstreams, and whether each may get new work."""

    def __init__(self) -> None:
        """Start with no upstreams and no configuration."""
        self._records_by_name: dict[str, _Record] = {}
        self._names_by_pool: dict[str, set[str]] = {}
        # The marks are read for gossip and changed only here.
        self.leave_marks_by_name: dict[str, LeaveMark] = {}
        self.zone_marks_by_name: dict[str, ZoneMark] = {}
        self._pools_by_name: dict[str, Pool] = {}
        self._version = 0
        self._names_changed: set[str] = set()

    # Commands.

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> None:
        """Take zones and pools from a configuration; older ones are ignored."""
        if configuration.version < self._version:
            return
        self._version = configuration.version
        self._pools_by_name = dict(configuration.pools_by_name)
        for zone in configuration.zones_by_name.values():
            self.apply_zone_mark(
                zone.name,
                ZoneMark(configuration.version, is_out=zone.is_out),
                now,
            )
        self._names_changed.update(self._records_by_name)

    def apply_zone_mark(self, zone: str, mark: ZoneMark, now: float) -> None:
        """Take a zone's state; a mark of an older version is ignored."""
        held = self.zone_marks_by_name.get(zone)
        if held is not None and held.version > mark.version:
            return
        self.zone_marks_by_name[zone] = mark
        if held is not None and held.is_out == mark.is_out:
            return
        for name, record in self._records_by_name.items():
            if record.upstream.zone == zone:
                self._names_changed.add(name)

    def mark_leaving(self, name: str, incarnation: int, now: float) -> None:
        """Mark an upstream as leaving, up to this incarnation."""
        held = self.leave_marks_by_name.get(name)
        if held is not None and held.incarnation >= incarnation:
            return
        self.leave_marks_by_name[name] = LeaveMark(incarnation, now)
        self._names_changed.add(name)

    def apply_list(
        self, instances: Sequence[ListedInstance], now: float
    ) -> None:
        """Merge the platform's list; late lines change nothing back."""
        listed: set[str] = set()
        for instance in instances:
            if instance.pool == ENTRY_POOL:
                continue
            listed.add(instance.name)
            if instance.presence is Presence.LEAVING:
                self.mark_leaving(instance.name, instance.incarnation, now)
            self._merge_line(instance)
        self._note_vanished(listed, now)

    def take_changed(self) -> frozenset[str]:
        """Return the names that changed since the last call."""
        changed = frozenset(self._names_changed)
        self._names_changed.clear()
        return changed

    # Queries.

    @property
    def upstreams_by_name(self) -> dict[str, Upstream]:
        """Return all known upstreams, those without new work included."""
        return {
            name: record.upstream
            for name, record in self._records_by_name.items()
        }

    def find(self, name: str) -> Upstream | None:
        """Return an upstream, or None if it is not known."""
        record = self._records_by_name.get(name)
        return None if record is None else record.upstream

    def find_pool(self, name: str) -> Pool | None:
        """Return a pool of the configuration, or None."""
        return self._pools_by_name.get(name)

    def names_of_pool(self, pool: str) -> frozenset[str]:
        """Return the names of a pool's known upstreams."""
        return frozenset(self._names_by_pool.get(pool, ()))

    def is_leaving(self, name: str) -> bool:
        """Return whether an upstream is marked as leaving."""
        record = self._records_by_name.get(name)
        mark = self.leave_marks_by_name.get(name)
        if record is None or mark is None:
            return False
        return mark.incarnation >= record.upstream.incarnation

    def is_zone_out(self, zone: str) -> bool:
        """Return whether a zone gets no new work."""
        mark = self.zone_marks_by_name.get(zone)
        return mark is not None and mark.is_out

    def is_open(self, name: str, now: float) -> bool:
        """Return whether an upstream may get new work."""
        record = self._records_by_name.get(name)
        if record is None or self.is_leaving(name):
            return False
        if record.upstream.pool not in self._pools_by_name:
            return False
        if self.is_zone_out(record.upstream.zone):
            return False
        if record.vanished_at is None:
            return True
        return now - record.vanished_at < VANISHED_BOUND_S

    def find_closing(self, name: str) -> float | None:
        """Return when a vanished upstream stops to get work, or None."""
        record = self._records_by_name.get(name)
        if record is None or record.vanished_at is None:
            return None
        return record.vanished_at + VANISHED_BOUND_S

    # Steps of the commands.

    def _merge_line(self, instance: ListedInstance) -> None:
        name = instance.name
        record = self._records_by_name.get(name)
        upstream = Upstream(
            name,
            instance.pool,
            instance.zone,
            instance.host,
            instance.port,
            instance.incarnation,
        )
        if record is None:
            self._records_by_name[name] = _Record(upstream)
            self._names_by_pool.setdefault(instance.pool, set()).add(name)
            self._names_changed.add(name)
            return
        if instance.incarnation < record.upstream.incarnation:
            return
        if record.vanished_at is not None:
            record.vanished_at = None
            self._names_changed.add(name)
        if record.upstream == upstream:
            return
        self._names_by_pool[record.upstream.pool].discard(name)
        self._names_by_pool.setdefault(instance.pool, set()).add(name)
        record.upstream = upstream
        self._names_changed.add(name)

    def _note_vanished(self, listed: set[str], now: float) -> None:
        forgotten = []
        for name, record in self._records_by_name.items():
            if name in listed:
                continue
            if record.vanished_at is None:
                record.vanished_at = now
                self._names_changed.add(name)
                continue
            if now - record.vanished_at > KEEP_S:
                forgotten.append(name)
        for gone in forgotten:
            pool = self._records_by_name.pop(gone).upstream.pool
            self._names_by_pool[pool].discard(gone)
            self.leave_marks_by_name.pop(gone, None)
            self._names_changed.add(gone)
