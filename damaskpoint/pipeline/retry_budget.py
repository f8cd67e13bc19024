"""The share of first tries that may be repeated or hedged."""

from __future__ import annotations

from typing import final

from damaskpoint.observe.state import StateSource


@final
class RetryBudget(StateSource):
    """Counts what first tries have earned and retries have spent.

    A retry costs one; each first try earns a share of one, up to a burst.
    Retries can so never multiply the load of a fleet that fails.
    """

    def __init__(self, share: float, burst: int) -> None:
        """Start with the whole burst."""
        self._share = share
        self._burst = float(burst)
        self._balance = float(burst)
        self._spent = 0
        self._refused = 0

    def record_first_try(self) -> None:
        """Earn a share of a retry."""
        self._balance = min(self._burst, self._balance + self._share)

    def spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self._balance < 1:
            self._refused += 1
            return False
        self._balance -= 1
        self._spent += 1
        return True

    def update_burst(self, burst: int) -> None:
        """Change the burst; what was saved beyond it is lost."""
        self._burst = float(burst)
        self._balance = min(self._balance, self._burst)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the balance and the sums so far."""
        return {
            'balance': self._balance,
            'burst': self._burst,
            'spent': self._spent,
            'refused': self._refused,
        }
