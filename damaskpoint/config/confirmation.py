"""Decides whether the version in force may still be used.

An isolated process cannot know whether a higher version was accepted. It
keeps serving while the platform or a peer has recently confirmed its version
as the highest, or while it and its reachable peers are a majority of the last
known entries and it has seen no higher version. docs/design/configuration.md
lists the cases that this leaves open.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

from damaskpoint.errors import Code, Failure

# Versions with a tracked confirmation, including those not yet installed.
_MAX_TRACKED_VERSIONS: Final = 8
# Time after a stall during which buffered messages may still be read.
_BUFFER_DRAIN_S: Final = 1.0


@final
@dataclass(frozen=True, slots=True)
class ConfirmationBounds:
    """Time limits of a confirmation, in seconds."""

    # Maximum age of a confirmation that allows the version to be used.
    max_age_s: float
    # Gap between two iterations of the event loop above which it has stalled:
    # messages that it reads next may have waited in a buffer.
    stall_threshold_s: float


@final
class ConfirmationTracker:
    """Tracks when each version was last confirmed as the highest."""

    def __init__(self, bounds: ConfirmationBounds) -> None:
        """Start without confirmations and without reachable peers."""
        self._bounds = bounds
        self._confirmed_at_by_version: dict[int, float] = {}
        self._reachable_peers = 0
        self._known_peers = 0
        self._last_iteration_at: float | None = None
        self._draining_until: float = 0
        self._last_stall_s: float = 0

    def record_loop_iteration(self, now: float) -> None:
        """Record an iteration of the loop, and detect a stall before it."""
        if self._last_iteration_at is not None:
            gap = now - self._last_iteration_at
            if gap > self._bounds.stall_threshold_s:
                self._draining_until = now + _BUFFER_DRAIN_S
                self._last_stall_s = gap
        self._last_iteration_at = now

    def confirm(self, version: int, at: float) -> None:
        """Record that the version was the highest at time ``at``."""
        known = self._confirmed_at_by_version.get(version, at)
        self._confirmed_at_by_version[version] = max(known, at)
        while len(self._confirmed_at_by_version) > _MAX_TRACKED_VERSIONS:
            self._confirmed_at_by_version.pop(
                min(self._confirmed_at_by_version)
            )

    def confirm_through_peer(
        self, version: int, age_s: float, now: float
    ) -> None:
        """Record a peer's confirmation that was ``age_s`` old when received.

        A message that is read just after a stall may have waited for the
        length of that stall. One that is read before the first iteration
        of the event loop may be of any age and is ignored.
        """
        is_first_iteration = self._last_iteration_at is None
        self.record_loop_iteration(now)
        if is_first_iteration:
            return
        if now < self._draining_until:
            age_s += self._last_stall_s + _BUFFER_DRAIN_S
        self.confirm(version, now - max(age_s, 0))

    def set_reachability(self, reachable_peers: int, known_peers: int) -> None:
        """Set how many of the last known other entries are reachable."""
        self._reachable_peers = reachable_peers
        self._known_peers = known_peers

    def age_of(self, version: int, now: float) -> float | None:
        """Return the age of a version's confirmation in seconds, or None."""
        confirmed_at = self._confirmed_at_by_version.get(version)
        return None if confirmed_at is None else now - confirmed_at

    def check(
        self, version: int, highest_version: int, now: float
    ) -> Failure | None:
        """Return why a version must no longer be used, or None."""
        age_s = self.age_of(version, now)
        if age_s is not None and age_s <= self._bounds.max_age_s:
            return None
        confirmed = 'never' if age_s is None else f'{age_s:.1f} s ago'
        if highest_version > version:
            return Failure(
                Code.CONFIGURATION_STALE,
                f'version {highest_version} is known but not at hand; '
                f'version {version} was confirmed {confirmed}',
            )
        if self.reaches_majority() and not self._is_reachability_stale(now):
            return None
        return Failure(
            Code.CONFIGURATION_STALE,
            f'version {version} was confirmed {confirmed}, and only '
            f'{self._reachable_peers} of {self._known_peers} peers are reached',
        )

    def reaches_majority(self) -> bool:
        """Return whether this entry and its reachable peers are a majority."""
        return 2 * (self._reachable_peers + 1) > self._known_peers + 1

    def _is_reachability_stale(self, now: float) -> bool:
        """Return whether the reachable peers may predate a stall.

        They have been counted again by the time the buffers are drained.
        """
        if self._last_iteration_at is None or now < self._draining_until:
            return True
        return now - self._last_iteration_at > self._bounds.stall_threshold_s
