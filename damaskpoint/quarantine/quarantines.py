"""The quarantines of prompt parts that an instance knows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.quarantine.model import Quarantine

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_PARTS: Final = 4_096


@final
class QuarantineTable:
    """The newest quarantine of each part, by its id."""

    def __init__(self) -> None:
        """Start without quarantines."""
        self._quarantines_by_part: dict[str, Quarantine] = {}

    def left_s(self, part_id: str, now: float) -> float:
        """Return for how long a part is in quarantine; 0 if it is not."""
        quarantine = self._quarantines_by_part.get(part_id)
        return max(0, quarantine.left_s(now)) if quarantine else 0

    def is_on_trial(self, part_id: str, now: float) -> bool:
        """Return whether a quarantine has ended without being lifted."""
        quarantine = self._quarantines_by_part.get(part_id)
        if quarantine is None or quarantine.is_lifted:
            return False
        return quarantine.left_s(now) <= 0 and not quarantine.is_forgotten(now)

    def begin(self, part_id: str, now: float) -> Quarantine:
        """Begin the next quarantine of a part."""
        known = self._quarantines_by_part.get(part_id)
        number = 1
        if known is not None and not known.is_forgotten(now):
            number = known.number + 1
        quarantine = Quarantine(number, is_lifted=False, began_at=now)
        self.merge(part_id, quarantine, now)
        return quarantine

    def lift(self, part_id: str, now: float) -> Quarantine | None:
        """End the quarantine of a part for good; return it, if there is one."""
        known = self._quarantines_by_part.get(part_id)
        if known is None or known.is_lifted or known.is_forgotten(now):
            return None
        lifted = Quarantine(known.number, True, known.began_at)
        self._quarantines_by_part[part_id] = lifted
        return lifted

    def merge(self, part_id: str, quarantine: Quarantine, now: float) -> bool:
        """Apply a quarantine if it is newer; return whether it was."""
        if quarantine.is_forgotten(now):
            return False
        known = self._quarantines_by_part.get(part_id)
        if known is not None and not known.is_forgotten(now):
            if quarantine.order <= known.order:
                return False
        if known is None and len(self._quarantines_by_part) >= _MAX_PARTS:
            self._drop_oldest()
        self._quarantines_by_part[part_id] = quarantine
        return True

    def expire(self, now: float) -> None:
        """Drop the quarantines that are no longer remembered."""
        for part_id, quarantine in tuple(self._quarantines_by_part.items()):
            if quarantine.is_forgotten(now):
                self._quarantines_by_part.pop(part_id)

    @property
    def quarantines_by_part(self) -> Mapping[str, Quarantine]:
        """Return the newest quarantine of each part."""
        return self._quarantines_by_part

    def _drop_oldest(self) -> None:
        oldest = min(
            self._quarantines_by_part,
            key=lambda part_id: self._quarantines_by_part[part_id].began_at,
        )
        self._quarantines_by_part.pop(oldest)
