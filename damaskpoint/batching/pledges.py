"""Pieces that admitted requests still need, by the group that will run them.

An admitted request also needs pieces of later stages, which are in no queue
yet. Each instance gossips its own outstanding pieces, its pledges. Their sum
is the work ahead of a new request at each of its stages.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.membership.facts import PledgeFact

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time after which a peer's report is ignored (seconds): several rounds of
# gossip.
_MAX_AGE_S: Final = 1.0


@final
@dataclass(slots=True)
class _OwnPledge:
    """Outstanding pieces of this instance's requests at one group."""

    urgent: int = 0
    deferred: int = 0


@final
@dataclass(frozen=True, slots=True)
class _PeerPledge:
    """The pledge of a peer at one group."""

    pledge: PledgeFact
    received_at: float


@final
class PledgeTable:
    """The pledges of this instance and of its peers."""

    def __init__(self) -> None:
        """Start without pledges."""
        self._own_by_group: dict[str, _OwnPledge] = {}
        # By group, then by peer.
        self._peer_pledges: dict[str, dict[str, _PeerPledge]] = {}

    # Commands.

    def add(self, group: str, pieces: int, *, is_deferred: bool) -> None:
        """Pledge pieces, or withdraw a pledge with a negative number."""
        own = self._own_by_group.setdefault(group, _OwnPledge())
        if is_deferred:
            own.deferred += pieces
        else:
            own.urgent += pieces

    def record_peer(
        self, peer: str, pledges: Iterable[PledgeFact], now: float
    ) -> None:
        """Record the pledges that a peer reports."""
        for pledge in pledges:
            by_peer = self._peer_pledges.setdefault(pledge.group, {})
            by_peer[peer] = _PeerPledge(pledge, now)

    def expire(self, now: float) -> None:
        """Remove reports that are too old, and groups without reports."""
        for group, by_peer in tuple(self._peer_pledges.items()):
            for peer, peer_pledge in tuple(by_peer.items()):
                if now - peer_pledge.received_at > _MAX_AGE_S:
                    by_peer.pop(peer)
            if not by_peer:
                self._peer_pledges.pop(group)

    # Queries.

    def count_ahead(self, group: str, *, is_deferred: bool) -> int:
        """Return the number of pieces that run before a new request's.

        Pieces of deferred requests run before other deferred ones only.
        """
        own = self._own_by_group.get(group, _OwnPledge())
        reported = self._peer_pledges.get(group, {}).values()
        urgent = own.urgent + sum(item.pledge.urgent for item in reported)
        if not is_deferred:
            return urgent
        deferred = own.deferred + sum(item.pledge.deferred for item in reported)
        return urgent + deferred

    def list_own(self) -> list[PledgeFact]:
        """Return the pledges of this instance, to be sent to peers."""
        return [
            PledgeFact(group, own.urgent, own.deferred)
            for group, own in self._own_by_group.items()
            if own.urgent or own.deferred
        ]
