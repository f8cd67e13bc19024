"""Brings the accepted configuration into a process and keeps it fresh."""

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

# Turns between two polls, which notice when one is due or the loop stalls.
_TURNS_PER_POLL: Final = 4
# A poll may come this much earlier than due, so that entries spread.
_POLL_SPREAD: Final = 0.5


@final
class ConfigurationFollower(CurrentConfiguration):
    """Polls the platform, and fetches what it or a peer names."""

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
        self._next_poll: float = 0

    def attach_peers(self, peers: ConfigurationPeers) -> None:
        """Fetch from these peers when the object store has no answer."""
        self._fetcher.attach_peers(peers)

    async def poll(self, now: float) -> Failure | None:
        """Read the platform's row once and fetch what it names.

        ``now`` is the time before the read: the row was the latest then.
        """
        failure = await self._read_row(now)
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
        """Follow until cancelled; ``clock`` gives monotonic seconds.

        A platform that does not answer a poll holds up neither a fetch from
        a peer nor the notice of a stalled loop.
        """
        await asyncio.gather(
            self._keep_polling(clock),
            self._keep_fetching(),
            self._keep_noticing(clock),
        )

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

    async def _keep_polling(self, clock: Callable[[], float]) -> None:
        while True:
            now = clock()
            if self.is_poll_due(now):
                await self._read_row(now)
            await asyncio.sleep(self._poll_s / _TURNS_PER_POLL)

    async def _keep_fetching(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            failure = await self.fetch_wanted()
            if failure:
                await asyncio.sleep(self._poll_s)
            if self._versions.wanted:
                self._wake.set()

    async def _keep_noticing(self, clock: Callable[[], float]) -> None:
        while True:
            self.note_turn(clock())
            await asyncio.sleep(self._poll_s / _TURNS_PER_POLL)

    async def _read_row(self, now: float) -> Failure | None:
        failure = await self._read_row_once(now)
        self._last_failure = failure
        self._next_poll = now + self._poll_s / 2
        if failure:
            self._next_poll = now + self._poll_s
        if failure and failure.retry_after_s:
            self._next_poll += failure.retry_after_s
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
        self._hear_platform(accepted.claim, now)
        return None


def create_follower(
    table: Table, object_store: ObjectStore, options: PlatformOptions
) -> ConfigurationFollower:
    """Return a follower over the platform's services."""
    return ConfigurationFollower(
        table, ConfigurationFetcher(object_store), options
    )
