"""Rate and concurrency limits of one client account at one entry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.admission.shares import LimitShare
    from damaskpoint.config.model import Account

# Time constant of the exponential average of the demand.
_DEMAND_TIME_CONSTANT_S: Final = 2.0
# Token bucket size that each entry has at least, regardless of its share. So
# each entry can add up to this many requests to the account's burst.
_MIN_BURST: Final = 4


@final
class DemandMeter:
    """Measures the rate of requests that an account offers at this entry."""

    def __init__(self, now: float) -> None:
        """Start with no demand."""
        self._rate_per_s: float = 0
        self._updated_at = now

    def record_offer(self, now: float) -> None:
        """Count one request, whether or not it is admitted."""
        self._decay(now)
        self._rate_per_s += 1 / _DEMAND_TIME_CONSTANT_S

    def rate_per_s(self, now: float) -> float:
        """Return the recent average rate, in requests per second."""
        return self._rate_per_s * self._decay_factor(now)

    def _decay(self, now: float) -> None:
        self._rate_per_s *= self._decay_factor(now)
        self._updated_at = now

    def _decay_factor(self, now: float) -> float:
        return math.exp(-(now - self._updated_at) / _DEMAND_TIME_CONSTANT_S)


@final
class AccountLimits:
    """This entry's share of the limits of one account.

    A token bucket bounds the rate; ``max_in_flight`` bounds concurrency.
    """

    def __init__(self, account: Account, share: LimitShare, now: float) -> None:
        """Start with a full token bucket."""
        self.account = account
        self.demand = DemandMeter(now)
        self.in_flight = 0
        self._share = share
        self._tokens = self._burst_limit()
        self._refilled_at = now

    # Commands.

    def apply(self, account: Account, share: LimitShare, now: float) -> None:
        """Apply changed limits or a changed share of them."""
        self._refill(now)
        self.account = account
        self._share = share
        self._tokens = min(self._tokens, self._burst_limit())

    def take_token(self, now: float) -> Failure | None:
        """Take a token for one request, if there is one.

        Otherwise return ``ACCOUNT_LIMIT`` with the time until the next token
        as retry delay, or without a delay if no token will be added.
        """
        self._refill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return None
        rate = self._share.of_rate(self.account.rate_per_s)
        retry_after_s = None
        if rate > 0:
            retry_after_s = (1 - self._tokens) / rate
        return Failure(
            Code.ACCOUNT_LIMIT,
            'requests a second',
            retry_after_s=retry_after_s,
        )

    def return_token(self) -> None:
        """Return the token of a request that was not run."""
        self._tokens = min(self._burst_limit(), self._tokens + 1)

    # Queries.

    @property
    def max_in_flight(self) -> int:
        """Return how many requests may run concurrently at this entry."""
        return self._share.of_count(self.account.max_in_flight)

    @property
    def may_start(self) -> bool:
        """Return whether one more request may run now."""
        return self.in_flight < self.max_in_flight

    @property
    def fraction(self) -> float:
        """Return this entry's fraction of the limits, from 0 to 1."""
        return self._share.fraction

    def _burst_limit(self) -> float:
        # A share of a small burst would be too small for requests that arrive
        # together by chance.
        minimum = min(self.account.burst, _MIN_BURST)
        return max(1, minimum, self._share.of_rate(self.account.burst))

    def _refill(self, now: float) -> None:
        rate = self._share.of_rate(self.account.rate_per_s)
        added = max(0, now - self._refilled_at) * rate
        self._tokens = min(self._burst_limit(), self._tokens + added)
        self._refilled_at = now
