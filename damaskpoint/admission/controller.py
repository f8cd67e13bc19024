"""The asynchronous side of admission: waits on behalf of requests."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, final

from damaskpoint.admission.base import Admission, AdmissionPass
from damaskpoint.errors import Code, Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.admission.base import AdmissionRequest
    from damaskpoint.config.model import Account, Configuration
    from damaskpoint.settings import AdmissionOptions


def create_admission(
    options: AdmissionOptions, clock: Callable[[], float]
) -> AdmissionController:
    """Return an admission that refuses all until it has a configuration."""
    return AdmissionController(options, clock)


@final
class AdmissionController(Admission, StateSource):
    """Bounds each client account by its rate and its requests in flight."""

    def __init__(
        self, options: AdmissionOptions, clock: Callable[[], float]
    ) -> None:
        """Start without client accounts."""
        self._options = options
        self._clock = clock
        self._numbers = itertools.count(1)
        self._accounts_by_name: dict[str, Account] = {}
        self._in_flight_by_account: dict[str, int] = {}
        self._tokens_by_account: dict[str, tuple[float, float]] = {}
        self._open_numbers: set[int] = set()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take over the client accounts of a configuration."""
        self._accounts_by_name = dict(configuration.accounts_by_name)

    async def admit(self, request: AdmissionRequest) -> AdmissionPass | Failure:
        """Return a pass, or ``ACCOUNT_LIMIT`` at once."""
        now = self._clock()
        account = self._accounts_by_name.get(request.account)
        if account is None:
            return Failure(Code.UNKNOWN_ACCOUNT, request.account)
        in_flight = self._in_flight_by_account.get(account.name, 0)
        if in_flight >= account.max_in_flight:
            return Failure(
                Code.ACCOUNT_LIMIT, 'requests in flight', retry_after_s=1
            )
        tokens = self._refill(account, now)
        if tokens < 1:
            wait_s = (1 - tokens) / account.rate_per_s
            return Failure(
                Code.ACCOUNT_LIMIT,
                'requests a second',
                retry_after_s=math.ceil(wait_s),
            )
        self._tokens_by_account[account.name] = (tokens - 1, now)
        self._in_flight_by_account[account.name] = in_flight + 1
        number = next(self._numbers)
        self._open_numbers.add(number)
        return AdmissionPass(number, account.name, request.target, now)

    def release(self, admission_pass: AdmissionPass, is_whole: bool) -> None:
        """Give a pass back; a second time changes nothing."""
        if admission_pass.number not in self._open_numbers:
            return
        self._open_numbers.remove(admission_pass.number)
        self._in_flight_by_account[admission_pass.account] -= 1

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the requests in flight by client account."""
        return {'in_flight_by_account': dict(self._in_flight_by_account)}

    def _refill(self, account: Account, now: float) -> float:
        burst = float(account.burst)
        tokens, since = self._tokens_by_account.get(account.name, (burst, now))
        return min(burst, tokens + (now - since) * account.rate_per_s)
