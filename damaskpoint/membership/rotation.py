"""The order in which the members of a table are told.

What is new goes first, for a number of tells; all else takes turns, the
least recently told first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar, final

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator

_Key = TypeVar('_Key', bound='Hashable')


@final
class Rotation(Generic[_Key]):
    """Keys of a table, in the order in which they should be told."""

    def __init__(self) -> None:
        """Start with nothing to tell."""
        # Tells that are left, by key; dicts keep the order of insertion.
        self._tells_by_new_key: dict[_Key, int] = {}
        self._others: dict[_Key, None] = {}

    def add(self, key: _Key, tells: int) -> None:
        """Tell the key first, in this many datagrams, then in turn."""
        self.discard(key)
        if tells > 0:
            self._tells_by_new_key[key] = tells
        else:
            self._others[key] = None

    def keep(self, key: _Key) -> None:
        """Tell the key in turn; one that is there keeps its place."""
        if key not in self._tells_by_new_key:
            self._others.setdefault(key, None)

    def discard(self, key: _Key) -> None:
        """Tell the key no more."""
        self._tells_by_new_key.pop(key, None)
        self._others.pop(key, None)

    def record_told(self, key: _Key, copies: int) -> None:
        """Count tells and put the key behind the others of its kind."""
        tells = self._tells_by_new_key.pop(key, 0)
        if tells > copies:
            self._tells_by_new_key[key] = tells - copies
            return
        self._others.pop(key, None)
        self._others[key] = None

    def iterate_new(self) -> Iterator[_Key]:
        """Return the new keys in order; to be used before any change."""
        yield from self._tells_by_new_key

    def iterate_newest(self) -> Iterator[_Key]:
        """Return the new keys, the last added or told first."""
        yield from reversed(self._tells_by_new_key)

    def iterate_others(self) -> Iterator[_Key]:
        """Return the other keys in order; to be used before any change."""
        yield from self._others

    def __len__(self) -> int:
        """Return how many keys there are."""
        return len(self._tells_by_new_key) + len(self._others)
