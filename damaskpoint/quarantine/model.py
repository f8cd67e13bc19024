"""States of a prompt part, and for how long they hold.

All instances converge to the state with the highest order, regardless of the
order in which they learn of the states. Times are monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

# Time after its last change for which a suspicion holds (seconds).
SUSPICION_KEEP_S: Final = 60.0
# Time for which the outcome of a run is kept for comparisons (seconds).
OUTCOME_KEEP_S: Final = 30.0
# Length of a part's first quarantine, its growth with each further one, and
# its maximum (seconds).
_FIRST_LENGTH_S: Final = 600.0
_LENGTH_GROWTH: Final = 2.0
_MAX_LENGTH_S: Final = 3_600.0
# How long a quarantine is remembered, as a multiple of its length: a part that
# still crashes a runner after its quarantine is refused again at once.
_MEMORY_FACTOR: Final = 2.0


@final
@dataclass(frozen=True, slots=True)
class Suspicion:
    """Consecutive failures of runs whose prompts have a part.

    A failure counts once for all runs that were in progress at that time: a
    run that fails adds one to the failures that its instance knew when it was
    sent.
    """

    # Increases with each success after a failure, which resets the failures.
    epoch: int = 0
    failures: int = 0
    # When the part last failed, or was cleared.
    changed_at: float = float('-inf')

    @property
    def order(self) -> tuple[int, int]:
        """Return the key that orders suspicions from old to new."""
        return (self.epoch, self.failures)

    def is_expired(self, now: float) -> bool:
        """Return whether it is too old to count."""
        return now - self.changed_at > SUSPICION_KEEP_S


@final
@dataclass(frozen=True, slots=True)
class Quarantine:
    """A time for which requests with a part are refused."""

    # Counts the quarantines of the part, from 1.
    number: int
    # Whether it ended early, as a run with the part succeeded.
    is_lifted: bool
    began_at: float

    @property
    def order(self) -> tuple[int, bool]:
        """Return the key that orders quarantines from old to new."""
        return (self.number, self.is_lifted)

    def left_s(self, now: float) -> float:
        """Return the time until it ends, at most 0 if it has ended."""
        if self.is_lifted:
            return 0
        return self.began_at + compute_length_s(self.number) - now

    def is_forgotten(self, now: float) -> bool:
        """Return whether it no longer counts for the next quarantine."""
        return now - self.began_at > compute_memory_s(self.number)


def compute_length_s(number: int) -> float:
    """Return the length of a part's quarantine with this number (seconds)."""
    length_s = _FIRST_LENGTH_S
    for _ in range(1, number):
        length_s *= _LENGTH_GROWTH
        if length_s >= _MAX_LENGTH_S:
            return _MAX_LENGTH_S
    return length_s


def compute_memory_s(number: int) -> float:
    """Return how long after its begin a quarantine is remembered (seconds)."""
    return compute_length_s(number) * _MEMORY_FACTOR
