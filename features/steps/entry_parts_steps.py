"""Steps that check small parts of the entry with fakes beside them."""

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
from damaskpoint.entry.stall_guard import StallGuard
from damaskpoint.entry.shutdown import PendingWork, ShutdownState
from damaskpoint.errors import Code, Failure, Ran
from damaskpoint.pipeline.pipeline_runner import PipelineRun
from damaskpoint.pipeline.stage_times import StageTimes
from damaskpoint.pipeline.work import PipelineRequest, StageJob, StageResult
from damaskpoint.routing.base import (
    CallReport,
    RouteQuery,
    Router,
    Ticket,
    Upstream,
)
from damaskpoint.settings import ShutdownOptions

_UPSTREAM = Upstream('u', 'p', 'z', '127.0.0.1', 1, 1)
_NOW = 1_000.0


class _Confirmation:
    """Stands for the follower of the configuration."""

    def __init__(self) -> None:
        """Start as confirmed."""
        self.is_confirmed = True

    def check_ready(self, now: float) -> Failure | None:
        """Return why the configuration may not be used."""
        return None if self.is_confirmed else Failure(Code.CONFIGURATION_STALE)


class _WaitingRouter(Router):
    """Gives tickets, perhaps after the confirmation was lost."""

    def __init__(self, confirmation: _Confirmation, loses: bool) -> None:
        """Keep what happens while a call waits."""
        self.open_tickets = 0
        self._confirmation = confirmation
        self._loses = loses

    async def acquire(self, query: RouteQuery) -> Ticket | Failure:
        """Return a ticket."""
        if self._loses:
            self._confirmation.is_confirmed = False
        self.open_tickets += 1
        return Ticket(1, _UPSTREAM, is_cold=False, taken_at=time.monotonic())

    def release(self, ticket: Ticket, report: CallReport) -> None:
        """Count a ticket back."""
        self.open_tickets -= 1


class _Stages:
    """Stands for the runner of stages; each of them succeeds."""

    async def run(self, job: StageJob) -> StageResult | Failure:
        """Return a result at once."""
        return StageResult('r', job.stage.name, 'a', 'output', 1, 'u', 0.1)


@given('an entry whose configuration stops being confirmed {moment}')
def make_router(context: Any, moment: str) -> None:
    """Lose the confirmation at that moment."""
    confirmation = _Confirmation()
    confirmation.is_confirmed = moment != 'before the call'
    context.inner = _WaitingRouter(confirmation, confirmation.is_confirmed)
    context.router = ConfirmedRouter(
        context.inner,
        # It answers the one question that the router asks.
        confirmation,  # type: ignore[arg-type]
        StallGuard(),
    )


@then('a call gets no ticket, and every ticket is given back')
def check_no_ticket(context: Any) -> None:
    """Ask for one."""
    query = RouteQuery('r', 'p', '', '', b'', frozenset(), _NOW)
    acquired = asyncio.run(context.router.acquire(query))
    assert isinstance(acquired, Failure), acquired
    assert acquired.ran is Ran.NO
    assert context.inner.open_tickets == 0


@given('a loop whose turns were seen at {times}')
def make_stall_guard(context: Any, times: str) -> None:
    """Tell the guard of each turn, in seconds."""
    context.stall_guard = StallGuard()
    for now in times.split(', '):
        context.stall_guard.note_turn(float(now))


@when('a list comes that was asked for at {asked_at:f}')
def hear_list(context: Any, asked_at: float) -> None:
    """Tell the guard of a list."""
    context.stall_guard.note_list(asked_at)


@then('calls at {now:f} are {verdict}')
def check_held(context: Any, now: float, verdict: str) -> None:
    """Ask whether a call may go out."""
    failure = context.stall_guard.check(now)
    assert (failure is not None) == (verdict == 'held back'), failure
    assert failure is None or failure.ran is Ran.NO


@given('a shutdown with {notice:d} s of notice and a limit of {limit:d} s')
def make_shutdown(context: Any, notice: int, limit: int) -> None:
    """Make it; it has not begun."""
    options = ShutdownOptions(notice_s=notice, limit_s=limit)
    context.shutdown = ShutdownState(options)
    assert context.shutdown.check_ready() is None


@when(
    'it was begun {age:d} s ago, twice, with {in_flight:d} requests in flight'
)
def begin_shutdown(context: Any, age: int, in_flight: int) -> None:
    """Begin, and begin again a little later, which changes nothing."""
    context.shutdown.begin(_NOW)
    context.shutdown.begin(_NOW + 1)
    context.shutdown.advance(PendingWork(in_flight, 0), _NOW + age)


@then('its phase is "{phase}" and it is not ready')
def check_phase(context: Any, phase: str) -> None:
    """Compare the phase."""
    assert context.shutdown.phase.value == phase, context.shutdown.phase
    assert context.shutdown.check_ready() is not None


@given('a pipeline whose second of three stages has a side effect')
def make_pipeline(context: Any) -> None:
    """Make a request to it."""
    stages = [
        Stage(name, StageKind.ENCODE, 'p', 'm', '', has_side_effect=has_effect)
        for name, has_effect in (('a', False), ('b', True), ('c', False))
    ]
    pipeline = Pipeline('p', tuple(stages), 1_000, frozenset(('x',)))
    account = Account('x', '', 1, 1, 1, 1, 1)
    context.request = PipelineRequest(
        'r', account, pipeline, 'input', time.monotonic() + 100, '', 'd'
    )


@then('failures after these stages say of the request')
def check_described(context: Any) -> None:
    """Run as many stages as the row says, then describe a failure."""
    for row in context.table:
        stages: Any = _Stages()
        run = PipelineRun(context.request, None, stages, StageTimes())
        assert asyncio.run(run.run_until(int(row['done']))) is None
        failure = Failure(Code.UPSTREAM_BROKEN, ran=Ran(row['ran']))
        assert run.describe(failure).ran is Ran(row['says']), row
