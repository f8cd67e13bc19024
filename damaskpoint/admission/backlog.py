"""The backlog of each pool by client account, in seconds of service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.admission.fair_queue import WaitingRequest


@final
@dataclass(slots=True)
class _AccountBacklog:
    """The waiting requests of one account for a pool."""

    weight: int
    count: int = 0
    cost: float = 0


@final
@dataclass(slots=True)
class _PoolBacklog:
    """The waiting requests for one pool."""

    cost: float = 0
    # Sum of the weights of the waiting accounts.
    weight: int = 0
    accounts_by_name: dict[str, _AccountBacklog] = field(default_factory=dict)


@final
class Backlog:
    """Sums the costs of waiting requests by pool and account.

    A request adds to each of its pools the fraction of its cost that the
    pool serves.
    """

    def __init__(self) -> None:
        """Start with no waiting requests."""
        self._pools_by_name: dict[str, _PoolBacklog] = {}

    # Commands.

    def add(self, item: WaitingRequest, weight: int) -> None:
        """Add a request of an account with this weight."""
        for pool, fraction in item.fractions_by_pool.items():
            backlog = self._pools_by_name.setdefault(pool, _PoolBacklog())
            account = backlog.accounts_by_name.get(item.account)
            if account is None:
                account = _AccountBacklog(weight)
                backlog.accounts_by_name[item.account] = account
                backlog.weight += weight
            account.count += 1
            account.cost += item.cost * fraction
            backlog.cost += item.cost * fraction

    def remove(self, item: WaitingRequest) -> None:
        """Remove a request that was added."""
        for pool, fraction in item.fractions_by_pool.items():
            backlog = self._pools_by_name[pool]
            account = backlog.accounts_by_name[item.account]
            account.count -= 1
            account.cost -= item.cost * fraction
            backlog.cost -= item.cost * fraction
            if not account.count:
                backlog.accounts_by_name.pop(item.account)
                backlog.weight -= account.weight
            if not backlog.accounts_by_name:
                # Reset to 0, as sums of many costs accumulate rounding errors.
                self._pools_by_name.pop(pool)

    # Queries.

    def cost_of(self, pool: str, account: str) -> float:
        """Return the cost of an account's requests that wait for a pool."""
        backlog = self._pools_by_name.get(pool)
        if backlog is None:
            return 0
        account_backlog = backlog.accounts_by_name.get(account)
        return 0 if account_backlog is None else account_backlog.cost

    def total_cost(self, pool: str) -> float:
        """Return the cost of all requests that wait for a pool."""
        backlog = self._pools_by_name.get(pool)
        return 0 if backlog is None else backlog.cost

    def total_weight(self, pool: str) -> int:
        """Return the sum of the weights of accounts that wait for a pool."""
        backlog = self._pools_by_name.get(pool)
        return 0 if backlog is None else backlog.weight
