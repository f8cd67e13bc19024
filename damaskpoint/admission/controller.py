"""The asyncio side of admission control.

``AdmissionCore`` decides; the controller suspends the queued requests until
their outcome and runs the timer for the next check.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, final

from tornado import ioloop

from damaskpoint.admission import metrics
from damaskpoint.admission.base import Admission, AdmissionPass
from damaskpoint.admission.core import AdmissionCore, Queued
from damaskpoint.admission.pool_limiter import UnknownCapacity
from damaskpoint.admission.shares import NoPeers
from damaskpoint.errors import Failure
from damaskpoint.observe.state import StateSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpoint.admission.base import AdmissionRequest
    from damaskpoint.admission.pool_limiter import CapacitySource
    from damaskpoint.admission.shares import DemandSource
    from damaskpoint.config.model import Configuration
    from damaskpoint.settings import AdmissionOptions

# Lower rates are not reported to peers (requests per second).
_MIN_REPORTED_RATE_PER_S: Final = 0.01


def create_admission(
    options: AdmissionOptions,
    clock: Callable[[], float],
    *,
    own_name: str = 'alone',
    demand: DemandSource | None = None,
    capacity: CapacitySource | None = None,
) -> AdmissionController:
    """Return a controller that refuses all requests until it is configured.

    Without ``demand``, this entry has the whole of each limit. Without
    ``capacity``, only the limits of the client accounts bound the requests
    in flight.
    """
    core = AdmissionCore(
        own_name,
        options.queue_limit,
        demand or NoPeers(own_name),
        capacity or UnknownCapacity(),
    )
    return AdmissionController(core, clock)


@final
@dataclass(frozen=True, slots=True)
class AccountDemand:
    """The demand of one account at this entry."""

    account: str
    offered_per_s: float
    # Requests that run or wait.
    outstanding: int


@final
class AdmissionController(Admission, StateSource):
    """Suspends queued requests and delivers their outcomes to them."""

    def __init__(self, core: AdmissionCore, clock: Callable[[], float]) -> None:
        """Use the current loop's timers; ``clock`` is monotonic, in seconds."""
        self.core = core
        self._clock = clock
        self._waiters_by_number: dict[
            int, asyncio.Future[AdmissionPass | Failure]
        ] = {}
        self._timer: object | None = None

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the client accounts and targets by those configured."""
        self.core.apply_configuration(configuration, self._clock())

    async def admit(self, request: AdmissionRequest) -> AdmissionPass | Failure:
        """Return a pass, after a bounded and fair wait, or a failure."""
        decision = self.core.offer(request, self._clock())
        if isinstance(decision, Queued):
            result = await self._wait(decision.number, request)
            _record_result(request, result, 'yes')
        else:
            result = decision
            _record_result(request, result, 'no')
        metrics.RUNNING.set({}, self.core.running_count)
        return result

    def release(self, admission_pass: AdmissionPass, is_complete: bool) -> None:
        """Release a pass; a second call has no effect."""
        self.core.release(
            admission_pass, self._clock(), is_complete=is_complete
        )
        self._advance()

    def own_demands(self, now: float) -> tuple[AccountDemand, ...]:
        """Return the demand of each account that has any at this entry.

        Without any demand, the first account is reported with none, so that
        peers can distinguish an idle entry from one without a report.
        """
        demands = []
        for limits in self.core.accounts.list_existing():
            name = limits.account.name
            outstanding = limits.in_flight + self.core.queue.count_of(name)
            rate_per_s = limits.demand.rate_per_s(now)
            if outstanding or rate_per_s >= _MIN_REPORTED_RATE_PER_S:
                demands.append(AccountDemand(name, rate_per_s, outstanding))
        first_account_name = self.core.accounts.first_account_name
        if not demands and first_account_name is not None:
            demands.append(AccountDemand(first_account_name, 0, 0))
        return tuple(demands)

    def dump_state(self, now: float) -> dict[str, object]:
        """Return the state of accounts, queue, pools and service times."""
        accounts: dict[str, object] = {}
        for limits in self.core.accounts.list_existing():
            name = limits.account.name
            accounts[name] = {
                'in_flight': limits.in_flight,
                'max_in_flight': limits.max_in_flight,
                'share': round(limits.fraction, 4),
                'offered_per_s': round(limits.demand.rate_per_s(now), 2),
                'waiting_cost_s': round(self.core.queue.cost_of(name), 3),
            }
        return {
            'running': self.core.running_count,
            'waiting': len(self.core.queue),
            'accounts_by_name': accounts,
            'pools': self.core.pool_limiter.dump(),
            'service_times_by_target': self.core.service_times.dump(now),
        }

    async def _wait(
        self, number: int, request: AdmissionRequest
    ) -> AdmissionPass | Failure:
        waiter: asyncio.Future[AdmissionPass | Failure] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters_by_number[number] = waiter
        self._advance()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon_wait(number, waiter)
            metrics.ABANDONED.inc({'account': request.account})
            raise
        finally:
            self._waiters_by_number.pop(number, None)

    def _abandon_wait(
        self, number: int, waiter: asyncio.Future[AdmissionPass | Failure]
    ) -> None:
        """Clean up after a cancelled wait.

        The request may have been admitted in the same iteration of the event
        loop; then its pass is released.
        """
        self.core.queue.remove(number)
        if not waiter.done() or waiter.cancelled():
            return
        admitted = waiter.result()
        if isinstance(admitted, AdmissionPass):
            self.release(admitted, is_complete=False)

    def _advance(self) -> None:
        """Deliver the outcomes that are due and schedule the next check."""
        now = self._clock()
        for outcome in self.core.advance(now):
            waiter = self._waiters_by_number.pop(outcome.number, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(outcome.result)
            elif isinstance(outcome.result, AdmissionPass):
                self.core.release(outcome.result, now, is_complete=False)
        metrics.WAITING.set({}, len(self.core.queue))
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        loop = ioloop.IOLoop.current()
        if self._timer is not None:
            loop.remove_timeout(self._timer)
            self._timer = None
        check_at = self.core.next_check
        if check_at is not None:
            wait_s = max(0, check_at - now)
            self._timer = loop.call_later(wait_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()


def _record_result(
    request: AdmissionRequest, result: AdmissionPass | Failure, waited: str
) -> None:
    account = request.account
    if isinstance(result, Failure):
        metrics.REFUSED.inc(
            {'account': account, 'code': result.code.value, 'waited': waited}
        )
        return
    metrics.ADMITTED.inc({'account': account, 'waited': waited})
    metrics.WAIT_SECONDS.observe({}, result.admitted_at - request.arrived_at)
