"""What the configuration asks of the peers of an entry."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpoint.config.versions import VersionClaim
    from damaskpoint.errors import Failure


class ConfigurationPeers(abc.ABC):
    """Fetches a configuration's object from any peer that has it."""

    @abc.abstractmethod
    async def fetch_object(self, claim: VersionClaim) -> bytes | Failure:
        """Return the bytes of a version, as a peer sent them.

        The caller checks the digest. ``PEER_UNREACHABLE`` if no peer that
        is known to have the version answers in time.
        """
