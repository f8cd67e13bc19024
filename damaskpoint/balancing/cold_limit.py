"""Limits the requests that all instances together send to a cold runner.

Only a few instances, chosen by rendezvous hashing, send to a cold runner.
Each of them has its own rate limit, low enough that two sets of instances,
chosen from different views of the live instances, stay within the bound
together.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.balancing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

# Instances that may send to one cold runner: two, so that the loss of one
# does not leave the runner idle.
_SENDERS_PER_RUNNER: Final = 2
# One second, the window of the bound, plus an allowance for delays of timers
# and the network.
_WINDOW_S: Final = 1.05
# Different views of the live instances that may be in use while membership
# changes.
_CONCURRENT_VIEWS: Final = 2


@final
@dataclass(frozen=True, slots=True)
class ColdBound:
    """The bound on the requests to a cold runner in any second.

    It is the rate of the runner while cold, times ``overshoot``, plus
    ``slack``.
    """

    overshoot: float
    slack: float

    def per_sender_limit(self, cold_per_s: float) -> int:
        """Return how many requests one sender may send in any second."""
        bound = cold_per_s * self.overshoot + self.slack
        return max(1, int(bound / (_SENDERS_PER_RUNNER * _CONCURRENT_VIEWS)))


@final
class ColdLimiter:
    """Limits the requests of this instance to each cold runner."""

    def __init__(self, own_name: str, bound: ColdBound) -> None:
        """Start with no requests sent."""
        self._own_name = own_name
        self._bound = bound
        self._sent_at_by_runner: dict[str, list[float]] = {}

    def may_send(
        self,
        runner: str,
        cold_per_s: float,
        instances: Iterable[str],
        now: float,
    ) -> bool:
        """Return whether this instance may send to a cold runner now."""
        senders = rendezvous.order(instances, runner)[:_SENDERS_PER_RUNNER]
        if self._own_name not in senders:
            return False
        per_sender_limit = self._bound.per_sender_limit(cold_per_s)
        recent = self._find_recent(runner, now)
        if len(recent) >= per_sender_limit:
            return False
        # Requests are spread evenly, so that no sliding window of a second
        # exceeds the limit.
        gap_s = _WINDOW_S / (per_sender_limit + 1)
        return not recent or now - recent[-1] >= gap_s

    def record_sent(self, runner: str, now: float) -> None:
        """Record a request sent to a cold runner."""
        recent = self._find_recent(runner, now)
        recent.append(now)
        self._sent_at_by_runner[runner] = recent

    def forget(self, runner: str) -> None:
        """Drop the record of a runner that is warm or gone."""
        self._sent_at_by_runner.pop(runner, None)

    def _find_recent(self, runner: str, now: float) -> list[float]:
        sent_at = self._sent_at_by_runner.get(runner, [])
        return [at for at in sent_at if now - at < _WINDOW_S]
