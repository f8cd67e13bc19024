"""Fetches the object of a configuration and verifies its digest."""

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

    _FetchTask = asyncio.Task['FetchedConfiguration | Failure']


@final
@dataclass(frozen=True, slots=True)
class FetchedConfiguration:
    """A configuration and the packed object that it was read from."""

    configuration: Configuration
    body: bytes


@final
class ConfigurationFetcher:
    """Fetches from the object store, or from peers if that is slow or fails."""

    def __init__(self, object_store: ObjectStore) -> None:
        """Start with the object store as the only source."""
        self._object_store = object_store
        self._peers: ConfigurationPeers | None = None

    def attach_peers(self, peers: ConfigurationPeers) -> None:
        """Use these peers when the object store fails or does not respond."""
        self._peers = peers

    async def fetch(
        self, claim: VersionClaim
    ) -> FetchedConfiguration | Failure:
        """Return the configuration that a claim names.

        If no source has it, returns the failure of the last one:
        ``CONFIGURATION_CORRUPT`` if its object does not match the digest.
        """
        store_task = asyncio.create_task(self._fetch_from_store(claim))
        if self._peers is None:
            return await store_task
        # A slow or unreachable store must not delay the version.
        await asyncio.wait((store_task,), timeout=defaults.PEER_FETCH_AFTER_S)
        if store_task.done() and not isinstance(store_task.result(), Failure):
            return store_task.result()
        peers_task = asyncio.create_task(
            self._fetch_from_peers(claim, self._peers)
        )
        return await _await_first_success(store_task, peers_task)

    async def _fetch_from_store(
        self, claim: VersionClaim
    ) -> FetchedConfiguration | Failure:
        body = await self._object_store.get(
            document.build_object_name(claim.digest)
        )
        return _unpack_and_count('platform', claim, body)

    async def _fetch_from_peers(
        self, claim: VersionClaim, peers: ConfigurationPeers
    ) -> FetchedConfiguration | Failure:
        return _unpack_and_count('peer', claim, await peers.fetch_object(claim))


async def _await_first_success(
    *tasks: _FetchTask,
) -> FetchedConfiguration | Failure:
    """Return the first success, else the failure of the last task."""
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


def _unpack_and_count(
    source: str, claim: VersionClaim, body: bytes | Failure
) -> FetchedConfiguration | Failure:
    fetched = _unpack_body(claim, body)
    outcome = 'fetched'
    if isinstance(fetched, Failure):
        outcome = fetched.code.value
    metrics.FETCHES.inc({'source': source, 'end': outcome})
    return fetched


def _unpack_body(
    claim: VersionClaim, body: bytes | Failure
) -> FetchedConfiguration | Failure:
    if isinstance(body, Failure):
        return body
    unpacked = document.unpack(body, claim.version, claim.digest)
    if isinstance(unpacked, Failure):
        return unpacked
    return FetchedConfiguration(unpacked, body)
