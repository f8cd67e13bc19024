"""Asks an entry which version of the configuration it has in force."""

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
    """What an entry says of its configuration."""

    version: int
    digest: str


class EntryProbe(abc.ABC):
    """Asks entries."""

    @abc.abstractmethod
    async def ask(self, entry: ListedInstance) -> EntryVersion | Failure:
        """Return the version in force; ``PEER_UNREACHABLE`` if silent."""

    @abc.abstractmethod
    async def hand_over(
        self,
        entry: ListedInstance,
        accepted: EncodedConfiguration,
        age_s: float,
    ) -> Failure | None:
        """Let an entry put an accepted version in force."""


@final
class PeerEntryProbe(EntryProbe):
    """Calls the entry's peer port."""

    def __init__(self, client: PeerClient) -> None:
        """Ask through this client."""
        self._client = client

    async def ask(self, entry: ListedInstance) -> EntryVersion | Failure:
        """Return the version in force; ``PEER_UNREACHABLE`` if silent."""
        address = Address(entry.host, entry.peer_port)
        answer = await self._client.get_in_force(address)
        if isinstance(answer, Failure):
            return answer
        return EntryVersion(answer.version, answer.digest)

    async def hand_over(
        self,
        entry: ListedInstance,
        accepted: EncodedConfiguration,
        age_s: float,
    ) -> Failure | None:
        """Let an entry put an accepted version in force."""
        address = Address(entry.host, entry.peer_port)
        return await self._client.hold_configuration(address, accepted, age_s)


def create_entry_probe(timeout_s: float) -> EntryProbe:
    """Return a probe that calls entries; each call has a bound of time."""
    return PeerEntryProbe(create_peer_client(timeout_s))
