"""Retry budgets of the services.

Retries are bounded over all instances: by a ratio of the requests in a
window, plus a slack. Each instance applies the ratio to its own requests and
takes an equal share of the slack.
"""

from __future__ import annotations

from typing import Final, final

from damaskpoint.pipeline.retry_budget import RetryBudget

# Share of the bound that is used, since instances may temporarily disagree on
# how many of them share the slack.
_USED_SHARE: Final = 0.7


@final
class ServiceBudgets:
    """Retry budgets by service."""

    def __init__(self, ratio: float, slack: float) -> None:
        """Keep retries below ``ratio`` of requests plus ``slack``."""
        self._ratio = ratio * _USED_SHARE
        self._slack = slack * _USED_SHARE
        self._instances = 1
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances that share the slack."""
        self._instances = max(1, count)
        for budget in self._budgets_by_service.values():
            budget.update_burst(self._burst)

    def find(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._burst)
            self._budgets_by_service[service] = budget
        return budget

    @property
    def _burst(self) -> int:
        return max(1, int(self._slack / self._instances))
