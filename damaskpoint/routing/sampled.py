"""A set of names with random sampling in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator


@final
class SampledSet:
    """Names in a list, with the index of each name in it."""

    def __init__(self) -> None:
        """Start empty."""
        self._names: list[str] = []
        self._indexes_by_name: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._names)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names, in no particular order."""
        return iter(self._names)

    def __contains__(self, name: object) -> bool:
        """Return whether a name is in the set."""
        return name in self._indexes_by_name

    def add(self, name: str) -> None:
        """Add a name; adding it again has no effect."""
        if name in self._indexes_by_name:
            return
        self._indexes_by_name[name] = len(self._names)
        self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if present; the last name moves to its index."""
        index = self._indexes_by_name.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last == name:
            return
        self._names[index] = last
        self._indexes_by_name[last] = index

    def draw(self, rng: random.Random) -> str:
        """Return a random name; the set must not be empty."""
        return self._names[int(rng.random() * len(self._names))]
