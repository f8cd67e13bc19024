"""Keeps the quarantines of prompt parts in the platform's store.

Peers learn of a quarantine by gossip; from the store it is known again after
all instances have restarted, and to instances that gossip does not reach.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, final

from damaskpoint.balancing import rendezvous
from damaskpoint.catalog import metrics
from damaskpoint.catalog.follower import TableSink
from damaskpoint.errors import Failure
from damaskpoint.platform import names
from damaskpoint.platform.quarantine_rows import (
    encode_quarantine,
    read_quarantine,
)
from damaskpoint.platform.store import ABSENT_VERSION, ChangeConflict, RowChange

if TYPE_CHECKING:
    from damaskpoint.batching.base import Peers
    from damaskpoint.platform.store import PlatformStore, Rows, StoredRow
    from damaskpoint.quarantine.guard import PromptGuard
    from damaskpoint.quarantine.model import Quarantine

_LOG: Final = logging.getLogger(__name__)
# How long an instance leaves a write to each one that ranks before it
# (seconds).
_RANK_DELAY_S: Final = 0.5
# Least time between two writes of a part (seconds).
_REWRITE_PAUSE_S: Final = 1.0


@final
class QuarantineSink(TableSink):
    """Applies the rows of the store to the guard of this instance."""

    def __init__(self, guard: PromptGuard) -> None:
        """Apply rows to this guard."""
        self._guard = guard
        # The store's clock minus the monotonic clock; None before a read.
        self.clock_offset_s: float | None = None
        self.versions_by_key: dict[str, int] = {}
        self.quarantines_by_key: dict[str, Quarantine] = {}

    def replace(self, read: Rows, now: float) -> None:
        """Replace all rows by those of the whole table."""
        self.versions_by_key.clear()
        self.quarantines_by_key.clear()
        self.update(read, now)

    def restore(self, read: Rows, now: float) -> None:
        """Use the rows; what they lack is known here and written again."""
        self.replace(read, now)

    def update(self, read: Rows, now: float) -> None:
        """Apply the rows that changed."""
        if read.now_s is not None:
            self.clock_offset_s = read.now_s - now
        for row in read.rows:
            self._forget(row.key)
            quarantine = self._read(row)
            if quarantine is None:
                continue
            self.versions_by_key[row.key] = row.version
            self.quarantines_by_key[row.key] = quarantine
            self._guard.apply_quarantine(row.key, quarantine, now)

    def record_outage(self, sent_at: float, now: float) -> None:
        """Do nothing: what is known stays in force."""

    def record_read(self, now: float) -> None:
        """Do nothing: the rows follow."""

    def _forget(self, key: str) -> None:
        self.versions_by_key.pop(key, None)
        self.quarantines_by_key.pop(key, None)

    def _read(self, row: StoredRow) -> Quarantine | None:
        """Return the quarantine of a row; None if it is removed or invalid."""
        if row.content is None or self.clock_offset_s is None:
            return None
        quarantine = read_quarantine(row.content, self.clock_offset_s)
        if not isinstance(quarantine, Failure):
            return quarantine
        metrics.BAD_ROWS.inc({'table': names.TABLE_QUARANTINES})
        _LOG.warning(
            'ignoring an invalid quarantine',
            extra={'part': row.key, 'reason': quarantine.detail},
        )
        return None


@final
class QuarantineWriter:
    """Writes quarantines that the store lacks, and removes forgotten ones.

    Each instance does; for each part they rank in a different order, and each
    leaves the others the time to write first.
    """

    def __init__(
        self,
        store: PlatformStore,
        sink: QuarantineSink,
        guard: PromptGuard,
        own_name: str,
        peers: Peers,
    ) -> None:
        """Compare what this guard knows with the rows of this sink."""
        self._store = store
        self._sink = sink
        self._guard = guard
        self._own_name = own_name
        self._peers = peers
        # Since when the row of a part has differed from what is known here.
        self._differing_since_by_key: dict[str, float] = {}

    async def advance(self, now: float) -> None:
        """Write what is due; called periodically."""
        for change in self._list_due(now):
            outcome = await self._store.change((change,))
            if isinstance(outcome, Failure):
                _LOG.warning(
                    'quarantine not stored',
                    extra={'part': change.key, 'reason': outcome.detail},
                )
            if isinstance(outcome, ChangeConflict):
                _LOG.info(
                    'quarantine stored by a peer', extra={'part': change.key}
                )

    def _list_due(self, now: float) -> list[RowChange]:
        differing = self._list_differing(now)
        since_by_key: dict[str, float] = {}
        due = []
        for change in differing:
            since = self._differing_since_by_key.get(change.key, now)
            since_by_key[change.key] = since
            if now - since >= self._find_delay_s(change.key, now):
                due.append(change)
                since_by_key[change.key] = now + _REWRITE_PAUSE_S
        self._differing_since_by_key = since_by_key
        return due

    def _list_differing(self, now: float) -> list[RowChange]:
        offset_s = self._sink.clock_offset_s
        if offset_s is None:
            return []
        changes = []
        for key, quarantine in self._guard.quarantines_by_key.items():
            stored = self._sink.quarantines_by_key.get(key)
            is_stored = stored is not None and stored.order >= quarantine.order
            if is_stored or quarantine.is_forgotten(now):
                continue
            content = encode_quarantine(quarantine, offset_s)
            changes.append(self._create_change(key, content))
        for key, quarantine in self._sink.quarantines_by_key.items():
            if quarantine.is_forgotten(now):
                changes.append(self._create_change(key, None))
        return changes

    def _create_change(self, key: str, content: bytes | None) -> RowChange:
        version = self._sink.versions_by_key.get(key, ABSENT_VERSION)
        return RowChange(names.TABLE_QUARANTINES, key, version, content)

    def _find_delay_s(self, key: str, now: float) -> float:
        instances = self._peers.batching_names(now) | {self._own_name}
        ranks = rendezvous.order(instances, key)
        return _RANK_DELAY_S * ranks.index(self._own_name)
