"""Counts the consecutive failures of runs by prompt part, over all instances.

Failures are ordered without comparing clocks: a run carries the suspicion
that its instance knew when it was sent. If it fails, the count becomes one more
than that; runs that fail at the same time, in one crash or one network fault,
therefore count once. A run that begins its answer clears its parts.
"""

from __future__ import annotations

from typing import Final, final

from damaskpoint.quarantine.model import Suspicion

_NONE: Final = Suspicion()
_MAX_PARTS: Final = 4_096


@final
class SuspicionTable:
    """The suspected parts, by id."""

    def __init__(self) -> None:
        """Start without suspicions."""
        self._suspicions_by_part: dict[str, Suspicion] = {}
        # When the first failure of the present epoch became known here.
        self._since_by_part: dict[str, float] = {}

    def find(self, part_id: str, now: float) -> Suspicion:
        """Return the suspicion of a part, without failures if there is none."""
        suspicion = self._suspicions_by_part.get(part_id, _NONE)
        return _NONE if suspicion.is_expired(now) else suspicion

    def suspected_since(self, part_id: str, now: float) -> float:
        """Return since when a part has been suspected; ``now`` if it is not."""
        return self._since_by_part.get(part_id, now)

    def record_failure(self, part_id: str, seen: Suspicion, now: float) -> bool:
        """Record a failed run; return whether that is news for the peers.

        ``seen`` is the suspicion when the run was sent. The failure does not
        count if the part has been cleared since then.
        """
        return self.merge(
            part_id, Suspicion(seen.epoch, seen.failures + 1, now), now
        )

    def clear(self, part_id: str, now: float) -> bool:
        """Reset the failures of a part; return whether that is news."""
        known = self.find(part_id, now)
        if not known.failures:
            return False
        return self.merge(part_id, Suspicion(known.epoch + 1, 0, now), now)

    def merge(self, part_id: str, suspicion: Suspicion, now: float) -> bool:
        """Apply a suspicion if it is newer; return whether it was."""
        known = self.find(part_id, now)
        if suspicion.is_expired(now) or suspicion.order <= known.order:
            return False
        if part_id not in self._suspicions_by_part:
            self._make_room()
        self._suspicions_by_part[part_id] = suspicion
        if not suspicion.failures:
            self._since_by_part.pop(part_id, None)
        elif suspicion.epoch != known.epoch or not known.failures:
            self._since_by_part[part_id] = suspicion.changed_at
        return True

    def expire(self, now: float) -> None:
        """Drop the suspicions that are too old to count."""
        for part_id, suspicion in tuple(self._suspicions_by_part.items()):
            if suspicion.is_expired(now):
                self._drop(part_id)

    def list_suspected(self, now: float) -> dict[str, int]:
        """Return the number of failures by part, without cleared parts."""
        failures_by_part: dict[str, int] = {}
        for part_id in self._suspicions_by_part:
            suspicion = self.find(part_id, now)
            if suspicion.failures:
                failures_by_part[part_id] = suspicion.failures
        return failures_by_part

    def _make_room(self) -> None:
        if len(self._suspicions_by_part) >= _MAX_PARTS:
            self._drop(
                min(
                    self._suspicions_by_part,
                    key=lambda part_id: (
                        self._suspicions_by_part[part_id].changed_at
                    ),
                )
            )

    def _drop(self, part_id: str) -> None:
        self._suspicions_by_part.pop(part_id)
        self._since_by_part.pop(part_id, None)
