"""Pieces that admitted requests still need, by the group that will run them.

An admitted request also needs pieces of later stages, which are in no queue
yet. Each instance gossips its own outstanding pieces, its pledges. Their sum
is the work ahead of a new request at each of its stages.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

from damaskpoint.batching.account_demand import AccountDemand
from damaskpoint.membership.facts import PledgeFact

if TYPE_CHECKING:
    from collections.abc import Iterable


# Lowest priority that is told apart; 0 is the most urgent.
_MAX_PRIORITY: Final = 3


@final
@dataclass(slots=True)
class _OwnPledge:
    """Outstanding pieces of this instance's requests at one group."""

    urgent_by_priority: collections.Counter[int] = field(
        default_factory=collections.Counter
    )
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
        self.demand = AccountDemand()
        self._own_by_group: dict[str, _OwnPledge] = {}
        # By group, then by peer.
        self._peer_pledges: dict[str, dict[str, _PeerPledge]] = {}

    # Commands.

    def add(
        self,
        group: str,
        pieces: int,
        *,
        is_deferred: bool,
        priority: int = 0,
        account: str = '',
    ) -> None:
        """Pledge pieces, or withdraw a pledge with a negative number."""
        self.demand.add(account, pieces)
        own = self._own_by_group.setdefault(group, _OwnPledge())
        if is_deferred:
            own.deferred += pieces
        else:
            own.urgent_by_priority[_clamp(priority)] += pieces
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
        self.demand.expire(now, max_age_s)
        self._expire_own(now - max_age_s, now)
        for group, by_peer in tuple(self._peer_pledges.items()):
            for peer, peer_pledge in tuple(by_peer.items()):
                if now - peer_pledge.received_at > max_age_s:
                    by_peer.pop(peer)
            if not by_peer:
                self._peer_pledges.pop(group)

    # Queries.

    def count_ahead(
        self, group: str, *, is_deferred: bool, priority: int = _MAX_PRIORITY
    ) -> int:
        """Return the number of pieces that run before a new request's.

        Pieces of less urgent requests give way to it, and pieces of deferred
        requests run before other deferred ones only.
        """
        own = self._own_by_group.get(group, _OwnPledge())
        pledges = [_to_fact(group, own)]
        for reported in self._peer_pledges.get(group, {}).values():
            pledges.append(reported.pledge)
        if is_deferred:
            return sum(item.urgent + item.deferred for item in pledges)
        level = _clamp(priority)
        return sum(
            item.urgent - sum(item.less_urgent[level:]) for item in pledges
        )

    def list_own(self) -> list[PledgeFact]:
        """Return the pledges of this instance, to be sent to peers."""
        return [
            _to_fact(group, own) for group, own in self._own_by_group.items()
        ]

    # Helpers.

    def _expire_own(self, oldest: float, now: float) -> None:
        for group, own in tuple(self._own_by_group.items()):
            if own.deferred or any(own.urgent_by_priority.values()):
                continue
            if own.empty_since is None:
                own.empty_since = now
            if own.empty_since < oldest:
                self._own_by_group.pop(group)


def _clamp(priority: int) -> int:
    return min(_MAX_PRIORITY, max(0, priority))


def _to_fact(group: str, own: _OwnPledge) -> PledgeFact:
    """Return the pledge as sent; priorities are left out if all are 0."""
    by_priority = own.urgent_by_priority
    less_urgent = tuple(
        by_priority[priority] for priority in range(1, _MAX_PRIORITY + 1)
    )
    return PledgeFact(
        group,
        sum(by_priority.values()),
        own.deferred,
        less_urgent if any(less_urgent) else (),
    )
