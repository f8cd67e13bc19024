"""Steps on prompts that crash runners."""

from __future__ import annotations

import asyncio
import http
import logging
from typing import Any, Final

from behave import given, then, when

from damaskpoint.forwarding.metrics import RUNS_BROKEN
from damaskpoint.quarantine.metrics import PARTS
from features.steps.runner_answer_steps import RecordList
from features.support.crashing_site import CRASHING_PART, CrashingSite
from features.support.gateway_site import run
from standins.crashing_runner import CrashPoint

_SEED: Final = 31
_CRASHES: Final = 5
_CRASH_INTERVAL_S: Final = 0.5
_QUARANTINE_S: Final = 600
_LEAST_LEFT_S: Final = 590
_QUARANTINED: Final = 'prompt_quarantined'


def _start(
    context: Any,
    gateways: int,
    runners: int,
    part: str | None,
    crash_point: CrashPoint = CrashPoint.HEAD,
) -> None:
    context.crashing = CrashingSite(_SEED, part, crash_point)
    context.closers.append(context.crashing.close)
    run(context, context.crashing.start(runners, gateways))


@given(
    '{gateways:d} gateways and {runners:d} runners that crash on one part of'
    ' prompts'
)
def start_crashing(context: Any, gateways: int, runners: int) -> None:
    """Start the site."""
    _start(context, gateways, runners, CRASHING_PART)


@given(
    '{gateways:d} gateways and {runners:d} runners that send {point} and crash'
    ' on one part of prompts'
)
def start_crashing_at(
    context: Any, gateways: int, runners: int, point: str
) -> None:
    """Start the site with runners that crash at this point of an answer."""
    _start(context, gateways, runners, CRASHING_PART, CrashPoint(point))


@given(
    '{gateways:d} gateways and {runners:d} runners that crash on no part of'
    ' prompts'
)
def start_sound(context: Any, gateways: int, runners: int) -> None:
    """Start the site; the part that requests have is a sound one."""
    _start(context, gateways, runners, None)


@when('callers send sound and crashing requests for {seconds:g} s')
def press(context: Any, seconds: float) -> None:
    """Send until the time is over and all answers are there."""
    run(context, context.crashing.press(seconds))


@when('callers send sound requests for {seconds:g} s while runners crash')
def press_and_crash(context: Any, seconds: float) -> None:
    """Crash a runner every now and then."""

    async def crash() -> None:
        while True:
            await asyncio.sleep(_CRASH_INTERVAL_S)
            context.crashing.crash()

    async def press_beside() -> None:
        crashing = asyncio.ensure_future(crash())
        await context.crashing.press(seconds)
        crashing.cancel()

    run(context, press_beside())


@then(
    'at most {most:d} crashing requests reach runners later than {bound_s:g} s'
    ' after the fifth crash'
)
def check_reached(context: Any, most: int, bound_s: float) -> None:
    """Count the arrivals at runners, repeats included."""
    limit = _find_limit(context, bound_s)
    late = [at for at in context.crashing.fleet.reached_at if at > limit]
    assert len(late) <= most, len(late)


@then(
    'all sound requests sent later than {bound_s:g} s after the fifth crash are'
    ' answered whole'
)
def check_sound(context: Any, bound_s: float) -> None:
    """Look for sound requests that failed."""
    limit = _find_limit(context, bound_s)
    sound = [
        answer
        for answer in context.crashing.answers
        if not answer.is_crashing and answer.sent_at > limit
    ]
    failed = [answer.status for answer in sound if not answer.is_whole]
    assert sound
    assert not failed, (len(sound), failed)


def _find_limit(context: Any, bound_s: float) -> float:
    crashed_at = context.crashing.fleet.crashed_at
    assert len(crashed_at) >= _CRASHES, len(crashed_at)
    return float(crashed_at[_CRASHES - 1]) + bound_s


@given('the lines of the log are kept')
def keep_lines(context: Any) -> None:
    """Keep all log records until the end of the scenario."""
    logger = logging.getLogger('damaskpoint')
    context.log = RecordList()
    level = logger.level
    logger.addHandler(context.log)
    logger.setLevel(logging.INFO)
    context.closers.append(lambda: logger.setLevel(level))
    context.closers.append(lambda: logger.removeHandler(context.log))


