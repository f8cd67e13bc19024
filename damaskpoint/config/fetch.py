"""Fetches a configuration's object and checks it against its digest."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint import defaults
from damaskpoint.config import document, metrics
from damaskpoint.errors import Failure

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration
    from damaskpoint.config.peers import ConfigurationPeers
    from damaskpoint.config.versions import VersionClaim
    from damaskpoint.platform.base import ObjectStore

    _FetchTask = asyncio.Task['Fetched | Failure']


@final
@dataclass(frozen=True, slots=True)
class Fetched:
    """A configuration, and the bytes that it was read from."""

    configuration: Configuration
    body: bytes


@final
class ConfigurationFetcher:
    """Asks the object store, then the peers."""

    def __init__(self, object_store: ObjectStore) -> None:
        """Start without peers."""
        self._object_store = object_store
        self._peers: ConfigurationPeers | None = None

    def attach_peers(self, peers: ConfigurationPeers) -> None:
        """Ask these peers whenever the object store has no answer."""
        self._peers = peers

    async def fetch(self, claim: VersionClaim) -> Fetched | Failure:
        """Return the configuration that a claim names.

        ``CONFIGURATION_CORRUPT`` if only other bytes were found; otherwise
        the failure of the last source that was asked.
        """
        first = asyncio.create_task(self._fetch_from_store(claim))
        if self._peers is None:
            return await first
        # A store that is slow or down must not hold the version up.
        await asyncio.wait((first,), timeout=defaults.PEER_FETCH_AFTER_S)
        if first.done() and not isinstance(first.result(), Failure):
            return first.result()
        second = asyncio.create_task(self._fetch_from_peers(claim, self._peers))
        return await _choose_first(first, second)

    async def _fetch_from_store(self, claim: VersionClaim) -> Fetched | Failure:
        body = await self._object_store.get(
            document.build_object_name(claim.digest)
        )
        return _decode('platform', claim, body)

    async def _fetch_from_peers(
        self, claim: VersionClaim, peers: ConfigurationPeers
    ) -> Fetched | Failure:
        return _decode('peer', claim, await peers.fetch_object(claim))


async def _choose_first(*tasks: _FetchTask) -> Fetched | Failure:
    """Return the first whole answer, else the last task's failure."""
    pending: set[_FetchTask] = set(tasks)
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if isinstance(task.result(), Failure):
                continue
            for other in pending:
                other.cancel()
            return task.result()
    return tasks[-1].result()


def _decode(
    source: str, claim: VersionClaim, body: bytes | Failure
) -> Fetched | Failure:
    fetched = _decode_body(claim, body)
    end = 'fetched'
    if isinstance(fetched, Failure):
        end = fetched.code.value
    metrics.FETCHES.inc({'source': source, 'end': end})
    return fetched


def _decode_body(
    claim: VersionClaim, body: bytes | Failure
) -> Fetched | Failure:
    if isinstance(body, Failure):
        return body
    decoded = document.unpack(body, claim.version, claim.digest)
    if isinstance(decoded, Failure):
        return decoded
    return Fetched(decoded, body)
