"""The interface to peers that serve objects of configurations."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.config.versions import VersionClaim
    from damaskpoint.errors import Failure


class ConfigurationPeers(abc.ABC):
    """Fetches the object of a configuration from a peer that has it."""

    @abc.abstractmethod
    async def fetch_object(self, claim: VersionClaim) -> bytes | Failure:
        """Return the object of a version as a peer sent it.

        The caller verifies the digest. Returns ``PEER_UNREACHABLE`` if no
        peer that is known to have the version responds in time.
        """
