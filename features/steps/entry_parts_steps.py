"""Steps that check single components of an entry with test doubles."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from behave import given, then, when

from damaskpoint.config.model import (
    Account,
    Pipeline,
    Stage,
    StageKind,
)
from damaskpoint.entry.confirmed_router import ConfirmedRouter
from damaskpoint.entry.shutdown import PendingWork, ShutdownState
from damaskpoint.entry.stall_guard import StallGuard
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.pipeline.model import PipelineRequest, StageJob, StageResult
from damaskpoint.pipeline.pipeline_runner import PipelineRun
from damaskpoint.pipeline.stage_times import StageTimes
from damaskpoint.routing.base import (
    CallReport,
    RouteQuery,
    Router,
    Ticket,
    Upstream,
)
from damaskpoint.settings_base import ShutdownOptions

_UPSTREAM = Upstream('u', 'p', 'z', '127.0.0.1', 1, 1)
_NOW = 1_000.0


class _Confirmation:
    """Fakes the configuration follower."""

    def __init__(self) -> None:
        """Start as confirmed."""
        self.is_confirmed = True

    def check_ready(self, now: float) -> Failure | None:
        """Return why the configuration may not be used."""
        return None if self.is_confirmed else Failure(Code.CONFIGURATION_STALE)


class _WaitingRouter(Router):
    """Returns tickets, optionally after the confirmation is lost."""

    def __init__(
        self, confirmation: _Confirmation, loses_confirmation: bool
    ) -> None:
        """Lose the confirmation while a call waits, if so configured."""
        self.open_tickets = 0
        self._confirmation = confirmation
        self._loses_confirmation = loses_confirmation

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket."""
        if self._loses_confirmation:
            self._confirmation.is_confirmed = False
        self.open_tickets += 1
        return Ticket(1, _UPSTREAM, is_cold=False, issued_at=time.monotonic())

    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Count a released ticket."""
        self.open_tickets -= 1


class _FakeStageRunner:
    """Fakes the stage runner; each stage succeeds."""

    async def run(self, job: StageJob) -> StageResult | Failure:
        """Return a result at once."""
        return StageResult('r', job.stage.name, 'a', 'output', 1, 'u', 0.1)


@given('an entry whose configuration stops being confirmed {moment}')
def make_router(context: Any, moment: str) -> None:
    """Create a router that loses the confirmation at that moment."""
    confirmation = _Confirmation()
    confirmation.is_confirmed = moment != 'before the call'
    context.inner = _WaitingRouter(confirmation, confirmation.is_confirmed)
    context.router = ConfirmedRouter(
        context.inner,
        # Implements the only method of the follower that the router calls.
        confirmation,  # type: ignore[arg-type]
        StallGuard(),
    )


@then('a call gets no ticket, and every ticket is released')
def check_no_ticket(context: Any) -> None:
    """Acquire a ticket, which must fail."""
    query = RouteQuery('r', 'p', '', '', b'', frozenset(), _NOW)
    acquired = asyncio.run(context.router.acquire(query))
    assert isinstance(acquired, Failure), acquired
    assert acquired.ran is Ran.NO
    assert context.inner.open_tickets == 0


@given('an event loop whose iterations were recorded at {times}')
def make_stall_guard(context: Any, times: str) -> None:
    """Record each iteration of the loop (seconds)."""
    context.stall_guard = StallGuard()
    for now in times.split(', '):
        context.stall_guard.record_loop_iteration(float(now))


@when('an instance list arrives that was requested at {requested_at:f}')
def receive_list(context: Any, requested_at: float) -> None:
    """Record an instance list."""
    context.stall_guard.on_instance_list(requested_at)


@then('calls at {now:f} are {decision}')
def check_decision(context: Any, now: float, decision: str) -> None:
    """Check whether a call may be sent."""
    failure = context.stall_guard.check(now)
    assert (failure is not None) == (decision == 'refused'), failure
    assert failure is None or failure.ran is Ran.NO


@given('a shutdown with {notice:d} s of notice and a limit of {limit:d} s')
def make_shutdown(context: Any, notice: int, limit: int) -> None:
    """Create a shutdown that has not begun."""
    options = ShutdownOptions(notice_s=notice, limit_s=limit)
    context.shutdown = ShutdownState(options)
    assert context.shutdown.check_ready() is None


@when(
    'it is requested twice, first {age:d} s ago, with {in_flight:d} requests '
    'in flight'
)
def begin_shutdown(context: Any, age: int, in_flight: int) -> None:
    """Begin twice; the second request must not change the start time."""
    context.shutdown.begin(_NOW)
    context.shutdown.begin(_NOW + 1)
    context.shutdown.advance(PendingWork(in_flight, 0), _NOW + age)


@then('its phase is "{phase}" and it is not ready')
def check_phase(context: Any, phase: str) -> None:
    """Check the phase and the readiness."""
    assert context.shutdown.phase.value == phase, context.shutdown.phase
    assert context.shutdown.check_ready() is not None


@given('a pipeline whose second of three stages has a side effect')
def make_pipeline(context: Any) -> None:
    """Create a request to the pipeline."""
    stages = [
        Stage(name, StageKind.ENCODE, 'p', 'm', '', has_side_effect=has_effect)
        for name, has_effect in (('a', False), ('b', True), ('c', False))
    ]
    pipeline = Pipeline('p', tuple(stages), 1_000, frozenset(('x',)))
    account = Account('x', '', 1, 1, 1, 1, 1)
    context.request = PipelineRequest(
        'r', account, pipeline, 'input', time.monotonic() + 100, '', 'd'
    )


@then('failures after these stages report whether the request ran')
def check_described(context: Any) -> None:
    """Run the number of stages of each row, then describe a failure."""
    for row in context.table:
        runner: Any = _FakeStageRunner()
        run = PipelineRun(context.request, None, runner, StageTimes())
        assert asyncio.run(run.run_until(int(row['done']))) is None
        failure = Failure(Code.UPSTREAM_BROKEN, ran=Ran(row['ran']))
        assert run.describe(failure).ran is Ran(row['reported']), row