@then('the log tells of {count:d} failures of the part and of its quarantine')
def check_log(context: Any, count: int) -> None:
    """Look for the lines before and at the begin of the quarantine."""
    suspected = [
        record.failures_by_part.get(CRASHING_PART)
        for record in _find(context, 'prompt parts suspected')
    ]
    assert count in suspected, suspected
    parts = {
        record.part for record in _find(context, 'prompt part quarantined')
    }
    assert parts == {CRASHING_PART}, parts


@then('the log names the part for each refused request')
def check_refusals(context: Any) -> None:
    """Compare the refusals of the log with those that callers got."""
    refused = [
        answer
        for answer in context.crashing.answers
        if answer.status == http.HTTPStatus.BAD_REQUEST
    ]
    lines = _find(context, 'refused, prompt part quarantined')
    assert refused
    assert len(lines) == len(refused), (len(lines), len(refused))
    for line in lines:
        assert CRASHING_PART in line.reason, line.reason


@then('the metrics count broken runs and one part in quarantine')
def check_metrics(context: Any) -> None:
    """Read the metrics of the process, in which all gateways run."""
    broken: Any = RUNS_BROKEN.get({'service': 'model', 'progress': 'head'})
    assert broken >= _CRASHES, broken
    assert PARTS.get({'state': 'quarantined'}) == 1


@then('the state dump has the part with the time left')
def check_dump(context: Any) -> None:
    """Look into the dump of a gateway."""
    dump = run(context, context.crashing.dump_prompts())
    left_s = dump['quarantined_s_by_part'][CRASHING_PART]
    assert _LEAST_LEFT_S < left_s <= _QUARANTINE_S, left_s


def _find(context: Any, message: str) -> list[Any]:
    return [record for record in context.log.records if record.msg == message]


@when('another gateway starts')
def start_another(context: Any) -> None:
    """Start a gateway beside the others."""
    run(context, context.crashing.start_gateways(1))


@when('all gateways stop and {count:d} others start')
def restart_all(context: Any, count: int) -> None:
    """Stop all gateways before the others start."""
    run(context, context.crashing.stop_gateways())
    run(context, context.crashing.start_gateways(count))


@then('it refuses a crashing request without a run')
def check_refused(context: Any) -> None:
    """Send to the gateway that was started last."""
    _check_refused(context, -1)


@then('each of them refuses a crashing request without a run')
def check_all_refused(context: Any) -> None:
    """Send to the gateways that were started last."""
    _check_refused(context, -1)
    _check_refused(context, -2)


def _check_refused(context: Any, number: int) -> None:
    reached = len(context.crashing.fleet.reached_at)
    answer = run(context, context.crashing.send_crashing(number))
    assert len(context.crashing.fleet.reached_at) == reached
    assert answer.code == _QUARANTINED, answer.body


@then(
    'a crashing request is answered {status:d}, "{code}", without Retry-After'
)
def check_answer(context: Any, status: int, code: str) -> None:
    """Send a request with the part."""
    context.answer = run(context, context.crashing.send_crashing(0))
    assert context.answer.status == status, context.answer.status
    assert context.answer.code == code, context.answer.body
    assert 'Retry-After' not in context.answer.headers


@then('the answer names the part and when it may be accepted again')
def check_detail(context: Any) -> None:
    """Look for the part and a number of seconds."""
    detail = context.answer.body.decode()
    assert CRASHING_PART in detail, detail
    assert ' s' in detail, detail
    assert any(character.isdigit() for character in detail), detail


@then('no request is refused for a part of its prompt')
def check_none_refused(context: Any) -> None:
    """Look at the statuses of all answers."""
    assert context.crashing.fleet.crashed_at
    statuses = [answer.status for answer in context.crashing.answers]
    assert statuses.count(http.HTTPStatus.OK) > len(statuses) / 2, statuses
    assert http.HTTPStatus.BAD_REQUEST not in statuses, statuses
