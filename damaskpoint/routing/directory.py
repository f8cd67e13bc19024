"""The known upstreams, and which of them may get new work.

The directory merges the platform's list, which lags, the leave marks, the
zones of the configuration and the zone marks received from peers. A mark can
only exclude upstreams, so it applies on arrival. Only a newer fact removes a
mark: a higher incarnation or a higher configuration version.
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
# Seconds after which an upstream missing from the list gets no new work.
VANISHED_GRACE_S = 3.0
# Seconds for which an upstream missing from the list is kept, with its mark.
RETENTION_S = 3_600.0


@final
@dataclass(slots=True)
class _Record:
    """The listed state of one upstream."""

    upstream: Upstream
    # Monotonic time since which the list lacks it; None while it is listed.
    vanished_at: float | None = None


@final
@dataclass(frozen=True, slots=True)
class LeaveMark:
    """The upstream is leaving, up to and including this incarnation."""

    incarnation: int
    received_at: float


@final
@dataclass(frozen=True, slots=True)
class ZoneMark:
    """The state of a zone in one configuration version."""

    version: int
    is_out: bool


@final
class UpstreamDirectory:
    """Tracks the upstreams and whether each may get new work."""

    def __init__(self) -> None:
        """Start with no upstreams and no configuration."""
        self._records_by_name: dict[str, _Record] = {}
        self._names_by_pool: dict[str, set[str]] = {}
        # Gossip reads the marks; only this class changes them.
        self.leave_marks_by_name: dict[str, LeaveMark] = {}
        self.zone_marks_by_name: dict[str, ZoneMark] = {}
        self._pools_by_name: dict[str, Pool] = {}
        self._version = 0
        self._changed_names: set[str] = set()

    # Commands.

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> None:
        """Apply zones and pools of a configuration; ignore an older one."""
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
        self._changed_names.update(self._records_by_name)

    def apply_zone_mark(self, zone: str, mark: ZoneMark, now: float) -> None:
        """Apply the state of a zone; ignore a mark of an older version."""
        known = self.zone_marks_by_name.get(zone)
        if known is not None and known.version > mark.version:
            return
        self.zone_marks_by_name[zone] = mark
        if known is not None and known.is_out == mark.is_out:
            return
        for name, record in self._records_by_name.items():
            if record.upstream.zone == zone:
                self._changed_names.add(name)

    def mark_leaving(self, name: str, incarnation: int, now: float) -> None:
        """Mark an upstream as leaving, up to this incarnation."""
        known = self.leave_marks_by_name.get(name)
        if known is not None and known.incarnation >= incarnation:
            return
        self.leave_marks_by_name[name] = LeaveMark(incarnation, now)
        self._changed_names.add(name)

    def apply_list(
        self, instances: Sequence[ListedInstance], now: float
    ) -> None:
        """Merge the platform's list; ignore lines of older incarnations."""
        listed: set[str] = set()
        for instance in instances:
            if instance.pool == ENTRY_POOL:
                continue
            listed.add(instance.name)
            if instance.presence is Presence.LEAVING:
                self.mark_leaving(instance.name, instance.incarnation, now)
            self._merge_instance(instance)
        self._record_vanished(listed, now)

    def take_changed(self) -> frozenset[str]:
        """Return the names that changed since the last call."""
        changed = frozenset(self._changed_names)
        self._changed_names.clear()
        return changed

    # Queries.

    @property
    def upstreams_by_name(self) -> dict[str, Upstream]:
        """Return all known upstreams, including those that get no new work."""
        return {
            name: record.upstream
            for name, record in self._records_by_name.items()
        }

    def find(self, name: str) -> Upstream | None:
        """Return an upstream, or None if it is unknown."""
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
        return now - record.vanished_at < VANISHED_GRACE_S

    def find_closing_time(self, name: str) -> float | None:
        """Return when a vanished upstream stops getting work, or None."""
        record = self._records_by_name.get(name)
        if record is None or record.vanished_at is None:
            return None
        return record.vanished_at + VANISHED_GRACE_S

    # Steps of the commands.

    def _merge_instance(self, instance: ListedInstance) -> None:
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
            self._changed_names.add(name)
            return
        if instance.incarnation < record.upstream.incarnation:
            return
        if record.vanished_at is not None:
            record.vanished_at = None
            self._changed_names.add(name)
        if record.upstream == upstream:
            return
        self._names_by_pool[record.upstream.pool].discard(name)
        self._names_by_pool.setdefault(instance.pool, set()).add(name)
        record.upstream = upstream
        self._changed_names.add(name)

    def _record_vanished(self, listed: set[str], now: float) -> None:
        expired = []
        for name, record in self._records_by_name.items():
            if name in listed:
                continue
            if record.vanished_at is None:
                record.vanished_at = now
                self._changed_names.add(name)
                continue
            if now - record.vanished_at > RETENTION_S:
                expired.append(name)
        for expired_name in expired:
            pool = self._records_by_name.pop(expired_name).upstream.pool
            self._names_by_pool[pool].discard(expired_name)
            self.leave_marks_by_name.pop(expired_name, None)
            self._changed_names.add(expired_name)
