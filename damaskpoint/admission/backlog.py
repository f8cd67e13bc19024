"""What waits for each pool, by client account, in seconds of service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from damaskpoint.admission.fair_queue import Waiting


@final
@dataclass(slots=True)
class _AccountBacklog:
    """What one account has waiting for a pool."""

    weight: int
    count: int = 0
    cost: float = 0


@final
@dataclass(slots=True)
class _PoolBacklog:
    """What waits for one pool."""

    cost: float = 0
    # Weights of the accounts that wait, together.
    weight: int = 0
    accounts_by_name: dict[str, _AccountBacklog] = field(default_factory=dict)


@final
class Backlog:
    """Costs of what waits; a request counts in each pool with its part."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._pools_by_name: dict[str, _PoolBacklog] = {}

    # Commands.

    def add(self, item: Waiting, weight: int) -> None:
        """Count a request of an account with this weight."""
        for pool, part in item.parts_by_pool.items():
            backlog = self._pools_by_name.setdefault(pool, _PoolBacklog())
            account = backlog.accounts_by_name.get(item.account)
            if account is None:
                account = _AccountBacklog(weight)
                backlog.accounts_by_name[item.account] = account
                backlog.weight += weight
            account.count += 1
            account.cost += item.cost * part
            backlog.cost += item.cost * part

    def remove(self, item: Waiting) -> None:
        """Count a request out."""
        for pool, part in item.parts_by_pool.items():
            backlog = self._pools_by_name[pool]
            account = backlog.accounts_by_name[item.account]
            account.count -= 1
            account.cost -= item.cost * part
            backlog.cost -= item.cost * part
            if not account.count:
                backlog.accounts_by_name.pop(item.account)
                backlog.weight -= account.weight
            if not backlog.accounts_by_name:
                # Sums of many costs carry rounding errors.
                self._pools_by_name.pop(pool)

    # Queries.

    def cost_of(self, pool: str, account: str) -> float:
        """Return what an account has waiting for a pool."""
        backlog = self._pools_by_name.get(pool)
        if backlog is None:
            return 0
        held = backlog.accounts_by_name.get(account)
        return 0 if held is None else held.cost

    def total_cost(self, pool: str) -> float:
        """Return all that waits for a pool."""
        backlog = self._pools_by_name.get(pool)
        return 0 if backlog is None else backlog.cost

    def total_weight(self, pool: str) -> int:
        """Return the weights of the accounts that wait for a pool."""
        backlog = self._pools_by_name.get(pool)
        return 0 if backlog is None else backlog.weight
