"""Whether an upstream is proven warm; unproven is cold.

A proof is an answer or a load report that says warm. It counts from the
earliest moment that it can speak of: an answer from when its call was sent,
a report from when it was asked for, less the bound on its lag. It must be
younger than a bound, of the incarnation that was last seen, and later than
the last sign of cold. So, once an upstream has turned cold, no entry holds
a proof for longer than the bound, whatever messages are lost.

An entry that has seen the upstream itself say cold, again and again with
short gaps, knows from the first time on, plus the bound, that nobody else
holds a proof: the upstream is *settled*. A longer gap, a proof or a higher
incarnation breaks the chain, since it may have been warm in between.

One that has said cold, or has restarted, must say warm over a span of time
before that is a proof. The span is longer than the distance of two reports,
so whoever polls the upstream under a lease has seen it warm by then.
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
    # A peer's report shows it cold.
    TOLD_COLD = 'told_cold'


SIGNS_OF_COLD = frozenset(
    (
        UnprovenReason.SAID_COLD,
        UnprovenReason.TOLD_COLD,
    )
)


@final
@dataclass(slots=True)
class _Warmth:
    """Proof and doubt of one upstream; times are monotonic seconds."""

    incarnation: int
    proved_at: float
    doubted_at: float
    reason: UnprovenReason
    # Age past which a proof proves nothing.
    bound_s: float
    was_warm: bool = False
    # Latest time of the first, and earliest time of the last, of a chain of
    # answers that said cold; None if broken.
    cold_since: float | None = None
    # Whether warmth must be seen over a span, and from when it is.
    needs_span: bool = False
    warm_from: float | None = None
    cold_seen_at: float = _NEVER


@final
class WarmthBook:
    """Proofs and doubts of all upstreams, as one entry knows them."""

    def __init__(
        self, bound_s: float, span_s: float = 0, gap_s: float = 0
    ) -> None:
        """Keep the bounds (seconds).

        ``bound_s`` is the age past which a proof proves nothing, ``span_s``
        the time over which a cold upstream must be seen warm, and ``gap_s``
        the longest time between two signs of cold of one chain.
        """
        self.bound_s = bound_s
        self._span_s = span_s
        self._gap_s = gap_s
        self._warmth_by_name: dict[str, _Warmth] = {}

    # Commands; some return whether the upstream changed state by it.

    def lengthen(self, name: str, bound_s: float) -> None:
        """Let proofs of an upstream that does not report hold longer."""
        self._meet(name, 0).bound_s = bound_s

    def prove(
        self, name: str, incarnation: int, proved_at: float, now: float
    ) -> bool:
        """Take a proof of warmth; an old one changes nothing."""
        warmth = self._meet(name, incarnation)
        if incarnation < warmth.incarnation:
            return False
        if proved_at <= warmth.doubted_at:
            return False
        if not _is_seen_long(warmth, proved_at - self._span_s, now):
            return False
        warmth.proved_at = max(warmth.proved_at, proved_at)
        if now >= warmth.proved_at + warmth.bound_s:
            return False
        was_warm = warmth.was_warm
        warmth.cold_since = None
        warmth.was_warm = True
        return not was_warm

    def doubt(
        self,
        name: str,
        incarnation: int | None,
        reason: UnprovenReason,
        now: float,
    ) -> bool:
        """Take a sign that the upstream is not, or may not be, warm.

        ``incarnation`` None means the one that was last seen.
        """
        known = self._warmth_by_name.get(name)
        if known is None:
            known = self._meet(name, incarnation or 0)
        seen = known.incarnation if incarnation is None else incarnation
        if seen < known.incarnation:
            return False
        is_change = known.was_warm or seen > known.incarnation
        if seen > known.incarnation or reason in SIGNS_OF_COLD:
            known.needs_span = True
        known.incarnation = seen
        if is_change:
            known.cold_since = None
        known.doubted_at = now
        known.was_warm = False
        known.reason = reason
        known.warm_from = None
        return is_change

    def note_cold(self, name: str, asked_at: float, now: float) -> None:
        """Take the upstream's own word, asked for by this entry."""
        warmth = self._warmth_by_name[name]
        warmth.needs_span = True
        # It was cold at some moment between the asking and now.
        if now - warmth.cold_seen_at > self._gap_s:
            warmth.cold_since = None
        if warmth.cold_since is None:
            warmth.cold_since = now
        warmth.cold_seen_at = max(warmth.cold_seen_at, asked_at)

    def expire(self, name: str, now: float) -> bool:
        """Let a proof that is too old go.

        Age is no sign of cold, so the next valid proof counts at once.
        """
        warmth = self._warmth_by_name.get(name)
        if warmth is None or not warmth.was_warm:
            return False
        if now < warmth.proved_at + warmth.bound_s:
            return False
        warmth.was_warm = False
        warmth.reason = UnprovenReason.STALE
        return True

    def forget(self, name: str) -> None:
        """Drop what is known of an upstream."""
        self._warmth_by_name.pop(name, None)

    # Queries.

    def is_warm(self, name: str, now: float) -> bool:
        """Return whether a valid proof of warmth is held."""
        warmth = self._warmth_by_name.get(name)
        if warmth is None or not warmth.was_warm:
            return False
        return now < warmth.proved_at + warmth.bound_s

    def is_proved_after(self, name: str, moment: float) -> bool:
        """Return whether the proof held speaks of a later moment."""
        warmth = self._warmth_by_name.get(name)
        if warmth is None or not warmth.was_warm:
            return False
        return warmth.proved_at > moment

    def find_incarnation(self, name: str) -> int:
        """Return the incarnation that answers showed last; 0 if none did."""
        warmth = self._warmth_by_name.get(name)
        return 0 if warmth is None else warmth.incarnation

    def find_expiry(self, name: str) -> float:
        """Return when the proof runs out; the past if there is none."""
        warmth = self._warmth_by_name.get(name)
        if warmth is None or not warmth.was_warm:
            return _NEVER
        return warmth.proved_at + warmth.bound_s

    def find_doubt(self, name: str) -> float:
        """Return when warmth was last doubted; the past if never."""
        warmth = self._warmth_by_name.get(name)
        return _NEVER if warmth is None else warmth.doubted_at

    def find_reason(self, name: str) -> UnprovenReason:
        """Return why the upstream is unproven."""
        warmth = self._warmth_by_name.get(name)
        return UnprovenReason.NEW if warmth is None else warmth.reason

    def find_settled(self, name: str) -> float:
        """Return from when nobody else can hold a proof; else infinite."""
        warmth = self._warmth_by_name.get(name)
        if warmth is None or warmth.cold_since is None:
            return _UNKNOWN
        return warmth.cold_since + self.bound_s

    def is_cold_confirmed(self, name: str, now: float) -> bool:
        """Return whether the upstream itself said cold a short time ago."""
        warmth = self._warmth_by_name.get(name)
        if warmth is None or warmth.cold_since is None:
            return False
        return now - warmth.cold_seen_at <= self._gap_s

    def _meet(self, name: str, incarnation: int) -> _Warmth:
        """Return the record; a new or higher incarnation is unproven."""
        known = self._warmth_by_name.get(name)
        if known is None:
            known = _Warmth(
                incarnation,
                _NEVER,
                _NEVER,
                UnprovenReason.NEW,
                self.bound_s,
            )
            self._warmth_by_name[name] = known
            return known
        if incarnation > known.incarnation:
            known.incarnation = incarnation
            known.proved_at = _NEVER
            known.doubted_at = _NEVER
            known.was_warm = False
            known.cold_since = None
            known.needs_span = known.reason is not UnprovenReason.NEW
            known.reason = UnprovenReason.RESTARTED
            known.warm_from = None
        return known


def _is_seen_long(warmth: _Warmth, latest_start: float, now: float) -> bool:
    """Return whether warmth was seen from ``latest_start`` or before."""
    if not warmth.needs_span:
        return True
    if warmth.warm_from is None:
        # It may have turned warm as late as now.
        warmth.warm_from = now
    if warmth.warm_from > latest_start:
        return False
    warmth.needs_span = False
    warmth.warm_from = None
    return True
