"""Fetches the object of a configuration version from peers that have it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from damaskpoint.config.peers import ConfigurationPeers
from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.config.versions import VersionClaim
    from damaskpoint.membership.facts import PeerFact
    from damaskpoint.membership.service import Membership
    from damaskpoint.wire.peer_client import PeerClient

# Number of peers that are asked for one object before the fetch fails.
_MAX_PEERS_ASKED: Final = 3


@final
class PeerObjects(ConfigurationPeers):
    """Tracks which peer has which version, and fetches objects from them."""

    def __init__(
        self,
        membership: Membership,
        client: PeerClient,
        clock: Callable[[], float],
    ) -> None:
        """Use the live peers of this membership."""
        self._membership = membership
        self._client = client
        self._clock = clock
        self._versions_by_peer: dict[str, int] = {}

    def record_version(self, peer: str, version: int) -> None:
        """Record the version that a peer reports to have in force."""
        self._versions_by_peer[peer] = version

    async def fetch_object(self, claim: VersionClaim) -> bytes | Failure:
        """Return the bytes of a version, as sent by a peer.

        The caller checks the digest. Fails with ``PEER_UNREACHABLE`` if no
        peer that is known to have the version answers in time.
        """
        failure = Failure(Code.PEER_UNREACHABLE, 'no peer has the version')
        for peer in self._find_holders(claim.version):
            answer = await self._client.get_configuration(
                peer.address, claim.version
            )
            if isinstance(answer, Failure):
                failure = answer
                continue
            if answer.version == claim.version:
                body: bytes = answer.body
                return body
        return Failure(Code.PEER_UNREACHABLE, failure.detail)

    def _find_holders(self, version: int) -> list[PeerFact]:
        live = self._membership.live_peers(self._clock())
        live_names = {peer.name for peer in live}
        for name in tuple(self._versions_by_peer):
            if name not in live_names:
                self._versions_by_peer.pop(name)
        holders = []
        for peer in live:
            if self._versions_by_peer.get(peer.name, 0) >= version:
                holders.append(peer)
        return holders[:_MAX_PEERS_ASKED]
