"""The order in which the entries of a table are sent.

New keys come first, for a number of transmissions. All others are sent in
rotation, the least recently sent first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar, final

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator

_Key = TypeVar('_Key', bound='Hashable')


@final
class Rotation(Generic[_Key]):
    """Keys of a table, in the order in which they should be sent."""

    def __init__(self) -> None:
        """Create a rotation without keys."""
        # Remaining transmissions by key; dicts keep the insertion order.
        self._transmissions_by_new_key: dict[_Key, int] = {}
        self._others: dict[_Key, None] = {}

    def add(self, key: _Key, transmissions: int) -> None:
        """Add a new key, to be sent first for this many transmissions."""
        self.discard(key)
        if transmissions > 0:
            self._transmissions_by_new_key[key] = transmissions
        else:
            self._others[key] = None

    def ensure(self, key: _Key) -> None:
        """Add a key that is not new; a present one keeps its position."""
        if key not in self._transmissions_by_new_key:
            self._others.setdefault(key, None)

    def discard(self, key: _Key) -> None:
        """Remove a key if it is present."""
        self._transmissions_by_new_key.pop(key, None)
        self._others.pop(key, None)

    def record_sent(self, key: _Key, copies: int) -> None:
        """Count transmissions of a key and move it to the end of its queue."""
        transmissions = self._transmissions_by_new_key.pop(key, 0)
        if transmissions > copies:
            self._transmissions_by_new_key[key] = transmissions - copies
            return
        self._others.pop(key, None)
        self._others[key] = None

    def iterate_new(self) -> Iterator[_Key]:
        """Yield the new keys in order; do not modify while iterating."""
        yield from self._transmissions_by_new_key

    def iterate_newest(self) -> Iterator[_Key]:
        """Yield the new keys, the most recently added or sent first."""
        yield from reversed(self._transmissions_by_new_key)

    def iterate_others(self) -> Iterator[_Key]:
        """Yield the other keys in order; do not modify while iterating."""
        yield from self._others

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._transmissions_by_new_key) + len(self._others)
