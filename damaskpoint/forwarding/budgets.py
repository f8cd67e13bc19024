"""The share of each service's requests that may be sent once more.

The rules bound repeats over all instances: a ratio of the requests of a
window, and a slack. Each instance keeps the ratio on its own requests and
takes an equal part of the slack.
"""

from __future__ import annotations

from typing import Final, final

from damaskpoint.pipeline.retry_budget import RetryBudget

# Part of the bound that is used: what peers count may differ for a while.
_USED_SHARE: Final = 0.7


@final
class ServiceBudgets:
    """Retry budgets by service."""

    def __init__(self, ratio: float, slack: float) -> None:
        """Keep repeats below ``ratio`` of requests plus ``slack``."""
        self._ratio = ratio * _USED_SHARE
        self._slack = slack * _USED_SHARE
        self._instances = 1
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def set_instance_count(self, count: int) -> None:
        """Take the number of instances that share the slack."""
        self._instances = max(1, count)
        for budget in self._budgets_by_service.values():
            budget.limit_burst(self._burst)

    def find(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._burst)
            self._budgets_by_service[service] = budget
        return budget

    @property
    def _burst(self) -> int:
        return max(1, int(self._slack / self._instances))
