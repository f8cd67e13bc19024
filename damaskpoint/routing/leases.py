"""An entry's view of the lease rows of cold upstreams.

The rows are in the platform's table. Times are this entry's own monotonic
seconds; no wall clock is written or compared.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final, final

from damaskpoint import defaults

LEASE_TABLE: Final = 'cold-leases'
NEVER: Final = float('-inf')
# Separates the entry's name from its start in the owner field of a row.
OWNER_SEPARATOR: Final = '#'


@final
class LeaseState(enum.Enum):
    """What this entry knows about the row."""

    # The row has to be read.
    UNREAD = 'unread'
    # Another owner held it in the version last read.
    RIVAL = 'rival'
    # It can be claimed by a conditional write on the version.
    FREE = 'free'
    # Held by this entry, as far as it knows.
    HELD = 'held'
    # The response to a write was lost: the row must be read to learn the
    # outcome.
    DOUBTFUL = 'doubtful'


@final
class WriteKind(enum.Enum):
    """The purpose of a write to the row."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@final
@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The content of a row as read from the table."""

    version: int
    # Empty after a release.
    owner: str
    claim_id: str
    fencing: int
    # Length of the lease on the owner's clock (seconds).
    lease_s: float


@final
@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """One conditional write for the entry to execute."""

    name: str
    kind: WriteKind
    expected_version: int
    claim_id: str
    fencing: int
    incarnation: int
    # Length of the lease on the owner's clock (seconds).
    lease_s: float
    sent_at: float


@final
@dataclass(slots=True)
class UncountedCalls:
    """An upper bound on an upstream's calls beyond the own calls in flight.

    The bound is unknown at first. A report that was requested after all other
    entries must have stopped sending gives a bound; later reports can only
    lower it. Own calls whose end is unconfirmed and lent permits add to it.
    """

    # Time from which only the holder sends; infinite until known.
    settled_at: float = float('inf')
    # Bound on calls of other entries; None until known.
    others: int | None = None
    # Whether the upstream does not report its load.
    is_nonreporting: bool = False
    # End times of own calls that may still run in the upstream.
    unconfirmed_ends: list[float] = field(default_factory=list)
    # Expiry times of lent permits that were not returned.
    loans_by_number: dict[int, float] = field(default_factory=dict)

    def restart(self, settled_at: float) -> None:
        """Discard the bound; other entries stop sending by this time."""
        self.settled_at = settled_at
        self.others = None

    def add_unconfirmed_end(self, ended_at: float) -> None:
        """Count a call whose end in the upstream is unconfirmed."""
        self.unconfirmed_ends.append(ended_at)

    def apply_report(
        self, requested_at: float, lag_s: float, in_flight: int
    ) -> None:
        """Lower the bound by a report.

        The state in the report is at most ``lag_s`` older than the request.
        Own calls in flight are not subtracted from the report, since a call
        with a ticket may not have reached the upstream before the report.
        """
        shown_from = requested_at - lag_s
        if shown_from < self.settled_at:
            return
        self._expire_loans(shown_from)
        newer = [ended for ended in self.unconfirmed_ends if ended > shown_from]
        older = len(self.unconfirmed_ends) - len(newer)
        bound = in_flight if self.others is None else self.others + older
        self.others = min(bound, in_flight)
        self.unconfirmed_ends = newer

    def expire(self, now: float) -> None:
        """Stop counting calls that are older than any call can be.

        For a non-reporting upstream, calls of others are known only from
        their shares, so the bound on others is 0 once the upstream is settled,
        and a call of unconfirmed end counts as over after a shorter time.
        """
        longest_s = defaults.MAX_CALL_S
        grace_s = longest_s
        if self.is_nonreporting:
            longest_s = defaults.NONREPORTING_MAX_CALL_S
            grace_s = 0
        if self.others is None and now >= self.settled_at + grace_s:
            self.others = 0
        self._expire_loans(now - longest_s)
        recent = [end for end in self.unconfirmed_ends if now < end + longest_s]
        self.unconfirmed_ends = recent

    def find_bound(self) -> int | None:
        """Return the bound, or None while it is unknown."""
        if self.others is None:
            return None
        return (
            self.others + len(self.unconfirmed_ends) + len(self.loans_by_number)
        )

    def _expire_loans(self, before: float) -> None:
        """Count expired loans as calls whose end is unconfirmed."""
        expired = []
        for number, expires_at in self.loans_by_number.items():
            if expires_at <= before:
                expired.append(number)
        for loan in expired:
            self.unconfirmed_ends.append(self.loans_by_number.pop(loan))


@final
@dataclass(slots=True)
class Lease:
    """The lease of one cold upstream."""

    name: str
    state: LeaseState = LeaseState.UNREAD
    version: int = 0
    fencing: int = 0
    claim_id: str = ''
    # The owner last read, if it is another entry.
    rival: str = ''
    # When the last claim or renewal was planned, before it was sent.
    sent_at: float = NEVER
    # No call is sent to the upstream at or after this time.
    deadline: float = NEVER
    # An unchanged row of a rival can be taken over from this time.
    takeover_at: float = NEVER
    is_write_pending: bool = False
    is_release_wanted: bool = False
    # The entry wants the lease until ``wanted_until`` and claims it from
    # ``claim_at``.
    wanted_until: float = NEVER
    claim_at: float = NEVER
    retry_at: float = NEVER
    uncounted: UncountedCalls = field(default_factory=UncountedCalls)
