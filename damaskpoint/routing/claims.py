"""Claims, renewals and releases of lease rows: what to read and write.

``permits`` states the protocol; ``permit_client`` carries it to the table.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.platform.base import Committed, Conflicted
from damaskpoint.routing.leases import (
    NEVER,
    Lease,
    LeaseRow,
    LeaseState,
    LeaseWrite,
    WriteKind,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from damaskpoint.errors import Failure
    from damaskpoint.routing.permit_events import PermitEvents

_READ_STATES = frozenset((LeaseState.UNREAD, LeaseState.DOUBTFUL))
# Part of the lease after which it is renewed.
_RENEW_PART = 3


@final
@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Who claims, and for how long (seconds)."""

    # Names this start of the process, never an earlier one.
    owner: str
    lease_s: float
    margin_s: float
    # Longest lag of a load report.
    lag_s: float


@final
class ClaimPlanner:
    """Plans reads and writes of the rows of one entry's leases."""

    def __init__(
        self,
        terms: LeaseTerms,
        events: PermitEvents,
        leases_by_name: dict[str, Lease],
    ) -> None:
        """Share the leases with the permit book."""
        self._terms = terms
        self._events = events
        self._leases_by_name = leases_by_name
        self._last_claim = 0

    # Commands.

    def plan_reads(self, now: float) -> tuple[str, ...]:
        """Return the names whose rows must be read now."""
        names: list[str] = []
        for lease in self._leases_by_name.values():
            if len(names) == defaults.LEASE_BATCH:
                break
            if _must_read(lease, now):
                names.append(lease.name)
        return tuple(names)

    def note_read(
        self, rows_by_name: Mapping[str, LeaseRow | None], now: float
    ) -> None:
        """Take the rows as they were read, None for each absent one."""
        for name, row in rows_by_name.items():
            lease = self._leases_by_name.get(name)
            if lease is not None:
                self._note_row(lease, row, now)

    def note_read_failed(self, names: Sequence[str], now: float) -> None:
        """Wait a while before these rows are read again."""
        for name in names:
            lease = self._leases_by_name.get(name)
            if lease is not None:
                lease.retry_at = now + defaults.CLAIM_RETRY_S

    def plan_writes(self, now: float) -> tuple[LeaseWrite, ...]:
        """Return the writes to send now, in one transaction."""
        writes: list[LeaseWrite] = []
        for lease in self._leases_by_name.values():
            if len(writes) == defaults.LEASE_BATCH:
                break
            kind = self._find_write(lease, now)
            if kind is not None:
                writes.append(self._plan_write(lease, kind, now))
        return tuple(writes)

    def note_written(
        self,
        writes: Sequence[LeaseWrite],
        outcome: Committed | Conflicted | Failure,
        now: float,
    ) -> None:
        """Take what became of the writes."""
        for position, write in enumerate(writes):
            lease = self._leases_by_name[write.name]
            lease.is_write_pending = False
            if isinstance(outcome, Committed):
                self._confirm(lease, write, outcome.versions[position], now)
                continue
            if not isinstance(outcome, Conflicted):
                lease.state = LeaseState.DOUBTFUL
                lease.retry_at = now + defaults.CLAIM_RETRY_S
                continue
            if position in outcome.positions:
                self._events.on_lost(write)
                lease.state = LeaseState.UNREAD
                lease.deadline = NEVER

    # Steps.

    def _find_write(self, lease: Lease, now: float) -> WriteKind | None:
        if lease.is_write_pending or now < lease.retry_at:
            return None
        if lease.state is LeaseState.FREE:
            return WriteKind.CLAIM if _is_wanted(lease, now) else None
        if lease.state is not LeaseState.HELD:
            return None
        if lease.is_release_wanted:
            return WriteKind.RELEASE
        renew_at = lease.sent_at + self._terms.lease_s / _RENEW_PART
        return WriteKind.RENEW if now >= renew_at else None

    def _plan_write(
        self, lease: Lease, kind: WriteKind, now: float
    ) -> LeaseWrite:
        self._last_claim += 1
        lease.claim_id = f'{self._terms.owner}-{self._last_claim}'
        lease.sent_at = now
        lease.is_write_pending = True
        if kind is WriteKind.RELEASE:
            lease.deadline = NEVER
        return LeaseWrite(
            lease.name,
            kind,
            lease.version,
            lease.claim_id,
            lease.fencing + 1,
            self._events.find_incarnation(lease.name),
            self._terms.lease_s,
            now,
        )

    def _note_row(self, lease: Lease, row: LeaseRow | None, now: float) -> None:
        is_same = row is not None and row.version == lease.version
        lease.fencing = 0 if row is None else row.fencing
        if row is None or not row.owner:
            lease.version = 0 if row is None else row.version
            lease.state = LeaseState.FREE
            lease.deadline = NEVER
            return
        was_doubtful = lease.state is LeaseState.DOUBTFUL
        if was_doubtful and row.claim_id == lease.claim_id:
            self._adopt(lease, row, now)
            return
        if row.owner == self._terms.owner:
            # An older write of this entry; nobody else has written since.
            lease.version = row.version
            lease.state = LeaseState.FREE
            return
        lease.deadline = NEVER
        if is_same and lease.state is LeaseState.RIVAL:
            # It has not changed since it was first read, and is due.
            lease.state = LeaseState.FREE
            return
        lease.version = row.version
        lease.rival = row.owner
        lease.state = LeaseState.RIVAL
        wait_s = row.lease_s + self._terms.margin_s
        lease.takeable_at = now + wait_s + self._events.find_delay(lease.name)

    def _adopt(self, lease: Lease, row: LeaseRow, now: float) -> None:
        """Take the row's word for a write whose answer was lost."""
        write = LeaseWrite(
            lease.name,
            WriteKind.CLAIM,
            lease.version,
            lease.claim_id,
            row.fencing,
            0,
            self._terms.lease_s,
            lease.sent_at,
        )
        self._confirm(lease, write, row.version, now)

    def _confirm(
        self, lease: Lease, write: LeaseWrite, version: int, now: float
    ) -> None:
        lease.version = version
        lease.fencing = write.fencing
        if write.kind is WriteKind.RELEASE:
            lease.state = LeaseState.FREE
            lease.is_release_wanted = False
            return
        lease.state = LeaseState.HELD
        if lease.is_release_wanted:
            return
        lease.deadline = (
            write.sent_at + self._terms.lease_s - self._terms.margin_s
        )
        if write.kind is WriteKind.CLAIM:
            settled_at = self._events.find_settled(lease.name, now)
            # What was sent last needs a moment to arrive.
            arrived_at = max(now, settled_at) + self._terms.margin_s
            lease.inside.restart(arrived_at)
            self._events.on_won(write)


def _is_wanted(lease: Lease, now: float) -> bool:
    return lease.wish_at <= now < lease.wanted_until


def _must_read(lease: Lease, now: float) -> bool:
    if lease.is_write_pending or now < lease.retry_at:
        return False
    if not _is_wanted(lease, now):
        return False
    if lease.state is LeaseState.RIVAL:
        return now >= lease.takeable_at
    return lease.state in _READ_STATES
