"""Follows the accepted configuration: polls the platform and fetches it."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final, final

from damaskpoint.config import metrics
from damaskpoint.config.accepted_row import ACCEPTED_ROW, parse_accepted_row
from damaskpoint.config.current import CurrentConfiguration
from damaskpoint.config.fetch import ConfigurationFetcher
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.config.peers import ConfigurationPeers
    from damaskpoint.platform.base import ObjectStore, Table
    from damaskpoint.settings import PlatformOptions

# Checks per poll interval, for a due poll and for a stall.
_TICKS_PER_POLL: Final = 4
# Minimum random factor on the poll interval; it spreads the polls of entries.
_MIN_POLL_JITTER: Final = 0.5


@final
class ConfigurationFollower(CurrentConfiguration):
    """Polls the platform and fetches versions that it or a peer claims."""

    def __init__(
        self,
        table: Table,
        fetcher: ConfigurationFetcher,
        options: PlatformOptions,
    ) -> None:
        """Start without a configuration."""
        super().__init__(options.confirmation_bound_s)
        self._table = table
        self._fetcher = fetcher
        self._poll_s = options.configuration_poll_s
        self._next_poll_at: float = 0

    def attach_peers(self, peers: ConfigurationPeers) -> None:
        """Use these peers when the object store fails or does not respond."""
        self._fetcher.attach_peers(peers)

    async def poll(self, now: float) -> Failure | None:
        """Read the platform's row once, and fetch the version that it names.

        ``now`` is the time before the read; the row is current as of then.
        """
        failure = await self._read_row(now)
        if self._versions.wanted:
            return await self.fetch_wanted()
        return failure

    async def fetch_wanted(self) -> Failure | None:
        """Fetch and install the highest version that was claimed."""
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
        """Run until cancelled; ``clock`` returns monotonic seconds.

        The loops run concurrently: a poll that hangs delays neither a fetch
        from a peer nor the detection of a stalled event loop.
        """
        await asyncio.gather(
            self._poll_loop(clock),
            self._fetch_loop(),
            self._tick_loop(clock),
        )

    def is_poll_due(self, now: float) -> bool:
        """Return whether the platform's row should be read now.

        A recent confirmation by a peer saves the platform a read.
        """
        if now < self._next_poll_at:
            return False
        current = self.current
        if current is None or self._versions.wanted:
            return True
        age_s = self._confirmations.age_of(current.version, now)
        jitter = random.uniform(_MIN_POLL_JITTER, 1)
        return age_s is None or age_s >= self._poll_s * jitter

    async def _poll_loop(self, clock: Callable[[], float]) -> None:
        while True:
            now = clock()
            if self.is_poll_due(now):
                await self._read_row(now)
            await asyncio.sleep(self._poll_s / _TICKS_PER_POLL)

    async def _fetch_loop(self) -> None:
        while True:
            await self._fetch_needed.wait()
            self._fetch_needed.clear()
            failure = await self.fetch_wanted()
            if failure:
                await asyncio.sleep(self._poll_s)
            if self._versions.wanted:
                self._fetch_needed.set()

    async def _tick_loop(self, clock: Callable[[], float]) -> None:
        while True:
            self.record_loop_iteration(clock())
            await asyncio.sleep(self._poll_s / _TICKS_PER_POLL)

    async def _read_row(self, now: float) -> Failure | None:
        failure = await self._read_row_once(now)
        self._last_failure = failure
        self._next_poll_at = now + self._poll_s / 2
        if failure:
            self._next_poll_at = now + self._poll_s
        if failure and failure.retry_after_s:
            self._next_poll_at += failure.retry_after_s
        return failure

    async def _read_row_once(self, now: float) -> Failure | None:
        rows = await self._table.read((ACCEPTED_ROW,))
        if isinstance(rows, Failure):
            return rows
        if rows[0] is None:
            return Failure(Code.NOT_READY, 'no configuration was applied yet')
        accepted = parse_accepted_row(rows[0])
        if isinstance(accepted, Failure):
            metrics.CLAIMS.inc({'source': 'platform', 'verdict': 'corrupt'})
            return accepted
        self._handle_platform_claim(accepted.claim, now)
        return None


def create_follower(
    table: Table, object_store: ObjectStore, options: PlatformOptions
) -> ConfigurationFollower:
    """Return a follower that uses the platform's table and object store."""
    return ConfigurationFollower(
        table, ConfigurationFetcher(object_store), options
    )
