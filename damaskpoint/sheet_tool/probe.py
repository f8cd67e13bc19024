"""Calls to entries: query the version in force and hand over a new one."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.errors import Failure
from damaskpoint.membership.facts import Address
from damaskpoint.wire.peer_client import PeerClient, create_peer_client

if TYPE_CHECKING:
    from damaskpoint.platform.base import ListedInstance
    from damaskpoint.wire.encoded_configuration import EncodedConfiguration


@final
@dataclass(frozen=True, slots=True)
class EntryVersion:
    """The configuration that an entry reports to have in force."""

    version: int
    digest: str


class EntryProbe(abc.ABC):
    """Queries entries and hands configurations over to them."""

    @abc.abstractmethod
    async def fetch_version(
        self, entry: ListedInstance
    ) -> EntryVersion | Failure:
        """Return the version in force; ``PEER_UNREACHABLE`` without a reply."""

    @abc.abstractmethod
    async def hand_over(
        self,
        entry: ListedInstance,
        accepted: EncodedConfiguration,
        age_s: float,
    ) -> Failure | None:
        """Send an accepted version to an entry, which puts it in force."""


@final
class PeerEntryProbe(EntryProbe):
    """Calls the entry's peer port."""

    def __init__(self, client: PeerClient) -> None:
        """Create a probe that calls entries through a client."""
        self._client = client

    async def fetch_version(
        self, entry: ListedInstance
    ) -> EntryVersion | Failure:
        """Return the version in force; ``PEER_UNREACHABLE`` without a reply."""
        address = Address(entry.host, entry.peer_port)
        reply = await self._client.get_in_force(address)
        if isinstance(reply, Failure):
            return reply
        return EntryVersion(reply.version, reply.digest)

    async def hand_over(
        self,
        entry: ListedInstance,
        accepted: EncodedConfiguration,
        age_s: float,
    ) -> Failure | None:
        """Send an accepted version to an entry, which puts it in force."""
        address = Address(entry.host, entry.peer_port)
        return await self._client.hold_configuration(address, accepted, age_s)


def create_entry_probe(timeout_s: float) -> EntryProbe:
    """Return a probe whose calls time out after ``timeout_s``."""
    return PeerEntryProbe(create_peer_client(timeout_s))
