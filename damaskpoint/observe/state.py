"""Registry of the components whose state a process dumps on request."""

from __future__ import annotations

import abc


class StateSource(abc.ABC):
    """A component of a process that can dump its state."""

    @abc.abstractmethod
    def dump_state(self, now: float) -> dict[str, object]:
        """Return the state as JSON data; ``now`` is monotonic seconds."""


class StateRegistry:
    """The components of one process, by their names in the dump."""

    def __init__(self) -> None:
        """Start without components."""
        self._sources_by_name: dict[str, StateSource] = {}

    def register(self, name: str, source: StateSource) -> None:
        """Add a component under a unique name."""
        self._sources_by_name[name] = source

    def remove(self, name: str) -> None:
        """Remove a component, if it is registered."""
        self._sources_by_name.pop(name, None)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of every component by name."""
        dumped: dict[str, object] = {}
        for name, source in self._sources_by_name.items():
            dumped[name] = source.dump_state(now)
        return dumped
