"""The quarantines that an instance knows.

Each is of a set of parts, mostly of one, and applies to prompts with all of
them. Sets are identified by their key (see ``causes``).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.quarantine.causes import split_key
from damaskpoint.quarantine.model import Quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_MAX_QUARANTINES: Final = 4_096


@final
class QuarantineTable:
    """The newest quarantine of each set of parts, by its key."""

    def __init__(self) -> None:
        """Start without quarantines."""
        self._quarantines_by_key: dict[str, Quarantine] = {}
        self._keys_by_part: dict[str, set[str]] = {}

    @property
    def quarantines_by_key(self) -> Mapping[str, Quarantine]:
        """Return the newest quarantine of each set of parts."""
        return self._quarantines_by_key

    def list_covering(self, part_ids: Iterable[str]) -> list[str]:
        """Return the keys all of whose parts are among these."""
        known = frozenset(part_ids)
        return [
            key for key in self.list_touching(known) if split_key(key) <= known
        ]

    def list_touching(self, part_ids: Iterable[str]) -> list[str]:
        """Return the keys with any of these parts."""
        keys: set[str] = set()
        for part_id in part_ids:
            keys.update(self._keys_by_part.get(part_id, ()))
        return sorted(keys)

    def left_s(self, key: str, now: float) -> float:
        """Return how long a quarantine still lasts; 0 if there is none."""
        quarantine = self._quarantines_by_key.get(key)
        return max(0, quarantine.left_s(now)) if quarantine else 0

    def is_on_trial(self, key: str, now: float) -> bool:
        """Return whether a quarantine has ended without being lifted."""
        quarantine = self._quarantines_by_key.get(key)
        if quarantine is None or quarantine.is_lifted:
            return False
        return quarantine.left_s(now) <= 0 and not quarantine.is_forgotten(now)

    def begin(self, key: str, now: float) -> Quarantine:
        """Begin the next quarantine of a set of parts."""
        known = self._quarantines_by_key.get(key)
        number = 1
        if known is not None and not known.is_forgotten(now):
            number = known.number + 1
        quarantine = Quarantine(number, is_lifted=False, began_at=now)
        self.merge(key, quarantine, now)
        return quarantine

    def lift(self, key: str, now: float) -> Quarantine | None:
        """End a quarantine for good; return it, if there is one."""
        known = self._quarantines_by_key.get(key)
        if known is None or known.is_lifted or known.is_forgotten(now):
            return None
        lifted = Quarantine(known.number, True, known.began_at)
        self._quarantines_by_key[key] = lifted
        return lifted

    def merge(self, key: str, quarantine: Quarantine, now: float) -> bool:
        """Apply a quarantine if it is newer; return whether it was."""
        if quarantine.is_forgotten(now):
            return False
        known = self._quarantines_by_key.get(key)
        if known is not None and not known.is_forgotten(now):
            if quarantine.order <= known.order:
                return False
        if known is None and len(self._quarantines_by_key) >= _MAX_QUARANTINES:
            self._drop_oldest()
        self._quarantines_by_key[key] = quarantine
        for part_id in split_key(key):
            self._keys_by_part.setdefault(part_id, set()).add(key)
        return True

    def expire(self, now: float) -> None:
        """Drop the quarantines that are no longer remembered."""
        for key, quarantine in tuple(self._quarantines_by_key.items()):
            if quarantine.is_forgotten(now):
                self._drop(key)

    def _drop_oldest(self) -> None:
        self._drop(
            min(
                self._quarantines_by_key,
                key=lambda key: self._quarantines_by_key[key].began_at,
            )
        )

    def _drop(self, key: str) -> None:
        self._quarantines_by_key.pop(key)
        for part_id in split_key(key):
            keys = self._keys_by_part[part_id]
            keys.discard(key)
            if not keys:
                self._keys_by_part.pop(part_id)
