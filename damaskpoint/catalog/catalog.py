"""The configuration in force and the known runners of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from damaskpoint.catalog.runners import RunnerTable
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from damaskpoint.catalog.model import Configuration, Service


@final
class Catalog(StateSource):
    """Current configuration and runners; times are monotonic seconds.

    A version of the configuration is never replaced by an older one of the
    same era of the store.
    """

    def __init__(self) -> None:
        """Create a catalog without a configuration and without runners."""
        self.configuration: Configuration | None = None
        self.runners = RunnerTable()
        self._era = 0
        self._applied_at = float(0)

    def apply(self, configuration: Configuration, era: int, now: float) -> bool:
        """Apply a version if it is newer; return whether it was.

        In a later era any version is newer.
        """
        current = self.configuration
        if current is not None:
            known = (self._era, current.version)
            if (era, configuration.version) <= known:
                return False
        self.configuration = configuration
        self._era = era
        self._applied_at = now
        return True

    def apply_restored(
        self, configuration: Configuration, era: int, now: float
    ) -> bool:
        """Apply a version of a restored copy; return whether it was newer.

        The version in force stays if the copy has an older one: it was
        acknowledged, and the operator writes it again.
        """
        current = self.configuration
        if current is not None and configuration.version < current.version:
            return False
        return self.apply(configuration, era, now)

    def find_service(self, name: str) -> Service | None:
        """Return a service of the configuration in force, or None."""
        if self.configuration is None:
            return None
        return self.configuration.services_by_name.get(name)

    def list_services(self) -> tuple[Service, ...]:
        """Return the services of the configuration in force."""
        if self.configuration is None:
            return ()
        return tuple(self.configuration.services_by_name.values())

    def max_cold_s(self) -> float:
        """Return the longest cold time of any service's runners."""
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
        """Return how long ago the version in force was applied."""
        return now - self._applied_at

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the version in force and the runners for the state dump."""
        version = None
        if self.configuration is not None:
            version = self.configuration.version
        return {
            'version': version,
            'era': self._era,
            'age_s': round(self.configuration_age_s(now), 3),
            'runners': self.runners.dump_state(now),
        }
