"""Decides which version of the configuration is in force in a process.

Versions only go up. Claims of versions come from the platform's row and
from peers, in any order and as late as they like; the highest claim is
wanted until it was fetched and installed.
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
    """That a version with this digest has been accepted."""

    version: int
    digest: str


@final
class ClaimVerdict(enum.Enum):
    """What a claim means to this process."""

    # Lower than the version in force: an old read, or a peer behind.
    OLD = 'old'
    # The version in force.
    CURRENT = 'current'
    # Higher than the version in force: it is to be fetched.
    NEWER = 'newer'
    # A known version under another digest: one of the two is corrupt.
    CONFLICTING = 'conflicting'


@final
class VersionTracker:
    """Keeps the version in force and the highest one that is wanted."""

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
        """Return the highest version that is known of; 0 for none."""
        if self._wanted:
            return self._wanted.version
        return self._current.version if self._current else 0

    def judge(self, claim: VersionClaim) -> ClaimVerdict:
        """Return what a claim means."""
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

    def note_claim(self, claim: VersionClaim) -> ClaimVerdict:
        """Want a claim that is higher than all before."""
        verdict = self.judge(claim)
        if verdict is not ClaimVerdict.NEWER:
            return verdict
        if self._wanted is None or claim.version > self._wanted.version:
            self._wanted = claim
        return verdict

    def correct_wanted(self, claim: VersionClaim) -> None:
        """Let the platform's row decide between two digests of a version."""
        if self._wanted and self._wanted.version == claim.version:
            self._wanted = claim

    def install(self, configuration: Configuration) -> bool:
        """Put a configuration in force, if it is higher; say whether."""
        current = self._current
        if current and configuration.version <= current.version:
            return False
        self._current = configuration
        if self._wanted and self._wanted.version <= configuration.version:
            self._wanted = None
        return True
