"""Brings the accepted configuration into a process and keeps it fresh."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint import defaults
from damaskpoint.config import metrics
from damaskpoint.config.accepted_row import ACCEPTED_ROW, read_accepted_row
from damaskpoint.config.confirmation import (
    ConfirmationBounds,
    ConfirmationTracker,
)
from damaskpoint.config.versions import (
    ClaimVerdict,
    VersionClaim,
    VersionTracker,
)
from damaskpoint.config.fetch import ConfigurationFetcher, Fetched
from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.config.model import Configuration
    from damaskpoint.config.peers import ConfigurationPeers
    from damaskpoint.platform.base import ObjectStore, Table
    from damaskpoint.settings import PlatformOptions

_LOG: Final = logging.getLogger(__name__)
# Turns of the follower between two polls, which notice a stalled loop.
_TURNS_PER_POLL: Final = 4
# A poll may come this much earlier than due, so that entries spread.
_POLL_SPREAD: Final = 0.5


@final
@dataclass(frozen=True, slots=True)
class OwnClaim:
    """What this process tells its peers of its configuration."""

    version: int
    digest: str
    # Seconds since the version was last known to be the highest.
    age_s: float


@final
class ConfigurationFollower(StateSource):
    """Polls the platform, hears peers and installs what is higher.

    Times are monotonic seconds. ``poll`` and ``fetch_wanted`` must not run
    at once with themselves; ``run`` sees to that.
    """

    def __init__(
        self,
        table: Table,
        fetcher: ConfigurationFetcher,
        options: PlatformOptions,
    ) -> None:
        """Start without a configuration."""
        self._table = table
        self._fetcher = fetcher
        self._poll_s = options.configuration_poll_s
        self._versions = VersionTracker()
        bounds = ConfirmationBounds(
            options.confirmation_bound_s, defaults.LOOP_STALL_S
        )
        self._confirmations = ConfirmationTracker(bounds)
        self._listeners: list[Callable[[Configuration], None]] = []
        self._body = b''
        self._next_poll: float = 0
        self._last_failure: Failure | None = None
        self._wake = asyncio.Event()

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, None before the first."""
        return self._versions.current

    @property
    def object_body(self) -> bytes:
        """Return the object of the version in force, for peers."""
        return self._body

    def use_peers(self, peers: ConfigurationPeers) -> None:
        """Fetch from these peers when the object store has no answer."""
        self._fetcher.use_peers(peers)

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call back with each version at the moment it is in force."""
        self._listeners.append(listener)
        if self.current:
            listener(self.current)

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
            defaults.MAX_AGE_S if age_s is None else age_s,
        )

    def check_ready(self, now: float) -> Failure | None:
        """Return why the configuration may not be used now, or None."""
        current = self.current
        if current is None:
            return Failure(Code.NOT_READY, 'no configuration is known yet')
        return self._confirmations.check(
            current.version, self._versions.highest_version, now
        )

    async def poll(self, now: float) -> Failure | None:
        """Read the platform's row once and fetch what it names.

        ``now`` is the time before the read: the row was the latest then.
        """
        self._confirmations.note_turn(now)
        failure = await self._read_row(now)
        self._last_failure = failure
        self._next_poll = now + self._poll_s
        if failure and failure.retry_after_s:
            self._next_poll = now + max(self._poll_s, failure.retry_after_s)
        if self._versions.wanted:
            return await self.fetch_wanted()
        return failure

    async def fetch_wanted(self) -> Failure | None:
        """Fetch and install the highest version that is known of."""
        claim = self._versions.wanted
        if claim is None:
            return None
        fetched = await self._fetcher.fetch(claim)
        if isinstance(fetched, Failure):
            self._last_failure = fetched
            return fetched
        self._install(fetched)
        return None

    async def run(self, clock: Callable[[], float]) -> None:
        """Follow until cancelled."""
        turn_s = self._poll_s / _TURNS_PER_POLL
        while True:
            now = clock()
            self._confirmations.note_turn(now)
            if self.is_poll_due(now):
                await self.poll(now)
            elif self._versions.wanted:
                await self.fetch_wanted()
            try:
                await asyncio.wait_for(self._wake.wait(), turn_s)
            except TimeoutError:
                continue
            self._wake.clear()

    def is_poll_due(self, now: float) -> bool:
        """Return whether the last confirmation asks for a read.

        A fresh confirmation through a peer spares the platform a read.
        """
        if now < self._next_poll:
            return False
        current = self.current
        if current is None or self._versions.wanted:
            return True
        age_s = self._confirmations.age_of(current.version, now)
        spread = random.uniform(_POLL_SPREAD, 1)
        return age_s is None or age_s >= self._poll_s * spread

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

    async def _read_row(self, now: float) -> Failure | None:
        rows = await self._table.read((ACCEPTED_ROW,))
        if isinstance(rows, Failure):
            return rows
        if rows[0] is None:
            return Failure(Code.NOT_READY, 'no configuration was applied yet')
        accepted = read_accepted_row(rows[0])
        if isinstance(accepted, Failure):
            metrics.CLAIMS.inc({'source': 'platform', 'verdict': 'corrupt'})
            return accepted
        verdict = self._versions.note_claim(accepted.claim)
        metrics.CLAIMS.inc({'source': 'platform', 'verdict': verdict.value})
        if verdict is ClaimVerdict.CONFLICTING:
            self._versions.correct_wanted(accepted.claim)
        if verdict in {ClaimVerdict.CURRENT, ClaimVerdict.NEWER}:
            self._confirmations.confirm(accepted.version, now)
        return None

    def _install(self, fetched: Fetched) -> None:
        configuration = fetched.configuration
        if not self._versions.install(configuration):
            return
        self._body = fetched.body
        metrics.VERSION.set({}, configuration.version)
        _LOG.info('configuration version %s in force', configuration.version)
        for listener in self._listeners:
            listener(configuration)


def create_follower(
    table: Table, object_store: ObjectStore, options: PlatformOptions
) -> ConfigurationFollower:
    """Return a follower over the platform's services."""
    return ConfigurationFollower(
        table, ConfigurationFetcher(object_store), options
    )
