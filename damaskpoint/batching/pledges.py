"""Pieces that admitted requests still need, by the group that is to make them.

A request that is admitted needs pieces of later stages too, which wait
nowhere yet. Each instance tells its own pledges; together they show how
much work lies before a new request at each of its stages.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from damaskpoint.membership.facts import PledgeFact

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time after which what a peer told says nothing (seconds): several rounds of
# gossip.
_KEEP_S: Final = 1.0


@final
@dataclass(slots=True)
class _Pieces:
    """Pieces of the own requests at one group."""

    urgent: int = 0
    deferred: int = 0


@final
@dataclass(frozen=True, slots=True)
class _Told:
    """What a peer told of one group."""

    pledge: PledgeFact
    heard_at: float


@final
class PledgeTable:
    """The own pledges and those of the peers."""

    def __init__(self) -> None:
        """Start with nothing pledged."""
        self._own_by_group: dict[str, _Pieces] = {}
        # Peers' pledges by group and peer.
        self._heard: dict[str, dict[str, _Told]] = {}

    # Commands.

    def add(self, group: str, pieces: int, *, is_deferred: bool) -> None:
        """Pledge pieces, or take a pledge back with a negative number."""
        own = self._own_by_group.setdefault(group, _Pieces())
        if is_deferred:
            own.deferred += pieces
        else:
            own.urgent += pieces

    def record_peer(
        self, peer: str, told: Iterable[PledgeFact], now: float
    ) -> None:
        """Take what a peer tells of its pledges."""
        for pledge in told:
            by_peer = self._heard.setdefault(pledge.group, {})
            by_peer[peer] = _Told(pledge, now)

    def expire(self, now: float) -> None:
        """Forget what is too old, and what is not pledged any more."""
        for group, by_peer in tuple(self._heard.items()):
            for peer, told in tuple(by_peer.items()):
                if now - told.heard_at > _KEEP_S:
                    by_peer.pop(peer)
            if not by_peer:
                self._heard.pop(group)

    # Queries.

    def count_ahead(self, group: str, *, is_deferred: bool) -> int:
        """Return the pieces that go before those of a new request.

        Those of deferred requests go before another deferred one only.
        """
        own = self._own_by_group.get(group, _Pieces())
        told = self._heard.get(group, {}).values()
        urgent = own.urgent + sum(heard.pledge.urgent for heard in told)
        if not is_deferred:
            return urgent
        deferred = own.deferred + sum(heard.pledge.deferred for heard in told)
        return urgent + deferred

    def list_own(self) -> list[PledgeFact]:
        """Return the own pledges, to be told to peers."""
        return [
            PledgeFact(group, own.urgent, own.deferred)
            for group, own in self._own_by_group.items()
            if own.urgent or own.deferred
        ]
