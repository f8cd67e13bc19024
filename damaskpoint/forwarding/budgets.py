"""Retry budgets of the services.

Retries are bounded over all instances: by a ratio of the requests in a
window, plus a slack. Each instance applies the ratio to its own requests and
takes an equal share of the slack. The shares of all instances that may be
running add up to the slack at most, whichever of them see each other.
"""

from __future__ import annotations

from typing import Final, final

from damaskpoint.pipeline.retry_budget import RetryBudget

# Share of the bound that is used. The rest is for processes that have just
# started, and for instances that do not know of a new one yet.
_USED_SHARE: Final = 0.7
# Share of the bound that processes may use in the first window after a start,
# beside what the processes before them have used.
_START_SHARE: Final = 0.15
# What a process may use of it before it knows how many share it.
_MIN_START_BALANCE: Final = 1.0


@final
class ServiceBudgets:
    """Retry budgets by service; times are monotonic seconds."""

    def __init__(
        self, ratio: float, slack: float, window_s: float, now: float
    ) -> None:
        """Keep retries below ``ratio`` of requests plus ``slack``.

        Both hold for any ``window_s`` seconds. An earlier process of this
        instance may have used its share of the slack just before this one
        started, so only a part of it may be used in the first of them.
        """
        self._ratio = ratio * _USED_SHARE
        self._slack = slack
        self._full_from = now + window_s
        # None while it is not known how many instances there are.
        self._instances: int | None = None
        # Tokens of a new budget; None for a full one.
        self._start_balance: float | None = _MIN_START_BALANCE
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def update(self, instances: int | None, now: float) -> None:
        """Set how many instances may be sharing the slack, if that is known.

        The share never grows because a peer is out of sight, as it keeps its
        own.
        """
        was_known = self._instances is not None
        self._instances = instances
        for budget in self._budgets_by_service.values():
            budget.update_burst(self._burst)
        if instances is None or self._start_balance is None:
            return
        if now >= self._full_from:
            self._start_balance = None
            self._add_to_all(self._burst)
        elif not was_known:
            share = self._slack * _START_SHARE / instances
            self._start_balance = max(_MIN_START_BALANCE, share)
            self._add_to_all(self._start_balance - _MIN_START_BALANCE)

    def find(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._burst, self._start_balance)
            self._budgets_by_service[service] = budget
        return budget

    @property
    def _burst(self) -> int:
        if self._instances is None:
            return 1
        return max(1, int(self._slack * _USED_SHARE / self._instances))

    def _add_to_all(self, tokens: float) -> None:
        for budget in self._budgets_by_service.values():
            budget.add(tokens)
