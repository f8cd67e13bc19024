"""Retry budgets of the services.

Retries are bounded over all instances: by a ratio of the requests in a
window, plus a slack. Each instance applies the ratio to its own requests and
takes an equal share of the slack. The shares of all instances that may be
running add up to the slack at most, whichever of them see each other.
"""

from __future__ import annotations

from typing import Final, final

from damaskpoint.pipeline.retry_budget import RetryBudget

# Share of the bound that is used, since instances may temporarily disagree on
# how many of them share the slack.
_USED_SHARE: Final = 0.7


@final
class ServiceBudgets:
    """Retry budgets by service; times are monotonic seconds."""

    def __init__(
        self, ratio: float, slack: float, window_s: float, now: float
    ) -> None:
        """Keep retries below ``ratio`` of requests plus ``slack``.

        Both hold for any ``window_s`` seconds. The share of the slack may be
        used from the end of the first of them on: an earlier process of this
        instance may have used it just before this one started.
        """
        self._ratio = ratio * _USED_SHARE
        self._slack = slack * _USED_SHARE
        self._slack_from = now + window_s
        # None while it is not known how many instances there are.
        self._instances: int | None = None
        self._has_slack = False
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def update(self, instances: int | None, now: float) -> None:
        """Set how many instances may be sharing the slack, if that is known.

        The share never grows because a peer is out of sight, as it keeps its
        own.
        """
        self._instances = instances
        for budget in self._budgets_by_service.values():
            budget.update_burst(self._burst)
        if self._has_slack or instances is None or now < self._slack_from:
            return
        self._has_slack = True
        for budget in self._budgets_by_service.values():
            budget.fill()

    def find(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                self._ratio, self._burst, is_full=self._has_slack
            )
            self._budgets_by_service[service] = budget
        return budget

    @property
    def _burst(self) -> int:
        if self._instances is None:
            return 1
        return max(1, int(self._slack / self._instances))
