"""Plans an open-loop load: when each request is due, and whose it is.

The times do not depend on how the system answers, so that a slow answer
cannot thin out the load that follows it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from damaskpoint.load.model import Planned

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from damaskpoint.load.model import AccountLoad, Profile, Source


@final
@dataclass(frozen=True, slots=True)
class LoadShape:
    """The offered rate over time."""

    # Mean requests a second outside of bursts.
    rate_per_s: float
    duration_s: float
    # Every ``burst_every_s`` the rate is ``burst_factor`` times higher for
    # ``burst_length_s``; 0 for no bursts.
    burst_every_s: float = 0
    burst_length_s: float = 1
    burst_factor: float = 1

    def rate_at(self, at_s: float) -> float:
        """Return the offered rate at a time from the start, per second."""
        if not self.burst_every_s:
            return self.rate_per_s
        since_burst_s = at_s % self.burst_every_s
        if since_burst_s < self.burst_length_s:
            return self.rate_per_s * self.burst_factor
        return self.rate_per_s


def plan_arrivals(
    profile: Profile, shape: LoadShape, rng: random.Random
) -> tuple[Planned, ...]:
    """Return Poisson arrivals by time; the same seed plans the same load."""
    planned: list[Planned] = []
    for at_s in _times(shape, rng):
        planned.append(
            Planned(
                number=len(planned),
                at_s=at_s,
                account=_pick_account(profile.accounts, rng),
                source=_pick_source(profile.sources, rng),
            )
        )
    return tuple(planned)


def _times(shape: LoadShape, rng: random.Random) -> Iterator[float]:
    """Thin a Poisson process of the highest rate down to the rate wanted."""
    highest = shape.rate_per_s * max(1.0, shape.burst_factor)
    at_s = rng.expovariate(highest)
    while at_s < shape.duration_s:
        if rng.random() * highest < shape.rate_at(at_s):
            yield at_s
        at_s += rng.expovariate(highest)


def _pick_account(
    accounts: tuple[AccountLoad, ...], rng: random.Random
) -> AccountLoad:
    shares = [account.share for account in accounts]
    return rng.choices(accounts, shares)[0]


def _pick_source(sources: tuple[Source, ...], rng: random.Random) -> Source:
    shares = [source.share for source in sources]
    return rng.choices(sources, shares)[0]
