"""The dump of a process's state, gathered from its parts on request."""

from __future__ import annotations

import abc


class StateSource(abc.ABC):
    """A part of a process that can show its state."""

    @abc.abstractmethod
    def dump_state(self, now: float) -> dict[str, object]:
        """Return plain JSON data; ``now`` is monotonic, in seconds."""


class StateRegistry:
    """The parts of one process, by the name that the dump shows."""

    def __init__(self) -> None:
        """Start with no parts."""
        self._sources_by_name: dict[str, StateSource] = {}

    def register(self, name: str, source: StateSource) -> None:
        """Add a part under a name of its own."""
        self._sources_by_name[name] = source

    def remove(self, name: str) -> None:
        """Remove a part that has ended."""
        self._sources_by_name.pop(name, None)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of every part."""
        dumped: dict[str, object] = {}
        for name, source in self._sources_by_name.items():
            dumped[name] = source.dump_state(now)
        return dumped
