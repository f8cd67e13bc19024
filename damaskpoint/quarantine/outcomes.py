"""Compares the runs with a prompt part with those without it.

It knows each run of this instance, each broken run of its peers, and how many
runs these have begun.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import Final, final

from damaskpoint.quarantine.model import OUTCOME_KEEP_S

_MAX_OUTCOMES: Final = 8_192


@final
@dataclass(frozen=True, slots=True)
class _Outcome:
    """Runs that began their answers or broke, all at once or in some time."""

    # Start of that time, and when its end was known here.
    since: float
    known_at: float
    # Empty for runs that peers have begun: their parts are not known, but none
    # of them crashes runners.
    part_ids: frozenset[str]
    begun: int
    broken: int


@final
@dataclass(frozen=True, slots=True)
class _PeerCount:
    """The runs that a peer has begun since its start, as last received."""

    start: int
    begun: int
    received_at: float


@final
class RunOutcomes:
    """The recent runs of all instances at one service."""

    def __init__(self) -> None:
        """Start without runs."""
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=_MAX_OUTCOMES
        )
        self._counts_by_peer: dict[str, _PeerCount] = {}
        # Runs of this instance that have begun since its start.
        self.begun_here = 0

    def record_begun(self, part_ids: tuple[str, ...], now: float) -> None:
        """Record a run of this instance that began its answer."""
        self.begun_here += 1
        self._outcomes.append(_Outcome(now, now, frozenset(part_ids), 1, 0))

    def record_broken(self, part_ids: tuple[str, ...], now: float) -> None:
        """Record a run of any instance that broke before an event."""
        self._outcomes.append(_Outcome(now, now, frozenset(part_ids), 0, 1))

    def record_peer(
        self, name: str, start: int, begun: int, now: float
    ) -> None:
        """Record the number of runs that a peer has begun since its start."""
        known = self._counts_by_peer.get(name)
        if known is not None and known.start == start:
            if begun > known.begun:
                grown = begun - known.begun
                self._outcomes.append(
                    _Outcome(known.received_at, now, frozenset(), grown, 0)
                )
            begun = max(begun, known.begun)
        self._counts_by_peer[name] = _PeerCount(start, begun, now)

    def estimate_failure_rate(
        self, part_ids: frozenset[str], since: float
    ) -> float:
        """Return the failure rate of runs without these parts, since a time.

        It is Laplace's estimate, which is high for few runs; 1 if none has
        begun its answer.
        """
        begun = 0
        broken = 0
        for outcome in reversed(self._outcomes):
            if outcome.known_at < since:
                break
            if outcome.since < since or part_ids <= outcome.part_ids:
                continue
            begun += outcome.begun
            broken += outcome.broken
        if not begun:
            return 1
        return (broken + 1) / (begun + broken + 2)

    def expire(self, now: float) -> None:
        """Drop what is too old, and the counts of silent peers."""
        oldest = now - OUTCOME_KEEP_S
        while self._outcomes and self._outcomes[0].known_at < oldest:
            self._outcomes.popleft()
        for name, count in tuple(self._counts_by_peer.items()):
            if count.received_at < oldest:
                self._counts_by_peer.pop(name)
