"""Plans an open-loop load: the time, account and kind of each request.

Send times do not depend on responses, so a slow response does not reduce the
load that follows it (no coordinated omission).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.load.model import PlannedRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from damaskpoint.load.model import AccountLoad, Profile, TrafficClass


@final
@dataclass(frozen=True, slots=True)
class LoadShape:
    """The offered rate over time."""

    # Mean rate outside of bursts.
    rate_per_s: float
    duration_s: float
    # Every ``burst_every_s`` the rate is multiplied by ``burst_factor`` for
    # ``burst_length_s``; 0 disables bursts.
    burst_every_s: float = 0
    burst_length_s: float = 1
    burst_factor: float = 1

    def rate_at(self, at_s: float) -> float:
        """Return the offered rate per second, ``at_s`` after the start."""
        if not self.burst_every_s:
            return self.rate_per_s
        since_burst_s = at_s % self.burst_every_s
        if since_burst_s < self.burst_length_s:
            return self.rate_per_s * self.burst_factor
        return self.rate_per_s


def plan_arrivals(
    profile: Profile, shape: LoadShape, rng: random.Random
) -> tuple[PlannedRequest, ...]:
    """Return Poisson arrivals in time order; a seed fixes the plan."""
    planned: list[PlannedRequest] = []
    for at_s in _generate_arrival_times(shape, rng):
        planned.append(
            PlannedRequest(
                number=len(planned),
                at_s=at_s,
                account=_pick_account(profile.accounts, rng),
                traffic_class=_pick_traffic_class(profile.traffic_classes, rng),
            )
        )
    return tuple(planned)


def _generate_arrival_times(
    shape: LoadShape, rng: random.Random
) -> Iterator[float]:
    """Yield arrival times: a Poisson process at the peak rate, thinned."""
    peak_rate_per_s = shape.rate_per_s * max(1.0, shape.burst_factor)
    at_s = rng.expovariate(peak_rate_per_s)
    while at_s < shape.duration_s:
        if rng.random() * peak_rate_per_s < shape.rate_at(at_s):
            yield at_s
        at_s += rng.expovariate(peak_rate_per_s)


def _pick_account(
    accounts: tuple[AccountLoad, ...], rng: random.Random
) -> AccountLoad:
    shares = [account.share for account in accounts]
    return rng.choices(accounts, shares)[0]


def _pick_traffic_class(
    traffic_classes: tuple[TrafficClass, ...], rng: random.Random
) -> TrafficClass:
    shares = [traffic_class.share for traffic_class in traffic_classes]
    return rng.choices(traffic_classes, shares)[0]
