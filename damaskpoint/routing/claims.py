"""Decides which lease rows to read, claim, renew and release.

``permits`` describes the protocol; ``permit_client`` executes the reads and
writes on the table.
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
    from damaskpoint.routing.lease_hooks import LeaseHooks

_READ_STATES = frozenset((LeaseState.UNREAD, LeaseState.DOUBTFUL))
# A lease is renewed after its length divided by this number.
_RENEWALS_PER_LEASE = 3


@final
@dataclass(frozen=True, slots=True)
class LeaseOptions:
    """The owner and the times (seconds) of the leases of one entry."""

    # Identifies this start of the process, distinct from earlier ones.
    owner: str
    lease_s: float
    margin_s: float
    # Maximum lag of a load report.
    lag_s: float


@final
class ClaimPlanner:
    """Plans reads and writes of the rows of one entry's leases."""

    def __init__(
        self,
        options: LeaseOptions,
        hooks: LeaseHooks,
        leases_by_name: dict[str, Lease],
    ) -> None:
        """Share the leases with the permit manager."""
        self._options = options
        self._hooks = hooks
        self._leases_by_name = leases_by_name
        self._last_claim = 0

    # Commands.

    def plan_reads(self, now: float) -> tuple[str, ...]:
        """Return the upstreams whose rows must be read now."""
        names: list[str] = []
        for lease in self._leases_by_name.values():
            if len(names) == defaults.LEASE_BATCH:
                break
            if _must_read(lease, now):
                names.append(lease.name)
        return tuple(names)

    def apply_rows(
        self, rows_by_name: Mapping[str, LeaseRow | None], now: float
    ) -> None:
        """Apply the rows that were read; None means that a row is absent."""
        for name, row in rows_by_name.items():
            lease = self._leases_by_name.get(name)
            if lease is not None:
                self._apply_row(lease, row, now)

    def record_failed_read(self, names: Sequence[str], now: float) -> None:
        """Delay the next read of these rows."""
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

    def apply_outcome(
        self,
        writes: Sequence[LeaseWrite],
        outcome: Committed | Conflicted | Failure,
        now: float,
    ) -> None:
        """Apply the outcome of the writes."""
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
                self._hooks.on_lost(write)
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
        renew_at = lease.sent_at + self._options.lease_s / _RENEWALS_PER_LEASE
        return WriteKind.RENEW if now >= renew_at else None

    def _plan_write(
        self, lease: Lease, kind: WriteKind, now: float
    ) -> LeaseWrite:
        self._last_claim += 1
        lease.claim_id = f'{self._options.owner}-{self._last_claim}'
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
            self._hooks.find_incarnation(lease.name),
            self._options.lease_s,
            now,
        )

    def _apply_row(
        self, lease: Lease, row: LeaseRow | None, now: float
    ) -> None:
        is_same = row is not None and row.version == lease.version
        lease.fencing = 0 if row is None else row.fencing
        if row is None or not row.owner:
            lease.version = 0 if row is None else row.version
            lease.state = LeaseState.FREE
            lease.deadline = NEVER
            return
        was_doubtful = lease.state is LeaseState.DOUBTFUL
        if was_doubtful and row.claim_id == lease.claim_id:
            self._recover_write(lease, row, now)
            return
        if row.owner == self._options.owner:
            # An older write of this entry; no other entry has written since.
            lease.version = row.version
            lease.state = LeaseState.FREE
            return
        lease.deadline = NEVER
        if is_same and lease.state is LeaseState.RIVAL:
            # Unchanged since the first read, and the takeover time has passed.
            lease.state = LeaseState.FREE
            return
        lease.version = row.version
        lease.rival = row.owner
        lease.state = LeaseState.RIVAL
        wait_s = row.lease_s + self._options.margin_s
        lease.takeover_at = (
            now + wait_s + self._hooks.find_claim_delay(lease.name)
        )

    def _recover_write(self, lease: Lease, row: LeaseRow, now: float) -> None:
        """Confirm a write that the row shows although its response was lost."""
        write = LeaseWrite(
            lease.name,
            WriteKind.CLAIM,
            lease.version,
            lease.claim_id,
            row.fencing,
            0,
            self._options.lease_s,
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
            write.sent_at + self._options.lease_s - self._options.margin_s
        )
        if write.kind is WriteKind.CLAIM:
            settled_at = self._hooks.find_settled_at(lease.name, now)
            # Calls sent just before need the margin to arrive.
            arrived_at = max(now, settled_at) + self._options.margin_s
            lease.uncounted.restart(arrived_at)
            self._hooks.on_won(write)


def _is_wanted(lease: Lease, now: float) -> bool:
    return lease.claim_at <= now < lease.wanted_until


def _must_read(lease: Lease, now: float) -> bool:
    if lease.is_write_pending or now < lease.retry_at:
        return False
    if not _is_wanted(lease, now):
        return False
    if lease.state is LeaseState.RIVAL:
        return now >= lease.takeover_at
    return lease.state in _READ_STATES
