"""Rate and concurrency of one client account, as one entry applies them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

from damaskpoint.errors import Code, Failure

if TYPE_CHECKING:
    from damaskpoint.admission.shares import Part
    from damaskpoint.config.model import Account

# Weight of the newest measurement of the demand, for each second.
_DEMAND_TIME_S: Final = 2.0
# Requests that an entry lets in at once after a quiet time, whatever its
# part; in sum the entries may pass the account's burst by this much each.
_LEAST_BURST: Final = 4


@final
class DemandMeter:
    """The rate at which requests of an account are offered here."""

    def __init__(self, now: float) -> None:
        """Start with no demand."""
        self._rate_per_s: float = 0
        self._updated_at = now

    def note_offer(self, now: float) -> None:
        """Count one request, whether or not it is let in."""
        self._decay(now)
        self._rate_per_s += 1 / _DEMAND_TIME_S

    def rate_per_s(self, now: float) -> float:
        """Return the present rate, averaged over the last seconds."""
        return self._rate_per_s * self._decay_factor(now)

    def _decay(self, now: float) -> None:
        self._rate_per_s *= self._decay_factor(now)
        self._updated_at = now

    def _decay_factor(self, now: float) -> float:
        return math.exp(-(now - self._updated_at) / _DEMAND_TIME_S)


@final
class AccountLimits:
    """The limits of one account, divided by this entry's part."""

    def __init__(self, account: Account, part: Part, now: float) -> None:
        """Start with a full burst."""
        self.account = account
        self.demand = DemandMeter(now)
        self.in_flight = 0
        self._part = part
        self._tokens = self._burst()
        self._refilled_at = now

    # Commands.

    def apply(self, account: Account, part: Part, now: float) -> None:
        """Take over changed limits or another part of them."""
        self._refill(now)
        self.account = account
        self._part = part
        self._tokens = min(self._tokens, self._burst())

    def take_token(self, now: float) -> Failure | None:
        """Take the right to one more request of the rate, if there is one.

        ``ACCOUNT_LIMIT`` with the time until there will be one.
        """
        self._refill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return None
        rate = self._part.of_rate(self.account.rate_per_s)
        retry_after_s = None
        if rate > 0:
            retry_after_s = (1 - self._tokens) / rate
        return Failure(
            Code.ACCOUNT_LIMIT,
            'requests a second',
            retry_after_s=retry_after_s,
        )

    def return_token(self) -> None:
        """Give back the token of a request that was not run."""
        self._tokens = min(self._burst(), self._tokens + 1)

    # Queries.

    @property
    def max_in_flight(self) -> int:
        """Return how many requests may run at once here."""
        return self._part.of_count(self.account.max_in_flight)

    @property
    def may_start(self) -> bool:
        """Return whether one more request may run now."""
        return self.in_flight < self.max_in_flight

    @property
    def share(self) -> float:
        """Return this entry's share of the limits."""
        return self._part.share

    def _burst(self) -> float:
        # A part of a small burst would refuse what comes by chance at once.
        least = min(self.account.burst, _LEAST_BURST)
        return max(1, least, self._part.of_rate(self.account.burst))

    def _refill(self, now: float) -> None:
        rate = self._part.of_rate(self.account.rate_per_s)
        gained = max(0, now - self._refilled_at) * rate
        self._tokens = min(self._burst(), self._tokens + gained)
        self._refilled_at = now
