"""Tracks which upstreams are proven warm; any other counts as cold.

A proof is a response or a load report that states that the upstream is warm.
Its time is the earliest time whose state it can show: for a response, the time
at which the call was sent; for a report, the time of its request minus the
maximum lag. A proof is valid if it is younger than a bound, if its incarnation
is the last one observed, and if it is later than the last sign of cold. So,
once an upstream has turned cold, no entry holds a proof for longer than the
bound, even if messages are lost.

If the upstream itself states to an entry, repeatedly and with short gaps, that
it is cold, the entry knows that no other entry holds a proof once the bound has
passed since the first such statement: from then on the upstream is *settled*. A
longer gap, a proof or a higher incarnation breaks this chain, since the
upstream may have been warm in between.

An upstream that has stated that it is cold, or has restarted, must state that
it is warm over a span of time before this counts as a proof. The span is longer
than the time between two reports, so every entry that polls the upstream under
a lease has observed it warm by then.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import final

_NEVER = float('-inf')
_UNKNOWN = float('inf')


@final
@enum.unique
class UnprovenReason(enum.Enum):
    """Why an upstream no longer counts as warm."""

    NEW = 'new'
    RESTARTED = 'restarted'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'
    SAID_COLD = 'said_cold'
    STALE = 'stale'
    TOLD_BY_PEER = 'told_by_peer'
    # A report from a peer states that the upstream is cold.
    TOLD_COLD = 'told_cold'


SIGNS_OF_COLD = frozenset(
    (
        UnprovenReason.SAID_COLD,
        UnprovenReason.TOLD_COLD,
    )
)


@final
@dataclass(slots=True)
class _Record:
    """The proof state of one upstream; times are monotonic seconds."""

    incarnation: int
    proved_at: float
    invalidated_at: float
    reason: UnprovenReason
    # Age at which a proof expires.
    bound_s: float
    is_proved: bool = False
    # A chain of statements of the upstream that it is cold: the latest possible
    # time of the first one (None without a chain) and, in ``cold_seen_at``, the
    # earliest possible time of the last one.
    cold_since: float | None = None
    # Whether the upstream must be observed warm over a span of time, and when
    # that span began; None before the first observation.
    needs_span: bool = False
    warm_from: float | None = None
    cold_seen_at: float = _NEVER


@final
class WarmthTracker:
    """Tracks proofs of warmth for all upstreams, as known to one entry."""

    def __init__(
        self, bound_s: float, span_s: float = 0, gap_s: float = 0
    ) -> None:
        """Use these bounds (seconds).

        ``bound_s`` is the age at which a proof expires, ``span_s`` the time
        over which a cold upstream must be observed warm, and ``gap_s`` the
        maximum time between two statements of cold in one chain.
        """
        self.bound_s = bound_s
        self._span_s = span_s
        self._gap_s = gap_s
        self._records_by_name: dict[str, _Record] = {}

    # Commands. Those that return a bool return whether the state changed.

    def set_proof_bound(self, name: str, bound_s: float) -> None:
        """Set the age at which proofs of a non-reporting upstream expire."""
        self._ensure_record(name, 0).bound_s = bound_s

    def prove(
        self, name: str, incarnation: int, proved_at: float, now: float
    ) -> bool:
        """Apply a proof of warmth; an outdated one has no effect."""
        record = self._ensure_record(name, incarnation)
        if incarnation < record.incarnation:
            return False
        if proved_at <= record.invalidated_at:
            return False
        if not _has_warm_span(record, proved_at - self._span_s, now):
            return False
        record.proved_at = max(record.proved_at, proved_at)
        if now >= record.proved_at + record.bound_s:
            return False
        was_proved = record.is_proved
        record.cold_since = None
        record.is_proved = True
        return not was_proved

    def invalidate(
        self,
        name: str,
        incarnation: int | None,
        reason: UnprovenReason,
        now: float,
    ) -> bool:
        """Apply a sign that the upstream is not, or may not be, warm.

        ``incarnation`` None means the last one observed.
        """
        record = self._records_by_name.get(name)
        if record is None:
            record = self._ensure_record(name, incarnation or 0)
        observed = record.incarnation if incarnation is None else incarnation
        if observed < record.incarnation:
            return False
        is_change = record.is_proved or observed > record.incarnation
        if observed > record.incarnation or reason in SIGNS_OF_COLD:
            record.needs_span = True
        record.incarnation = observed
        if is_change:
            record.cold_since = None
        record.invalidated_at = now
        record.is_proved = False
        record.reason = reason
        record.warm_from = None
        return is_change

    def record_cold(self, name: str, requested_at: float, now: float) -> None:
        """Record that the upstream stated to this entry that it is cold."""
        record = self._records_by_name[name]
        record.needs_span = True
        # It was cold at some time between the request and now.
        if now - record.cold_seen_at > self._gap_s:
            record.cold_since = None
        if record.cold_since is None:
            record.cold_since = now
        record.cold_seen_at = max(record.cold_seen_at, requested_at)

    def expire(self, name: str, now: float) -> bool:
        """Drop an expired proof; return whether there was one.

        Age is not a sign of cold, so the next valid proof counts at once.
        """
        record = self._records_by_name.get(name)
        if record is None or not record.is_proved:
            return False
        if now < record.proved_at + record.bound_s:
            return False
        record.is_proved = False
        record.reason = UnprovenReason.STALE
        return True

    def forget(self, name: str) -> None:
        """Remove the record of an upstream."""
        self._records_by_name.pop(name, None)

    # Queries.

    def is_warm(self, name: str, now: float) -> bool:
        """Return whether there is a valid proof of warmth."""
        record = self._records_by_name.get(name)
        if record is None or not record.is_proved:
            return False
        return now < record.proved_at + record.bound_s

    def is_proved_after(self, name: str, moment: float) -> bool:
        """Return whether there is a proof of a later time."""
        record = self._records_by_name.get(name)
        if record is None or not record.is_proved:
            return False
        return record.proved_at > moment

    def find_incarnation(self, name: str) -> int:
        """Return the last incarnation observed in a response; 0 if none."""
        record = self._records_by_name.get(name)
        return 0 if record is None else record.incarnation

    def find_expiry(self, name: str) -> float:
        """Return when the proof expires; negative infinity without one."""
        record = self._records_by_name.get(name)
        if record is None or not record.is_proved:
            return _NEVER
        return record.proved_at + record.bound_s

    def find_invalidated_at(self, name: str) -> float:
        """Return the last invalidation time; negative infinity if never."""
        record = self._records_by_name.get(name)
        return _NEVER if record is None else record.invalidated_at

    def find_reason(self, name: str) -> UnprovenReason:
        """Return why the upstream is unproven."""
        record = self._records_by_name.get(name)
        return UnprovenReason.NEW if record is None else record.reason

    def find_settled_at(self, name: str) -> float:
        """Return when the upstream is settled; infinite if unknown."""
        record = self._records_by_name.get(name)
        if record is None or record.cold_since is None:
            return _UNKNOWN
        return record.cold_since + self.bound_s

    def is_cold_confirmed(self, name: str, now: float) -> bool:
        """Return whether the upstream itself recently stated it is cold."""
        record = self._records_by_name.get(name)
        if record is None or record.cold_since is None:
            return False
        return now - record.cold_seen_at <= self._gap_s

    def _ensure_record(self, name: str, incarnation: int) -> _Record:
        """Get or create the record; reset it for a higher incarnation."""
        record = self._records_by_name.get(name)
        if record is None:
            record = _Record(
                incarnation,
                _NEVER,
                _NEVER,
                UnprovenReason.NEW,
                self.bound_s,
            )
            self._records_by_name[name] = record
            return record
        if incarnation > record.incarnation:
            record.incarnation = incarnation
            record.proved_at = _NEVER
            record.invalidated_at = _NEVER
            record.is_proved = False
            record.cold_since = None
            record.needs_span = record.reason is not UnprovenReason.NEW
            record.reason = UnprovenReason.RESTARTED
            record.warm_from = None
        return record


def _has_warm_span(record: _Record, latest_start: float, now: float) -> bool:
    """Return whether warmth was observed since ``latest_start``."""
    if not record.needs_span:
        return True
    if record.warm_from is None:
        # It may have turned warm as late as now.
        record.warm_from = now
    if record.warm_from > latest_start:
        return False
    record.needs_span = False
    record.warm_from = None
    return True
