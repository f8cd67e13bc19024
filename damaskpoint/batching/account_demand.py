"""The pieces that client accounts need, over all instances.

A queue in which accounts share what can be in time serves from each other
account at most as many pieces before a new request as its own account needs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.membership.facts import DemandFact

if TYPE_CHECKING:
    from collections.abc import Mapping


@final
@dataclass(slots=True)
class _OwnDemand:
    """Outstanding pieces of this instance's requests of one account."""

    pieces: int = 0
    # When a round first found no pieces; None while there are some.
    empty_since: float | None = None


@final
class AccountDemand:
    """Outstanding pieces by account, of this instance and of its peers."""

    def __init__(self) -> None:
        """Start without pieces."""
        self._own_by_account: dict[str, _OwnDemand] = {}
        self._peers_by_account: Mapping[str, int] = {}

    # Commands.

    def add(self, account: str, pieces: int) -> None:
        """Count pieces of an account; a negative number withdraws some."""
        if not account:
            return
        own = self._own_by_account.setdefault(account, _OwnDemand())
        own.pieces += pieces
        own.empty_since = None

    def set_peers(self, pieces_by_account: Mapping[str, int]) -> None:
        """Apply the sums of what peers report."""
        self._peers_by_account = pieces_by_account

    def expire(self, now: float, max_age_s: float) -> None:
        """Drop accounts without pieces, once peers have heard that."""
        for account, own in tuple(self._own_by_account.items()):
            if own.pieces:
                continue
            if own.empty_since is None:
                own.empty_since = now
            if own.empty_since < now - max_age_s:
                self._own_by_account.pop(account)

    # Queries.

    def list_own(self) -> list[DemandFact]:
        """Return the demand at this instance, to be sent to peers."""
        return [
            DemandFact(account, 0, own.pieces)
            for account, own in self._own_by_account.items()
        ]

    def find_share_ahead(self, account: str, pieces: int) -> float:
        """Return which part of the outstanding pieces runs before new ones.

        It is 1 for an account that needs as many pieces as any other.
        """
        if not account:
            return float(1)
        needed_by_account = dict(self._peers_by_account)
        for name, own in self._own_by_account.items():
            needed_by_account[name] = (
                needed_by_account.get(name, 0) + own.pieces
            )
        total = sum(needed_by_account.values())
        if not total:
            return float(1)
        limit = needed_by_account.get(account, 0) + pieces
        ahead = sum(min(needed, limit) for needed in needed_by_account.values())
        return ahead / total
