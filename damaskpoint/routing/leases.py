"""One entry's view of one cold upstream's lease row.

The row is in the platform's table. Times are this entry's own monotonic
seconds; no wall clock is written or compared.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final, final

from damaskpoint import defaults

LEASE_TABLE: Final = 'cold-leases'
NEVER: Final = float('-inf')
# Stands between an entry's name and its start in the owner of a row.
OWNER_MARK: Final = '#'


@final
class LeaseState(enum.Enum):
    """What this entry knows of the row."""

    # The row has to be read.
    UNREAD = 'unread'
    # Another owner has it, as of the version that was read.
    RIVAL = 'rival'
    # It may be claimed by a conditional write on the version.
    FREE = 'free'
    # This entry's own, as far as it knows.
    HELD = 'held'
    # A write's answer was lost: the row tells what became of it.
    DOUBTFUL = 'doubtful'


@final
class WriteKind(enum.Enum):
    """What a write to the row is for."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@final
@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The content of the row, as any entry reads it."""

    version: int
    # Empty after a release.
    owner: str
    claim_id: str
    fencing: int
    # Length that the owner may use, on its own clock (seconds).
    lease_s: float


@final
@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """One conditional write that the entry wants to make."""

    name: str
    kind: WriteKind
    expected_version: int
    claim_id: str
    fencing: int
    incarnation: int
    # Length that the owner will use (seconds).
    lease_s: float
    sent_at: float


@final
@dataclass(slots=True)
class Inside:
    """The bound on work inside the upstream that is not counted as own.

    It starts unknown. A report that was asked for after everybody else must
    have stopped sending bounds it from above; later ones only lower it.
    Own calls whose end was not seen add to it.
    """

    # From this time nobody but the holder sends; infinite until known.
    settled_at: float = float('inf')
    others: int | None = None
    # Whether there are no reports to wait for.
    is_silent: bool = False
    # When each call ended for us that may still run in the upstream.
    unseen_ends: list[float] = field(default_factory=list)
    # When each lent permit that was not returned runs out.
    loans_by_number: dict[int, float] = field(default_factory=dict)

    def restart(self, settled_at: float) -> None:
        """Forget the bound; all others have stopped by this time."""
        self.settled_at = settled_at
        self.others = None

    def add_unseen_end(self, ended_at: float) -> None:
        """Count a call whose end in the upstream was not seen."""
        self.unseen_ends.append(ended_at)

    def note_report(
        self, requested_at: float, lag_s: float, in_flight: int
    ) -> None:
        """Lower the bound by a report.

        What the report shows is at most ``lag_s`` older than the request.
        Own calls are in it too: they are not taken off, since a call that
        was given a ticket may not have arrived by then.
        """
        shown_from = requested_at - lag_s
        if shown_from < self.settled_at:
            return
        self._expire_loans(shown_from)
        newer = [ended for ended in self.unseen_ends if ended > shown_from]
        older = len(self.unseen_ends) - len(newer)
        held = in_flight if self.others is None else self.others + older
        self.others = min(held, in_flight)
        self.unseen_ends = newer

    def wait_out(self, now: float) -> None:
        """Drop what no call can outlast.

        A silent upstream's calls by others are known from their shares
        alone, and one that was broken off counts as stopped after a while.
        """
        longest = defaults.LONGEST_CALL_S
        settling = longest
        if self.is_silent:
            longest = defaults.SILENT_CALL_S
            settling = 0
        if self.others is None and now >= self.settled_at + settling:
            self.others = 0
        self._expire_loans(now - longest)
        kept = [end for end in self.unseen_ends if now < end + longest]
        self.unseen_ends = kept

    def find_bound(self) -> int | None:
        """Return the bound, or None while it is unknown."""
        if self.others is None:
            return None
        return self.others + len(self.unseen_ends) + len(self.loans_by_number)

    def _expire_loans(self, before: float) -> None:
        """Let loans that ran out count as calls whose end was not seen."""
        expired = []
        for number, expires_at in self.loans_by_number.items():
            if expires_at <= before:
                expired.append(number)
        for gone in expired:
            self.unseen_ends.append(self.loans_by_number.pop(gone))


@final
@dataclass(slots=True)
class Lease:
    """The lease of one cold upstream."""

    name: str
    state: LeaseState = LeaseState.UNREAD
    version: int = 0
    fencing: int = 0
    claim_id: str = ''
    # The owner that was read last, if it is another.
    rival: str = ''
    # When the last claim or renewal was planned, before it was sent.
    sent_at: float = NEVER
    # Nothing is sent at or after this time.
    deadline: float = NEVER
    # A rival's unchanged row may be taken over from this time.
    takeable_at: float = NEVER
    is_write_pending: bool = False
    is_release_wanted: bool = False
    # The entry wants the lease until then, and claims it from then.
    wanted_until: float = NEVER
    wish_at: float = NEVER
    retry_at: float = NEVER
    inside: Inside = field(default_factory=Inside)
