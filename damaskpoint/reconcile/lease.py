"""Decides who holds a lease, without comparing the clocks of two machines.

A lease is a row of the platform's table. Each claim and renewal increases the
row's version. A holder counts the duration from before its write was sent and
stops a margin early. Any other owner claims the lease only after it has
itself seen the row unchanged for the full duration. While the rates of clocks
differ by less than the margin's share of the duration, no two owners consider
themselves the holder at the same time. A process that was frozen finds its
lease expired at its next check of the clock. If it freezes between a check
and the end of that iteration of the event loop, only the fencing number
protects against the actions that it still carries out.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpoint.platform.base import RowKey


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The content of a lease's row; version 0 means that there is no row."""

    version: int
    owner: str
    # Increases with each change of the owner.
    fencing: int
    # Identifies one write, to recognize it after a lost response.
    write_id: str
    # Released by its owner: it may be claimed at once.
    is_released: bool
    # Status of the owner's work, for operators.
    note: Mapping[str, object] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseOptions:
    """The owner and timing of a lease; all its owners use the same times."""

    row_key: RowKey
    # Identifies one start of a process: a restart is another owner.
    owner: str
    duration_s: float
    # Time at the end that the holder does not use; it must exceed the drift
    # between clocks.
    margin_s: float


@final
class WriteKind(enum.Enum):
    """The purpose of a write to the lease's row."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A compare-and-set of the lease's row that is to be sent."""

    kind: WriteKind
    # Version of the row that the write replaces.
    expected_version: int
    row: LeaseRow
    # Monotonic time before the write was sent.
    sent_at: float


@final
class Lease:
    """One owner's view of one lease.

    Pass it each read of the row (``on_row_read``) and the outcome of each
    write (``on_committed``, ``on_conflict``, ``on_response_lost``), and send
    the writes that ``next_write`` returns. Check ``is_held`` before each
    guarded action, in the same iteration of the event loop.
    """

    def __init__(self, options: LeaseOptions) -> None:
        """Start before the first read of the row."""
        self._options = options
        self._row: LeaseRow | None = None
        self._row_seen_at: float = 0
        self._held_until: float = 0
        self._fencing = 0
        # A write whose response was lost: it may have taken effect.
        self._unconfirmed_write: LeaseWrite | None = None
        self._write_count = 0
        self._took_over_at: float | None = None

    @property
    def options(self) -> LeaseOptions:
        """Return the options of the lease."""
        return self._options

    @property
    def fencing(self) -> int:
        """Return the fencing number of the last term held, or 0 for none."""
        return self._fencing

    @property
    def took_over_at(self) -> float | None:
        """Return when an expired lease of another owner was claimed, or None.

        None if there was no previous owner, or if it had released the lease:
        then none of its actions can still be in flight.
        """
        return self._took_over_at

    @property
    def note(self) -> Mapping[str, object]:
        """Return the last known note of the row."""
        return self._row.note if self._row else {}

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held now."""
        return now < self._held_until

    def next_write(
        self, now: float, note: Mapping[str, object], is_urgent: bool
    ) -> LeaseWrite | None:
        """Return the claim or renewal that is due, or None.

        A renewal is due after half of the duration; an urgent one at once.
        """
        row = self._row
        if row is None or self._unconfirmed_write:
            return None
        if self.is_held(now):
            remaining_s = self._held_until - now
            if remaining_s > self._options.duration_s / 2 and not is_urgent:
                return None
            return self._write(row, WriteKind.RENEW, now, note)
        if not self._may_claim(row, now):
            return None
        return self._write(row, WriteKind.CLAIM, now, note)

    def release_write(
        self, now: float, note: Mapping[str, object]
    ) -> LeaseWrite | None:
        """Return the write that releases the lease, or None if not held.

        The lease is no longer held from now on, even if the write fails.
        """
        if not self.is_held(now) or self._row is None:
            return None
        self._held_until = now
        return self._write(self._row, WriteKind.RELEASE, now, note)

    def on_row_read(self, row: LeaseRow, now: float) -> None:
        """Process a read of the row, whose response arrived at ``now``."""
        unconfirmed = self._unconfirmed_write
        self._unconfirmed_write = None
        if unconfirmed and unconfirmed.row.write_id == row.write_id:
            # The write whose response was lost took effect.
            self._apply_committed(unconfirmed, row.version, now)
            return
        if self._row is None or row.version != self._row.version:
            self._row_seen_at = now
        self._row = row
        if row.owner != self._options.owner:
            # Another owner has claimed the lease.
            self._held_until = min(self._held_until, now)

    def on_committed(self, write: LeaseWrite, version: int, now: float) -> None:
        """Process a write that took effect as this version of the row."""
        self._apply_committed(write, version, now)

    def on_conflict(self) -> None:
        """Process a write that did not take effect; the row must be read."""
        self._row = None
        self._unconfirmed_write = None

    def on_response_lost(self, write: LeaseWrite) -> None:
        """Process a write that may or may not have taken effect."""
        self._unconfirmed_write = write

    def _may_claim(self, row: LeaseRow, now: float) -> bool:
        if self._is_free(row):
            return True
        return now - self._row_seen_at > self._options.duration_s

    def _is_free(self, row: LeaseRow) -> bool:
        """Return whether no other owner can still consider itself holder."""
        is_own = row.owner == self._options.owner
        return row.version == 0 or row.is_released or is_own

    def _write(
        self,
        row: LeaseRow,
        kind: WriteKind,
        now: float,
        note: Mapping[str, object],
    ) -> LeaseWrite:
        self._write_count += 1
        owner = self._options.owner
        fencing = self._fencing
        if kind is WriteKind.CLAIM:
            fencing = row.fencing + 1
        content = LeaseRow(
            version=0,
            owner=owner,
            fencing=fencing,
            write_id=f'{owner}/{self._write_count}',
            is_released=kind is WriteKind.RELEASE,
            note=note,
        )
        return LeaseWrite(kind, row.version, content, now)

    def _apply_committed(
        self, write: LeaseWrite, version: int, now: float
    ) -> None:
        """Adopt the content of an own write that took effect."""
        previous = self._row
        self._row = dataclasses.replace(write.row, version=version)
        self._row_seen_at = now
        self._unconfirmed_write = None
        if write.kind is WriteKind.RELEASE:
            return
        if write.kind is WriteKind.CLAIM:
            self._fencing = write.row.fencing
            is_handover = previous is None or self._is_free(previous)
            self._took_over_at = None if is_handover else write.sent_at
        self._held_until = (
            write.sent_at + self._options.duration_s - self._options.margin_s
        )
