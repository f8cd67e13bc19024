"""The configuration that is in force in a process, and what is said of it.

All here happens at once; ``config.follower`` adds the reads and fetches.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.config import document, metrics
from damaskpoint.config.confirmation import (
    ConfirmationBounds,
    ConfirmationTracker,
)
from damaskpoint.config.fetch import Fetched
from damaskpoint.config.versions import (
    ClaimVerdict,
    VersionClaim,
    VersionTracker,
)
from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.config.model import Configuration

_LOG: Final = logging.getLogger(__name__)


@final
@dataclass(frozen=True, slots=True)
class OwnClaim:
    """What this process tells its peers of its configuration."""

    version: int
    digest: str
    # Seconds since the version was last known to be the highest.
    age_s: float


class CurrentConfiguration(StateSource):
    """Hears claims and objects, and puts what is higher in force.

    Times are monotonic seconds.
    """

    def __init__(self, max_age_s: float) -> None:
        """Start without a configuration.

        ``max_age_s`` is the age of a confirmation up to which it counts.
        """
        self._versions = VersionTracker()
        self._confirmations = ConfirmationTracker(
            ConfirmationBounds(max_age_s, defaults.LOOP_STALL_S)
        )
        self._listeners: list[Callable[[Configuration], None]] = []
        self._body = b''
        self._last_failure: Failure | None = None
        # Set while a higher version is known but not at hand.
        self._wake = asyncio.Event()

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, None before the first."""
        return self._versions.current

    @property
    def object_body(self) -> bytes:
        """Return the object of the version in force, for peers."""
        return self._body

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call back with each version at the moment it is in force."""
        self._listeners.append(listener)
        if self.current:
            listener(self.current)

    def note_turn(self, now: float) -> None:
        """Hear that the loop turns, several times a second."""
        self._confirmations.note_turn(now)

    def note_reach(self, reached_peers: int, known_peers: int) -> None:
        """Hear how many of the other entries last known are reached."""
        self._confirmations.note_reach(reached_peers, known_peers)

    def offer(
        self, version: int, digest: str, age_s: float, now: float
    ) -> None:
        """Hear a peer's claim; its age counts until the arrival here."""
        claim = VersionClaim(version, digest)
        verdict = self._versions.note_claim(claim)
        metrics.CLAIMS.inc({'source': 'peer', 'verdict': verdict.value})
        if verdict in {ClaimVerdict.OLD, ClaimVerdict.CONFLICTING}:
            return
        self._confirmations.confirm_through_peer(version, age_s, now)
        if verdict is ClaimVerdict.NEWER:
            self._wake.set()

    def take(
        self, claim: VersionClaim, body: bytes, age_s: float, now: float
    ) -> Failure | None:
        """Take an accepted version that was handed over whole.

        ``CONFIGURATION_CORRUPT`` if the bytes do not match, or if another
        digest of the version is known; a lower version changes nothing.
        """
        decoded = document.decode(body, claim.version, claim.digest)
        if isinstance(decoded, Failure):
            metrics.FETCHES.inc({'source': 'operator', 'end': 'corrupt'})
            return decoded
        verdict = self._versions.note_claim(claim)
        metrics.CLAIMS.inc({'source': 'operator', 'verdict': verdict.value})
        if verdict is ClaimVerdict.CONFLICTING:
            return Failure(
                Code.CONFIGURATION_CORRUPT, 'another digest is known'
            )
        if verdict is not ClaimVerdict.OLD:
            self._confirmations.confirm_through_peer(claim.version, age_s, now)
        self._install(Fetched(decoded, body))
        return None

    def claim(self, now: float) -> OwnClaim | None:
        """Return what to tell peers, None without a configuration."""
        current = self.current
        if current is None:
            return None
        age_s = self._confirmations.age_of(current.version, now)
        # A version that was never confirmed is as old as can be.
        return OwnClaim(
            current.version,
            current.digest,
            defaults.UNCONFIRMED_AGE_S if age_s is None else age_s,
        )

    def check_ready(self, now: float) -> Failure | None:
        """Return why the configuration may not be used now, or None."""
        current = self.current
        if current is None:
            return Failure(Code.NOT_READY, 'no configuration is known yet')
        return self._confirmations.check(
            current.version, self._versions.highest_version, now
        )

    def dump_state(self, now: float) -> dict[str, object]:
        """Return version, digest, age of confirmation and readiness."""
        own = self.claim(now)
        wanted = self._versions.wanted
        not_ready = self.check_ready(now)
        last = self._last_failure
        return {
            'version': own.version if own else None,
            'digest': own.digest if own else None,
            'confirmation_age_s': round(own.age_s, 3) if own else None,
            'wanted_version': wanted.version if wanted else None,
            'not_ready': not_ready.detail if not_ready else None,
            'last_failure': last.detail if last else None,
        }

    def _hear_platform(self, claim: VersionClaim, now: float) -> None:
        """Hear the platform's row, read no earlier than ``now``."""
        verdict = self._versions.note_claim(claim)
        metrics.CLAIMS.inc({'source': 'platform', 'verdict': verdict.value})
        if verdict is ClaimVerdict.CONFLICTING:
            self._versions.correct_wanted(claim)
        if verdict in {ClaimVerdict.CURRENT, ClaimVerdict.NEWER}:
            self._confirmations.confirm(claim.version, now)
        if self._versions.wanted:
            self._wake.set()

    def _install(self, fetched: Fetched) -> None:
        configuration = fetched.configuration
        if not self._versions.install(configuration):
            return
        self._body = fetched.body
        metrics.VERSION.set({}, configuration.version)
        _LOG.info('configuration version %s in force', configuration.version)
        for listener in self._listeners:
            listener(configuration)
