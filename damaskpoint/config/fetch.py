"""Fetches a configuration's object and checks it against its digest."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.config import document, metrics
from damaskpoint.errors import Failure

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration
    from damaskpoint.config.peers import ConfigurationPeers
    from damaskpoint.config.versions import VersionClaim
    from damaskpoint.platform.base import ObjectStore


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

    def use_peers(self, peers: ConfigurationPeers) -> None:
        """Ask these peers whenever the object store has no answer."""
        self._peers = peers

    async def fetch(self, claim: VersionClaim) -> Fetched | Failure:
        """Return the configuration that a claim names.

        ``CONFIGURATION_CORRUPT`` if only other bytes were found; otherwise
        the failure of the last source that was asked.
        """
        body = await self._object_store.get(document.name_object(claim.digest))
        fetched = _decode('platform', claim, body)
        if not isinstance(fetched, Failure) or self._peers is None:
            return fetched
        return _decode('peer', claim, await self._peers.fetch_object(claim))


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
    decoded = document.decode(body, claim.version, claim.digest)
    if isinstance(decoded, Failure):
        return decoded
    return Fetched(decoded, body)
