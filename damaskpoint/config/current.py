"""The configuration in force in a process, and the claims about it.

Nothing here waits for I/O; ``config.follower`` adds the reads and fetches.
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
from damaskpoint.config.fetch import FetchedConfiguration
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
    """The version that this process announces to its peers."""

    version: int
    digest: str
    # Seconds since the version was last confirmed as the highest.
    age_s: float


class CurrentConfiguration(StateSource):
    """Collects claims of versions and puts higher versions in force.

    Times are monotonic seconds.
    """

    def __init__(self, max_age_s: float) -> None:
        """Start without a configuration.

        ``max_age_s`` is the maximum age of a valid confirmation.
        """
        self._versions = VersionTracker()
        self._confirmations = ConfirmationTracker(
            ConfirmationBounds(max_age_s, defaults.LOOP_STALL_S)
        )
        self._listeners: list[Callable[[Configuration], None]] = []
        self._body = b''
        self._last_failure: Failure | None = None
        # Set when a higher version is known but not yet fetched.
        self._fetch_needed = asyncio.Event()

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._versions.current

    @property
    def object_body(self) -> bytes:
        """Return the packed object of the version in force, for peers."""
        return self._body

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call the listener with each version as it comes into force."""
        self._listeners.append(listener)
        if self.current:
            listener(self.current)

    def record_loop_iteration(self, now: float) -> None:
        """Record an iteration of the event loop, several times a second."""
        self._confirmations.record_loop_iteration(now)

    def set_reachability(self, reachable_peers: int, known_peers: int) -> None:
        """Set how many of the last known other entries are reachable."""
        self._confirmations.set_reachability(reachable_peers, known_peers)

    def handle_peer_claim(
        self, version: int, digest: str, age_s: float, now: float
    ) -> None:
        """Process a peer's claim that was ``age_s`` old when received."""
        claim = VersionClaim(version, digest)
        verdict = self._versions.record_claim(claim)
        metrics.CLAIMS.inc({'source': 'peer', 'verdict': verdict.value})
        if verdict in {ClaimVerdict.OLD, ClaimVerdict.CONFLICTING}:
            return
        self._confirmations.confirm_through_peer(version, age_s, now)
        if verdict is ClaimVerdict.NEWER:
            self._fetch_needed.set()

    def install_pushed(
        self, claim: VersionClaim, body: bytes, age_s: float, now: float
    ) -> Failure | None:
        """Install an accepted version that an operator sent with its object.

        Returns ``CONFIGURATION_CORRUPT`` if the object does not match the
        digest, or if another digest of the version is known. A lower version
        changes nothing.
        """
        unpacked = document.unpack(body, claim.version, claim.digest)
        if isinstance(unpacked, Failure):
            metrics.FETCHES.inc({'source': 'operator', 'end': 'corrupt'})
            return unpacked
        verdict = self._versions.record_claim(claim)
        metrics.CLAIMS.inc({'source': 'operator', 'verdict': verdict.value})
        if verdict is ClaimVerdict.CONFLICTING:
            return Failure(
                Code.CONFIGURATION_CORRUPT, 'another digest is known'
            )
        if verdict is not ClaimVerdict.OLD:
            self._confirmations.confirm_through_peer(claim.version, age_s, now)
        self._install(FetchedConfiguration(unpacked, body))
        return None

    def own_claim(self, now: float) -> OwnClaim | None:
        """Return the claim to announce, or None without a configuration."""
        current = self.current
        if current is None:
            return None
        age_s = self._confirmations.age_of(current.version, now)
        # A version without a confirmation is announced with the maximum age.
        return OwnClaim(
            current.version,
            current.digest,
            defaults.UNCONFIRMED_AGE_S if age_s is None else age_s,
        )

    def check_ready(self, now: float) -> Failure | None:
        """Return why the configuration must not be used now, or None."""
        current = self.current
        if current is None:
            return Failure(Code.NOT_READY, 'no configuration is known yet')
        return self._confirmations.check(
            current.version, self._versions.highest_version, now
        )

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the version, its confirmation and why it is not ready."""
        own = self.own_claim(now)
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

    def _handle_platform_claim(self, claim: VersionClaim, now: float) -> None:
        """Process the platform's row, whose read began at ``now`` or later."""
        verdict = self._versions.record_claim(claim)
        metrics.CLAIMS.inc({'source': 'platform', 'verdict': verdict.value})
        if verdict is ClaimVerdict.CONFLICTING:
            self._versions.resolve_conflict(claim)
        if verdict in {ClaimVerdict.CURRENT, ClaimVerdict.NEWER}:
            self._confirmations.confirm(claim.version, now)
        if self._versions.wanted:
            self._fetch_needed.set()

    def _install(self, fetched: FetchedConfiguration) -> None:
        configuration = fetched.configuration
        if not self._versions.install(configuration):
            return
        self._body = fetched.body
        metrics.VERSION.set({}, configuration.version)
        _LOG.info('configuration version %s in force', configuration.version)
        for listener in self._listeners:
            listener(configuration)
