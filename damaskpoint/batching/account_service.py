"""The service that client accounts have got from the runners of a group.

As in start-time fair queueing, an account that was idle starts with as much
as the waiting account that has got least: it has neither debt nor credit from
the time in which others used its share.
"""

from __future__ import annotations

import collections
from typing import final


@final
class AccountService:
    """Pieces taken and waiting, by account."""

    def __init__(self) -> None:
        """Start without accounts."""
        self._taken_by_account: dict[str, int] = {}
        self._waiting_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    # Commands.

    def add(self, account: str) -> None:
        """Count a piece that waits now."""
        if not self._waiting_by_account[account]:
            least = min(
                (
                    self._taken_by_account[other]
                    for other, waiting in self._waiting_by_account.items()
                    if waiting
                ),
                default=0,
            )
            taken = self._taken_by_account.get(account, 0)
            self._taken_by_account[account] = max(taken, least)
        self._waiting_by_account[account] += 1

    def take(self, account: str) -> None:
        """Count a waiting piece as taken by a runner."""
        self._taken_by_account[account] += 1
        self.remove(account)

    def put_back(self, account: str) -> None:
        """Count a taken piece as waiting again."""
        self.add(account)
        self._taken_by_account[account] -= 1

    def remove(self, account: str) -> None:
        """Count a piece as no longer waiting; all start anew without any."""
        self._waiting_by_account[account] -= 1
        if not any(self._waiting_by_account.values()):
            self._waiting_by_account.clear()
            self._taken_by_account.clear()

    # Queries.

    def count_taken(self, account: str) -> int:
        """Return the pieces that count as taken by an account."""
        return self._taken_by_account.get(account, 0)
