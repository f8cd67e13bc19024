"""Decides who holds a lease, without comparing clocks of two machines.

A lease is a row of the platform's table. Each claim and renewal raises the
row's version. A holder counts its time from before the write was sent and
stops a margin early; any other waits until it has itself seen the row
unchanged for the lease's whole length. With clocks that run at most the
margin's share apart, two holders never believe at once. A process that was
frozen finds its time over when it looks at the clock again; what it does
between its last look and the end of that turn of the loop is the window
that only the fencing number closes.
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
    """The content of a lease's row; version 0 means that it is absent."""

    version: int
    owner: str
    # Goes up with each change of the owner.
    fencing: int
    # Marks one write, to know it again after a lost answer.
    write_id: str
    # Given back by its owner: nobody has to wait.
    is_released: bool
    # What the owner tells operators of its work.
    note: Mapping[str, object] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseOptions:
    """What all owners of one lease agree on; times in seconds."""

    row_key: RowKey
    # Names this start of this process: a restart is another owner.
    owner: str
    length_s: float
    # What the holder leaves unused at the end, more than clocks differ.
    margin_s: float


@final
class WriteKind(enum.Enum):
    """What a write to the lease's row is for."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A compare-and-set that the lease asks for."""

    kind: WriteKind
    # Version of the row that the write replaces.
    expected_version: int
    row: LeaseRow
    # Monotonic time before the write was sent.
    sent_at: float


@final
class Lease:
    """One owner's view of one lease.

    Feed it each read of the row (``hear_row``) and the end of each write
    (``hear_committed``, ``hear_conflict``, ``hear_lost``); ask it for the
    next write (``next_write``) and, in the same turn of the loop as each
    guarded act, whether it ``is_held``.
    """

    def __init__(self, options: LeaseOptions) -> None:
        """Start without having seen the row."""
        self._options = options
        self._row: LeaseRow | None = None
        self._row_seen_at: float = 0
        self._held_until: float = 0
        self._fencing = 0
        # A write whose answer was lost: it may be in the row.
        self._doubtful: LeaseWrite | None = None
        self._writes = 0
        self._took_over_at: float | None = None

    @property
    def options(self) -> LeaseOptions:
        """Return what the lease is."""
        return self._options

    @property
    def fencing(self) -> int:
        """Return the fencing number of the last term held; 0 for none."""
        return self._fencing

    @property
    def took_over_at(self) -> float | None:
        """Return when another's lease ran out for this term, or None.

        None if the last owner had given it back, or there was none: then
        nothing of it can still be on its way.
        """
        return self._took_over_at

    @property
    def note(self) -> Mapping[str, object]:
        """Return the note of the row as it was last known."""
        return self._row.note if self._row else {}

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held at this moment."""
        return now < self._held_until

    def next_write(
        self, now: float, note: Mapping[str, object], is_urgent: bool
    ) -> LeaseWrite | None:
        """Return the claim or renewal that is due, or None.

        An urgent renewal does not wait for half of the term to pass.
        """
        row = self._row
        if row is None or self._doubtful:
            return None
        if self.is_held(now):
            left_s = self._held_until - now
            if left_s > self._options.length_s / 2 and not is_urgent:
                return None
            return self._write(row, WriteKind.RENEW, now, note)
        if not self._may_claim(row, now):
            return None
        return self._write(row, WriteKind.CLAIM, now, note)

    def release_write(
        self, now: float, note: Mapping[str, object]
    ) -> LeaseWrite | None:
        """Return the write that gives the lease back, or None if not held.

        The lease counts as given back from now on, also if the write fails.
        """
        if not self.is_held(now) or self._row is None:
            return None
        self._held_until = now
        return self._write(self._row, WriteKind.RELEASE, now, note)

    def hear_row(self, row: LeaseRow, now: float) -> None:
        """Hear a read of the row; ``now`` is when its answer arrived."""
        doubtful = self._doubtful
        self._doubtful = None
        if doubtful and doubtful.row.write_id == row.write_id:
            # The lost write took effect after all.
            self._adopt(doubtful, row.version, now)
            return
        if self._row is None or row.version != self._row.version:
            self._row_seen_at = now
        self._row = row
        if row.owner != self._options.owner:
            # Whatever this process believed, another has the row.
            self._held_until = min(self._held_until, now)

    def hear_committed(
        self, write: LeaseWrite, version: int, now: float
    ) -> None:
        """Hear that a write took effect as this version of the row."""
        self._adopt(write, version, now)

    def hear_conflict(self) -> None:
        """Hear that a write did not take effect; the row is read again."""
        self._row = None
        self._doubtful = None

    def hear_lost(self, write: LeaseWrite) -> None:
        """Hear that it is unknown whether a write took effect."""
        self._doubtful = write

    def _may_claim(self, row: LeaseRow, now: float) -> bool:
        if self._is_free(row):
            return True
        return now - self._row_seen_at > self._options.length_s

    def _is_free(self, row: LeaseRow) -> bool:
        """Return whether no other owner can still believe it holds it."""
        is_own = row.owner == self._options.owner
        return row.version == 0 or row.is_released or is_own

    def _write(
        self,
        row: LeaseRow,
        kind: WriteKind,
        now: float,
        note: Mapping[str, object],
    ) -> LeaseWrite:
        self._writes += 1
        owner = self._options.owner
        fencing = self._fencing
        if kind is WriteKind.CLAIM:
            fencing = row.fencing + 1
        content = LeaseRow(
            version=0,
            owner=owner,
            fencing=fencing,
            write_id=f'{owner}/{self._writes}',
            is_released=kind is WriteKind.RELEASE,
            note=note,
        )
        return LeaseWrite(kind, row.version, content, now)

    def _adopt(self, write: LeaseWrite, version: int, now: float) -> None:
        """Take a write of one's own as the row's content."""
        previous = self._row
        self._row = dataclasses.replace(write.row, version=version)
        self._row_seen_at = now
        self._doubtful = None
        if write.kind is WriteKind.RELEASE:
            return
        if write.kind is WriteKind.CLAIM:
            self._fencing = write.row.fencing
            is_handover = previous is None or self._is_free(previous)
            self._took_over_at = None if is_handover else write.sent_at
        self._held_until = (
            write.sent_at + self._options.length_s - self._options.margin_s
        )
