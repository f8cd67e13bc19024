"""Bounds the requests that an instance sends to a version under test.

Each accumulator gains a share of each request of its service and route, and a
canary takes 1 from it. So the sum over any set of instances stays below the
share of their requests, plus the sum of the starting values.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

import xxhash

if TYPE_CHECKING:
    from damaskpoint.rollout.model import RolloutBounds

# Share of the bound that is used. The rest is for responses that are counted
# differently at the two ends, and for the start of the switch.
_USED_SHARE: Final = 0.8
# Share of the slack that all starting values together stay below. The rest is
# for requests that were sent to runners whose version was not known yet.
_START_SHARE: Final = 0.5
# Canaries that may be sent in a row after a time without a runner for them: a
# burst would be a load of its own.
_MAX_CREDIT: Final = 2.0
_DIGEST_BITS: Final = 64
_MAX_DIGEST: Final = float(1 << _DIGEST_BITS)


@final
@dataclass(slots=True)
class _Account:
    """The accumulators of one rollout, by route."""

    rollout: object
    # What each accumulator may take beside the share of its requests.
    start_limit: float
    # Number of routes that may start above 0.
    routes: int
    credits_by_route: dict[str, float] = field(default_factory=dict)
    # What each accumulator may gain beside the share of its requests.
    extra_by_route: dict[str, float] = field(default_factory=dict)
    taken: float = 0


@final
class Exposure:
    """The accumulators of one instance."""

    def __init__(self, own_name: str, bounds: RolloutBounds) -> None:
        """Start without rollouts."""
        self._own_name = own_name
        self._share = bounds.exposure_share * _USED_SHARE
        self._slack = bounds.exposure_slack * _START_SHARE
        self._accounts_by_service: dict[str, _Account] = {}

    @property
    def share(self) -> float:
        """Return the share of the requests that canaries may take."""
        return self._share

    def begin(
        self, service: str, rollout: object, instances: int | None, routes: int
    ) -> None:
        """Start the accumulators of a rollout; again has no effect.

        ``instances`` is the most that may be running, None if unknown or if
        the rollout began before this process: it then starts without credit,
        as an earlier process of its name may have used it.
        """
        account = self._accounts_by_service.get(service)
        if account is not None and account.rollout == rollout:
            return
        limit = float(0)
        if instances:
            limit = self._slack / (instances * max(1, routes))
        self._accounts_by_service[service] = _Account(rollout, limit, routes)

    def add(self, service: str, route: str, requests: float) -> None:
        """Add the share of requests (calls for stage services)."""
        account = self._accounts_by_service.get(service)
        if account is None:
            return
        credit = self._find_credit(account, service, route)
        gained = requests * self._share
        extra = min(gained, account.extra_by_route[route])
        account.extra_by_route[route] -= extra
        account.credits_by_route[route] = min(
            _MAX_CREDIT, credit + gained + extra
        )

    def take(self, service: str, route: str) -> bool:
        """Take a canary if there is credit for it."""
        account = self._accounts_by_service.get(service)
        if account is None or self._find_credit(account, service, route) < 1:
            return False
        self.charge(service, route, 1)
        return True

    def charge(self, service: str, route: str, requests: float) -> None:
        """Take more from an accumulator, which may become negative."""
        account = self._accounts_by_service.get(service)
        if account is None:
            return
        credit = self._find_credit(account, service, route)
        account.credits_by_route[route] = credit - requests
        account.taken += requests

    def dump(self, service: str) -> dict[str, object]:
        """Return the accumulators of a service for the state dump."""
        account = self._accounts_by_service.get(service)
        if account is None:
            return {}
        return {
            'taken': round(account.taken, 3),
            'start_limit': round(account.start_limit, 4),
            'credits': {
                route: round(credit, 3)
                for route, credit in account.credits_by_route.items()
            },
        }

    def _find_credit(
        self, account: _Account, service: str, route: str
    ) -> float:
        credit = account.credits_by_route.get(route)
        if credit is not None:
            return credit
        limit = account.start_limit
        if len(account.credits_by_route) >= account.routes:
            limit = float(0)
        digest = xxhash.xxh64_intdigest(
            f'{self._own_name}\n{service}\n{route}'.encode()
        )
        start = min(1, limit)
        credit = start - digest / _MAX_DIGEST
        account.credits_by_route[route] = credit
        # The rest doubles the share of the first requests: at once it would be
        # a burst, and small services would find bad versions late without it.
        account.extra_by_route[route] = limit - start
        return credit
