"""The table of marks: leaving and unproven upstreams, zones taken out.

A mark only removes choices. Of two marks of one identity the one with the
higher incarnation and sequence holds, whatever the order of arrival.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.membership.facts import Mark, MarkIdentity, MarkKind
from damaskpoint.membership.rotation import Rotation

if TYPE_CHECKING:
    from collections.abc import Iterator


@final
class MarkTable:
    """The marks that hold, and the order in which to tell them."""

    def __init__(self) -> None:
        """Start without marks."""
        self._marks_by_identity: dict[MarkIdentity, Mark] = {}
        self._version_in_force = 0
        self.rotation: Rotation[MarkIdentity] = Rotation()

    def merge(self, mark: Mark, now: float, tells: int) -> bool:
        """Take over a mark; return whether it says something new."""
        if self._is_over(mark, now):
            return False
        identity = mark.identity
        known = self._marks_by_identity.get(identity)
        if known is not None and mark.order <= known.order:
            return False
        if known is None and len(self._marks_by_identity) >= defaults.MAX_MARKS:
            self._drop_oldest()
        self._marks_by_identity[identity] = mark
        self.rotation.add(identity, tells)
        return True

    def supersede(self, version: int, now: float) -> None:
        """Drop zone marks that a configuration in force has overtaken.

        One of the very version in force stays, for those who have it not.
        """
        self._version_in_force = max(self._version_in_force, version)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop the marks that no longer say anything."""
        for identity, mark in tuple(self._marks_by_identity.items()):
            if self._is_over(mark, now):
                self._drop(identity)

    def find(self, identity: MarkIdentity) -> Mark | None:
        """Return the mark of an identity, or None."""
        return self._marks_by_identity.get(identity)

    def iterate(self) -> Iterator[Mark]:
        """Return all marks that are held."""
        yield from self._marks_by_identity.values()

    def __len__(self) -> int:
        """Return how many marks are held."""
        return len(self._marks_by_identity)

    def _is_over(self, mark: Mark, now: float) -> bool:
        keep_s = defaults.MARK_KEEP_S
        if mark.kind is MarkKind.UNPROVEN:
            keep_s = defaults.UNPROVEN_KEEP_S
        if now - mark.happened_at > keep_s:
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
