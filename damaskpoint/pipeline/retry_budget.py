"""Limits retries and hedges to a share of the first attempts."""

from __future__ import annotations

from typing import final

from damaskpoint.observe.state import StateSource


@final
class RetryBudget(StateSource):
    """A token bucket that is refilled by first attempts.

    A retry or hedge costs one token; each first attempt adds ``share``
    tokens, up to ``burst``. This prevents retries from multiplying the load
    on failing upstreams.
    """

    def __init__(
        self, share: float, burst: int, balance: float | None = None
    ) -> None:
        """Start with this balance; None for a full bucket."""
        self._share = share
        self._burst = float(burst)
        self._balance = self._burst if balance is None else balance
        self._spent = 0
        self._refused = 0

    def record_first_attempt(self) -> None:
        """Add the tokens for a first attempt."""
        self._balance = min(self._burst, self._balance + self._share)

    def spend(self) -> bool:
        """Take a token for one retry or hedge; return whether there was one."""
        if self._balance < 1:
            self._refused += 1
            return False
        self._balance -= 1
        self._spent += 1
        return True

    def update_burst(self, burst: int) -> None:
        """Change the burst; tokens in excess of it are discarded."""
        self._burst = float(burst)
        self._balance = min(self._balance, self._burst)

    def refund(self) -> None:
        """Return the token of a retry that was not sent."""
        self.add(1)
        self._spent -= 1

    def add(self, tokens: float) -> None:
        """Add tokens, up to the burst."""
        self._balance = min(self._burst, self._balance + tokens)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the tokens, the burst, and the numbers granted and refused."""
        return {
            'balance': self._balance,
            'burst': self._burst,
            'spent': self._spent,
            'refused': self._refused,
        }
