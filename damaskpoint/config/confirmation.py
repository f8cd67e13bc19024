"""Decides whether the version in force may still be used.

A process that is cut off cannot know whether a higher version was accepted.
It serves while its version was confirmed lately as the highest, by the
platform or through peers, or while it reaches more than half of the entries
that it last knew and knows of no higher version: see
docs/design/configuration.md for the cases that this leaves open.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, final

from damaskpoint.errors import Code, Failure

# Versions whose confirmations are kept while they wait to be installed.
_MAX_KEPT_VERSIONS: Final = 8
# Time after a stall during which messages may stem from before its end.
_DRAIN_S: Final = 1.0


@final
@dataclass(frozen=True, slots=True)
class ConfirmationBounds:
    """Bounds on what counts as lately, in seconds."""

    # Age of a confirmation up to which the version is used.
    max_age_s: float
    # Silence of the loop past which it counts as stalled, so that what it
    # reads next may have waited in a buffer.
    stall_s: float


@final
class ConfirmationTracker:
    """Keeps when versions were last known to be the highest."""

    def __init__(self, bounds: ConfirmationBounds) -> None:
        """Start without confirmations, reaching nobody."""
        self._bounds = bounds
        self._confirmed_at_by_version: dict[int, float] = {}
        self._reached_peers = 0
        self._known_peers = 0
        self._last_turn: float | None = None
        self._draining_until: float = 0
        self._stall_s: float = 0

    def note_turn(self, now: float) -> None:
        """Notice a turn of the loop, and a stall before it."""
        if self._last_turn is not None:
            gap = now - self._last_turn
            if gap > self._bounds.stall_s:
                self._draining_until = now + _DRAIN_S
                self._stall_s = gap
        self._last_turn = now

    def confirm(self, version: int, at: float) -> None:
        """Note that the version was the highest at a past time."""
        known = self._confirmed_at_by_version.get(version, at)
        self._confirmed_at_by_version[version] = max(known, at)
        while len(self._confirmed_at_by_version) > _MAX_KEPT_VERSIONS:
            self._confirmed_at_by_version.pop(
                min(self._confirmed_at_by_version)
            )

    def confirm_through_peer(
        self, version: int, age_s: float, now: float
    ) -> None:
        """Add a peer's confirmation, whose age counts until its arrival.

        A message that is read just after a stall may be as old as that; one
        before the first known turn of the loop may be of any age.
        """
        is_first = self._last_turn is None
        self.note_turn(now)
        if is_first:
            return
        if now < self._draining_until:
            age_s += self._stall_s + _DRAIN_S
        self.confirm(version, now - max(age_s, 0))

    def set_reachability(self, reached_peers: int, known_peers: int) -> None:
        """Note how many of the other entries last known are reached."""
        self._reached_peers = reached_peers
        self._known_peers = known_peers

    def age_of(self, version: int, now: float) -> float | None:
        """Return the age of a version's confirmation, None if it has none."""
        confirmed_at = self._confirmed_at_by_version.get(version)
        return None if confirmed_at is None else now - confirmed_at

    def check(
        self, version: int, highest_version: int, now: float
    ) -> Failure | None:
        """Return why a version may not be used any more, or None."""
        age_s = self.age_of(version, now)
        if age_s is not None and age_s <= self._bounds.max_age_s:
            return None
        seen = 'never' if age_s is None else f'{age_s:.1f} s ago'
        if highest_version > version:
            return Failure(
                Code.CONFIGURATION_STALE,
                f'version {highest_version} is known but not at hand; '
                f'version {version} was confirmed {seen}',
            )
        if self.reaches_majority() and not self._is_reach_old(now):
            return None
        return Failure(
            Code.CONFIGURATION_STALE,
            f'version {version} was confirmed {seen}, and only '
            f'{self._reached_peers} of {self._known_peers} peers are reached',
        )

    def reaches_majority(self) -> bool:
        """Return whether more than half are reached, itself included."""
        return 2 * (self._reached_peers + 1) > self._known_peers + 1

    def _is_reach_old(self, now: float) -> bool:
        """Return whether the reach may stem from before a stall.

        It is counted anew within the time that buffers take to drain.
        """
        if self._last_turn is None or now < self._draining_until:
            return True
        return now - self._last_turn > self._bounds.stall_s
