"""Steps that check the decision modules of the request path."""

from __future__ import annotations

import math
from typing import Any

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from damaskpoint.config.model import Pool, PoolKind
from damaskpoint.errors import Failure
from damaskpoint.pipeline import deadline_split
from damaskpoint.pipeline.events import EventParser, render_token
from damaskpoint.pipeline.idempotency import is_idempotent
from damaskpoint.pipeline.retry_budget import RetryBudget
from damaskpoint.pipeline.retry_policy import (
    AttemptHistory,
    decide_retry,
    describe_end,
)
from damaskpoint.pipeline.stage_times import StageTimes
from damaskpoint.routing.base import CallEnd

_NOW = 1_000.0
_FAST_S = 0.05
_RUNS = 50


@given(
    'a call that is {kind} with {sent:d} attempts sent and {remaining_s:g} s left'
)
def make_history(
    context: Any, kind: str, sent: int, remaining_s: float
) -> None:
    """Create the input of the retry policy."""
    context.history = AttemptHistory(
        kind == 'idempotent', sent, 0, remaining_s, _FAST_S
    )


@when('it ended {end}')
def end_call(context: Any, end: str) -> None:
    """Decide on a retry, and describe the failure without one."""
    context.decision = decide_retry(CallEnd(end), context.history)
    context.failure = describe_end(
        CallEnd(end), context.history.is_idempotent, ''
    )


@then('the retry decision is "{decision}" and a final failure says "{ran}"')
def check_decision(context: Any, decision: str, ran: str) -> None:
    """Compare the decision and the final failure."""
    assert context.decision.value == decision, context.decision
    assert context.failure.ran.value == ran, context.failure


@given('a retry budget of {share:g} with a burst of {burst:d}')
def make_budget(context: Any, share: float, burst: int) -> None:
    """Create a full budget."""
    context.budget = RetryBudget(share, burst)


@when('{count:d} retries are spent')
def spend(context: Any, count: int) -> None:
    """Spend retries; each of them must be allowed."""
    for _ in range(count):
        assert context.budget.spend()


@then('no further retry is allowed before {count:d} first attempts')
def check_budget(context: Any, count: int) -> None:
    """Refill one attempt at a time; one more allows for rounding."""
    assert not context.budget.spend()
    for _ in range(count - 1):
        context.budget.record_first_attempt()
    assert not context.budget.spend()
    context.budget.record_first_attempt()
    context.budget.record_first_attempt()
    assert context.budget.spend()


@given('stages whose runs took these seconds, 50 times each')
def record_runs(context: Any) -> None:
    """Record equal runs of each stage."""
    times = StageTimes()
    context.estimates = []
    for row in context.table:
        for _ in range(_RUNS):
            times.record('p', row['stage'], float(row['seconds']), _NOW)
        context.estimates.append(times.find('p', row['stage']))


@then('a request with {remaining_s:g} s left is refused as "{code}"')
def check_refused(context: Any, remaining_s: float, code: str) -> None:
    """Check the code, and that the refusal says when to retry."""
    failure = _check(context, remaining_s, _NOW)
    assert failure is not None
    assert failure.code.value == code
    assert failure.retry_after_s


@then(
    'a request with {remaining_s:g} s left has until {end_s:g} s for its first stage'
)
def check_split(context: Any, remaining_s: float, end_s: float) -> None:
    """Check that the fast runs of the later stages are reserved."""
    assert _check(context, remaining_s, _NOW) is None
    found = deadline_split.stage_deadline(
        context.estimates[1:], _NOW + remaining_s, _NOW
    )
    assert math.isclose(found - _NOW, end_s, abs_tol=0.05), found - _NOW


@then(
    'after {pause_s:d} s without a run a request with {remaining_s:g} s left is accepted'
)
def check_decayed(context: Any, pause_s: int, remaining_s: float) -> None:
    """Check that an estimate that refuses all requests decays."""
    assert _check(context, remaining_s, _NOW + pause_s) is None


@given('a stream of {count:d} token events')
def make_stream(context: Any, count: int) -> None:
    """Render events with alternating line endings."""
    events = []
    for offset in range(1, count + 1):
        event = render_token(offset, f'tökén {offset}\n')
        # Both line endings are allowed.
        is_even = offset % 2 == 0
        events.append(event.replace(b'\n', b'\r\n') if is_even else event)
    context.stream = b''.join(events)


@when('it arrives in chunks split at positions drawn by hypothesis')
def parse_splits(context: Any) -> None:
    """Parse the stream under many different splits."""
    context.parsed = []
    positions = strategies.integers(0, len(context.stream))

    @hypothesis_settings(max_examples=100, derandomize=True, database=None)
    @draw(strategies.lists(positions, max_size=30))
    def parse_one(splits: list[int]) -> None:
        context.parsed.append(_parse(context.stream, sorted(splits)))

    parse_one()


@then('every split gives the same {count:d} events')
def check_events(context: Any, count: int) -> None:
    """Compare with the events of the unsplit stream."""
    whole = _parse(context.stream, [])
    assert len(whole) == count
    assert all(parsed == whole for parsed in context.parsed)


@given('a pool whose idempotent paths are "{paths}"')
def make_pool(context: Any, paths: str) -> None:
    """Create a pool of a plain service."""
    context.pool = Pool(
        'p',
        PoolKind.SERVICE,
        1,
        1,
        checks_fencing=False,
        reports_load=True,
        idempotent_paths=tuple(paths.split(',')),
    )


@then('a call to "{path}" is {kind}')
def check_path(context: Any, path: str, kind: str) -> None:
    """Compare the policy's decision."""
    assert is_idempotent(context.pool, path) == (kind == 'idempotent')


def _check(context: Any, remaining_s: float, now: float) -> Failure | None:
    return deadline_split.check_feasible(
        context.estimates, now + remaining_s, now
    )


def _parse(stream: bytes, splits: list[int]) -> list[object]:
    parser = EventParser()
    events: list[object] = []
    start = 0
    ends = [*splits, len(stream)]
    for end in ends:
        fed = parser.feed(stream[start:end])
        assert not isinstance(fed, Failure)
        events.extend(fed)
        start = end
    return events
