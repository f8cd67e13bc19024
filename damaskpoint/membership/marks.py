"""The table of marks: leaving and unproven upstreams, zones, prompt parts.

Of two marks with the same identity, the one with the higher incarnation and
sequence wins, regardless of the order of arrival.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.membership.facts import Mark, MarkIdentity, MarkKind
from damaskpoint.membership.rotation import Rotation
from damaskpoint.quarantine.model import (
    OUTCOME_KEEP_S,
    SUSPICION_KEEP_S,
    compute_memory_s,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


@final
class MarkTable:
    """The current marks, and the order in which to send them."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._marks_by_identity: dict[MarkIdentity, Mark] = {}
        self._version_in_force = 0
        self.rotation: Rotation[MarkIdentity] = Rotation()

    def merge(self, mark: Mark, now: float, transmissions: int) -> bool:
        """Add a mark unless a newer one is known; return whether it is new.

        A new mark is sent in ``transmissions`` datagrams ahead of others.
        """
        if self._is_expired(mark, now):
            return False
        identity = mark.identity
        known = self._marks_by_identity.get(identity)
        if known is not None and mark.order <= known.order:
            return False
        if known is None and len(self._marks_by_identity) >= defaults.MAX_MARKS:
            self._drop_oldest()
        self._marks_by_identity[identity] = mark
        self.rotation.add(identity, transmissions)
        return True

    def drop_superseded(self, version: int, now: float) -> None:
        """Drop zone marks older than the configuration version in force.

        Marks of that same version stay, for peers that do not have the
        version yet.
        """
        self._version_in_force = max(self._version_in_force, version)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop the marks that are too old or superseded."""
        for identity, mark in tuple(self._marks_by_identity.items()):
            if self._is_expired(mark, now):
                self._drop(identity)

    def find(self, identity: MarkIdentity) -> Mark | None:
        """Return the mark of an identity, or None."""
        return self._marks_by_identity.get(identity)

    def iterate(self) -> Iterator[Mark]:
        """Yield all marks."""
        yield from self._marks_by_identity.values()

    def __len__(self) -> int:
        """Return the number of marks."""
        return len(self._marks_by_identity)

    def _is_expired(self, mark: Mark, now: float) -> bool:
        if now - mark.happened_at > _find_keep_s(mark):
            return True
        if mark.kind is MarkKind.ZONE_OUT:
            return mark.incarnation < self._version_in_force
        return False

    def _drop_oldest(self) -> None:
        self._drop(
            min(
                self._marks_by_identity,
                key=lambda identity: (
                    self._marks_by_identity[identity].happened_at
                ),
            )
        )

    def _drop(self, identity: MarkIdentity) -> None:
        self._marks_by_identity.pop(identity)
        self.rotation.discard(identity)


def _find_keep_s(mark: Mark) -> float:
    """Return for how long after its time a mark is kept (seconds)."""
    if mark.kind is MarkKind.UNPROVEN:
        return defaults.UNPROVEN_KEEP_S
    if mark.kind is MarkKind.SUSPECTED_PART:
        return SUSPICION_KEEP_S
    if mark.kind is MarkKind.BROKEN_RUN:
        return OUTCOME_KEEP_S
    if mark.kind is MarkKind.QUARANTINED_PART:
        return compute_memory_s(mark.incarnation)
    return defaults.MARK_KEEP_S
