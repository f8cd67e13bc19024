"""Decides which version of the configuration is in force in a process.

Versions only increase. Claims of versions come from the platform's row and
from peers, in any order and with any delay. The highest claim is wanted until
its version is fetched and installed.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration


@final
@dataclass(frozen=True, slots=True)
class VersionClaim:
    """A statement that a version with this digest was accepted."""

    version: int
    digest: str


@final
class ClaimVerdict(enum.Enum):
    """How a claim relates to the versions known to this process."""

    # Lower than the version in force: a stale read or an outdated peer.
    OLD = 'old'
    # The version in force.
    CURRENT = 'current'
    # Higher than the version in force: it has to be fetched.
    NEWER = 'newer'
    # A known version with another digest: one of the two is corrupt.
    CONFLICTING = 'conflicting'


@final
class VersionTracker:
    """Tracks the version in force and the highest wanted version."""

    def __init__(self) -> None:
        """Start without a version."""
        self._current: Configuration | None = None
        self._wanted: VersionClaim | None = None

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._current

    @property
    def wanted(self) -> VersionClaim | None:
        """Return the highest claim above the version in force."""
        return self._wanted

    @property
    def highest_version(self) -> int:
        """Return the highest known version, or 0 for none."""
        if self._wanted:
            return self._wanted.version
        return self._current.version if self._current else 0

    def classify(self, claim: VersionClaim) -> ClaimVerdict:
        """Return how a claim relates to the known versions."""
        current = self._current
        if current and claim.version < current.version:
            return ClaimVerdict.OLD
        if current and claim.version == current.version:
            is_same = claim.digest == current.digest
            return ClaimVerdict.CURRENT if is_same else ClaimVerdict.CONFLICTING
        wanted = self._wanted
        if wanted and wanted.version == claim.version and wanted != claim:
            return ClaimVerdict.CONFLICTING
        return ClaimVerdict.NEWER

    def record_claim(self, claim: VersionClaim) -> ClaimVerdict:
        """Classify a claim; the highest newer claim becomes the wanted one."""
        verdict = self.classify(claim)
        if verdict is not ClaimVerdict.NEWER:
            return verdict
        if self._wanted is None or claim.version > self._wanted.version:
            self._wanted = claim
        return verdict

    def resolve_conflict(self, claim: VersionClaim) -> None:
        """Adopt the platform's digest of the wanted version over a peer's."""
        if self._wanted and self._wanted.version == claim.version:
            self._wanted = claim

    def install(self, configuration: Configuration) -> bool:
        """Put a higher version in force; return whether it was higher."""
        current = self._current
        if current and configuration.version <= current.version:
            return False
        self._current = configuration
        if self._wanted and self._wanted.version <= configuration.version:
            self._wanted = None
        return True
