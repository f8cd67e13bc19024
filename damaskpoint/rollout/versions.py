"""Determines the established version of each service."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from damaskpoint.catalog.model import Runner


@final
class EstablishedVersions:
    """The version of each service that requests may go to freely.

    It is the one that a rollout has decided, otherwise that of the runners
    that were known first. A process that starts when there are several takes
    the one whose first runner started first.
    """

    def __init__(self) -> None:
        """Start without services."""
        self._versions_by_service: dict[str, str] = {}

    @property
    def versions_by_service(self) -> Mapping[str, str]:
        """Return the established versions by service."""
        return self._versions_by_service

    def find(self, service: str) -> str | None:
        """Return the established version; None if no runner was known."""
        return self._versions_by_service.get(service)

    def set_decided(self, service: str, version: str) -> None:
        """Apply the version that a rollout has decided, if it knows one."""
        if version:
            self._versions_by_service[service] = version

    def update(
        self, service: str, runners: Iterable[Runner], tested: str
    ) -> None:
        """Apply the known runners of a service.

        An established version stays while it has a runner. The tested version
        is taken only if there is no other.
        """
        first_starts_by_version: dict[str, tuple[bool, int, int]] = {}
        counts_by_version: dict[str, int] = {}
        for runner in runners:
            version = runner.version
            count = counts_by_version.get(version, 0) + 1
            counts_by_version[version] = count
            started_ms = runner.started_ms
            known = first_starts_by_version.get(version)
            if known is not None and started_ms:
                started_ms = min(started_ms, known[1] or started_ms)
            first_starts_by_version[version] = (
                version == tested,
                started_ms,
                -count,
            )
        current = self._versions_by_service.get(service)
        if not first_starts_by_version or current in first_starts_by_version:
            return
        if current is not None and set(first_starts_by_version) == {tested}:
            # The old runners may be out of sight for a moment only.
            return
        self._versions_by_service[service] = min(
            first_starts_by_version,
            key=lambda version: (first_starts_by_version[version], version),
        )
