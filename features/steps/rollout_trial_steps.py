"""Steps on trials of rollouts, and on the stand-ins that they rely on."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, Final

from behave import given, then, when
from tornado import httpclient, simple_httpclient

from features.drawn_rollouts import run_rollout
from features.support.gateway_site import HOST, Site, run, until
from features.support.rollout_plan import draw_plan
from features.support.rollout_platform import RolloutPlatform
from standins.runner import RunnerState
from standins.versions import FaultKind, ServiceVersion, VersionFault

_TIME_S: Final = 0.02
# A good response takes less than this many service times.
_SLOW: Final = 4
_DRAIN_S: Final = 0.3


@given('a store for rollouts')
def start_store(context: Any) -> None:
    """Start a store without gateways."""
    context.site = Site()
    context.site.start_store()
    context.closers.append(context.site.stop)
    context.has_rollouts = True


@given(
    'a runner whose version {what}, with the load {load:d} and the route '
    '"{route}"'
)
@given('a runner whose version {what}, with the load {load:d} and the route ""')
def start_runner(context: Any, what: str, load: int, route: str = '') -> None:
    """Start a runner whose responses are bad from a load on."""
    start_store(context)
    kind, _, later = what.partition(' after ')
    context.version = ServiceVersion()
    if kind != 'has no fault':
        delay_s = float(later.removesuffix(' s') or 0)
        starts_at = time.monotonic() + delay_s
        context.version.fault = VersionFault(
            FaultKind(kind), starts_at=starts_at, min_load=load, route=route
        )
    state = RunnerState('r-1', _TIME_S, version=context.version)
    context.site.start_runner(state, 'plain')


@when(
    '{count:d} requests are sent to each of the routes "{first}" and "{last}"'
)
def send_to_routes(context: Any, count: int, first: str, last: str) -> None:
    """Send requests one by one; keep which answers are bad."""
    ids = [
        f'{route}.{number}'
        for route in (first, last)
        for number in range(count)
    ]
    port = context.site.ports_by_name['r-1']
    context.bad = sum(
        run(context, _is_bad(port, request_id)) for request_id in ids
    )


async def _is_bad(port: int, request_id: str) -> bool:
    started_at = time.monotonic()
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    headers = {'Damaskpoint-Request-Id': request_id}
    request = httpclient.HTTPRequest(f'http://{HOST}:{port}/', headers=headers)
    try:
        answer = await client.fetch(request, raise_error=False)
    except simple_httpclient.HTTPStreamClosedError:
        return True
    took_s = time.monotonic() - started_at
    return answer.code != 200 or took_s > _SLOW * _TIME_S


@then('{bad:d} of them are bad, and the runner has counted as many')
def check_bad(context: Any, bad: int) -> None:
    """Compare what the caller saw and what the stand-in counted."""
    assert context.bad == bad, context.bad
    assert len(context.version.bad_at) == bad, context.version.bad_at


@then('writes to "{first}" and "{last}" get 403, others are applied together')
def check_writes(context: Any, first: str, last: str) -> None:
    """Send transactions with the version 0 of two rows expected."""
    outcomes = [
        run(context, _write(context.site, tables))
        for tables in ((first, 'x'), (last, 'x'), ('status', 'rollouts'))
    ]
    assert outcomes == [403, 403, 200], outcomes
    assert not context.site.store.read('x')
    assert run(context, _write(context.site, ('more', 'rollouts'))) == 412
    assert not context.site.store.read('more')


async def _write(site: Site, tables: tuple[str, ...]) -> int:
    keys = [{'Table': table, 'part': '', 'Key': 'k'} for table in tables]
    body = {
        'ExpectedRev': [{**key, 'Ver': 0} for key in keys],
        'Writes': [{**key, 'Value': ''} for key in keys],
        'Remove': [],
    }
    answer = await simple_httpclient.SimpleAsyncHTTPClient().fetch(
        f'http://{HOST}:{site.store_port}/v1/rows-tx',
        method='POST',
        body=json.dumps(body),
        raise_error=False,
    )
    assert answer.code == 403 or json.loads(answer.body)['NowMs'] > 0
    return answer.code


@given('a platform with runners of "{one}", "{two}" and "{three}"')
def start_platform(context: Any, one: str, two: str, three: str) -> None:
    """Start two runners of each version."""

    async def start() -> None:
        platform = RolloutPlatform(context.site, 'plain', _DRAIN_S)
        for name in (one, two, three):
            platform.start_runners(ServiceVersion(name), 2, 0)
        context.following = asyncio.ensure_future(platform.follow())

    run(context, start())


@when('the status is "{state}" to "{to}"')
def set_status(context: Any, state: str, to: str) -> None:
    """Write the status row as a gateway does."""
    status = {'State': state, 'To': to}
    context.site.store.put('status', 'rollout/plain', status)


@then('the runners become "{states}"')
def check_runners(context: Any, states: str) -> None:
    """Wait until the rows have these versions and states."""
    wanted = set(states.split(', '))
    run(context, until(lambda: _list_states(context.site) == wanted))


def _list_states(site: Site) -> set[str]:
    rows = site.store.read('servers')
    entries = [json.loads(site.store.decode(row)) for row in rows]
    return {f'{entry["Version"]} {entry["State"]}' for entry in entries}


@given('gateways without the settings of rollouts')
def leave_out_settings(context: Any) -> None:
    """Start the gateways of the next rollout without that section."""
    context.has_rollouts = False


@when(
    'the rollout {seed:d} of the kind "{kind}" runs for {time_s:d} s with the '
    'fault "{fault}"'
)
def run_trial(
    context: Any, seed: int, kind: str, time_s: int, fault: str
) -> None:
    """Run one rollout with 8 gateways."""
    plan = draw_plan(seed, 8, kind, fault, time_s)
    has_rollouts = getattr(context, 'has_rollouts', True)
    context.report = run(context, run_rollout(plan, has_rollouts=has_rollouts))


@then('it has no violations')
def check_no_violations(context: Any) -> None:
    """Assert that the rollout ended right."""
    assert not context.report.violations, context.report


@then('it has violations')
def check_violations(context: Any) -> None:
    """Assert that all checks of the table fail."""
    missing = {row['violation'] for row in context.table}
    missing.difference_update(context.report.violations)
    assert not missing, context.report
