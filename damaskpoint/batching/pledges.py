"""Pieces that admitted requests still need, by the group that will run them.

An admitted request also needs pieces of later stages, which are in no queue
yet. Each instance gossips its own outstanding pieces, its pledges. Their sum
is the work ahead of a new request at each of its stages.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.membership.facts import PledgeFact

if TYPE_CHECKING:
    from collections.abc import Iterable


@final
@dataclass(slots=True)
class _OwnPledge:
    """Outstanding pieces of this instance's requests at one group."""

    urgent: int = 0
    deferred: int = 0
    # When a round first found no pieces; None while there are some.
    empty_since: float | None = None


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
        own.empty_since = None

    def record_peer(
        self, peer: str, pledges: Iterable[PledgeFact], now: float
    ) -> None:
        """Record the pledges that a peer reports."""
        for pledge in pledges:
            by_peer = self._peer_pledges.setdefault(pledge.group, {})
            by_peer[peer] = _PeerPledge(pledge, now)

    def expire(self, now: float, max_age_s: float) -> None:
        """Remove reports that are too old, and groups without reports.

        An own pledge without pieces is listed for as long, so that peers hear
        that none are left.
        """
        self._expire_own(now - max_age_s, now)
        for group, by_peer in tuple(self._peer_pledges.items()):
            for peer, peer_pledge in tuple(by_peer.items()):
                if now - peer_pledge.received_at > max_age_s:
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
        ]

    # Helpers.

    def _expire_own(self, oldest: float, now: float) -> None:
        for group, own in tuple(self._own_by_group.items()):
            if own.urgent or own.deferred:
                continue
            if own.empty_since is None:
                own.empty_since = now
            if own.empty_since < oldest:
                self._own_by_group.pop(group)
