"""The configuration in force and the runners, as one process knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.catalog.runners import RunnerTable
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Configuration, Service


@final
class Catalog(StateSource):
    """Versions never go back; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.configuration: Configuration | None = None
        self.runners = RunnerTable()
        self._applied_at = float(0)

    def apply(self, configuration: Configuration, now: float) -> bool:
        """Put a version in force; return whether it was newer."""
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        self.configuration = configuration
        self._applied_at = now
        return True

    def find_service(self, name: str) -> Service | None:
        """Return a service of the configuration in force, or None."""
        if self.configuration is None:
            return None
        return self.configuration.services_by_name.get(name)

    def max_cold_s(self) -> float:
        """Return for how long a runner of any service may be cold."""
        if self.configuration is None:
            return float(0)
        return max(
            (
                service.cold_s
                for service in self.configuration.services_by_name.values()
            ),
            default=float(0),
        )

    def configuration_age_s(self, now: float) -> float:
        """Return for how long the version in force has been so."""
        return now - self._applied_at

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the version in force and the runners."""
        version = None
        if self.configuration is not None:
            version = self.configuration.version
        return {
            'version': version,
            'age_s': round(self.configuration_age_s(now), 3),
            'runners': self.runners.dump_state(now),
        }
