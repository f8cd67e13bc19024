"""Steps that roll out a version at a gateway."""

from __future__ import annotations

import asyncio
import base64
import json
import pathlib
import re
import tempfile
import time
from functools import partial
from typing import Any, Final

from behave import given, then, when

from damaskpoint.errors import Failure
from damaskpoint.gateway.options import load_gateway_options
from features.steps.gateway_steps import send_request
from features.support.gateway_site import Site, find_free_port, run, until
from standins.runner import RunnerState

_SERVICES: Final = ('plain', 'model', 'stage')
_KEY: Final = 'rollout/'
_TEMPLATE: Final = (
    pathlib.Path(__file__).resolve().parents[2] / 'deploy' / 'settings.json5'
)
_SETTLE_S: Final = 0.7
_POLL_S: Final = 0.05


async def _start(context: Any, site: Site) -> None:
    site.start_store()
    site.configure(1)
    born = {'v1': 1000, 'v2': 2000}
    for service in _SERVICES:
        for version in ('v1',) if service == 'model' else ('v1', 'v2'):
            for number in (1, 2):
                name = f'{service}-{version}-{number}'
                events = 2 if service == 'model' else 0
                site.start_runner(RunnerState(name, events=events), service)
                site.register(
                    name, service, Version=version, born=born[version]
                )
    gateway = site.create_gateway()
    context.running = asyncio.ensure_future(gateway.run())
    await until(lambda: gateway.catalog.configuration is not None)
    await until(lambda: len(gateway.catalog.runners) == len(site.ports_by_name))


def _close(context: Any) -> None:
    context.running.cancel()
    context.site.stop()


@given('a site {option} rollouts and 2 runners of each of two versions')
def start_site(context: Any, option: str) -> None:
    """Start the store, the runners and the gateway."""
    site = Site()
    if option == 'with':
        site.settings = {
            'rollouts': {
                'exposure_share': 0.1,
                'exposure_slack': 50,
                'rollback_s': 5,
            }
        }
    context.site = site
    context.answers = []
    context.closers.append(lambda: _close(context))
    run(context, _start(context, site))


@given('the new version answers {status:d}')
def set_status(context: Any, status: int) -> None:
    """Make the new runners fail all requests."""
    for name, state in context.site.runners_by_name.items():
        if '-v2-' in name:
            state.status = status


@given('{count:d} more gateways')
def add_gateways(context: Any, count: int) -> None:
    """Start more gateways and wait until they see each other."""
    run(context, _add_gateways(context, count))


async def _add_gateways(context: Any, count: int) -> None:
    site = context.site
    context.gateways = [site.gateway]
    context.ports = [site.port]
    for number in range(count):
        port = find_free_port()
        gateway = site.create_peer(f'g-{number + 2}', port, find_free_port())
        task = asyncio.ensure_future(gateway.run())
        context.closers.append(task.cancel)
        context.gateways.append(gateway)
        context.ports.append(port)
    for gateway in context.gateways:
        await until(partial(_sees_peers, gateway, count))
        catalog = gateway.catalog
        await until(partial(len, catalog.runners))


def _sees_peers(gateway: Any, count: int) -> bool:
    membership = gateway._components.membership
    return len(membership.live_peers(time.monotonic())) == count


@given('the pieces of the new version {how}')
def set_pieces(context: Any, how: str) -> None:
    """Make the new stage runners fail their pieces."""
    for name, state in context.site.runners_by_name.items():
        if '-v2-' in name and how == 'fail':
            state.pieces_to_fail = 1_000_000


@when('callers send {per_s:d} requests a second for {seconds:g} s')
def send_for(context: Any, per_s: int, seconds: float) -> None:
    """Send requests for a while."""
    run(context, _send_for(context, per_s, seconds))


async def _send_for(context: Any, per_s: int, seconds: float) -> None:
    traffic = asyncio.ensure_future(_send_all(context, per_s, '/safe/one'))
    await asyncio.sleep(seconds)
    traffic.cancel()
    await asyncio.sleep(_SETTLE_S)


@when(
    'callers send {per_s:d} requests a second and a rollout of {seconds:g} s'
    ' is ordered'
)
def order(context: Any, per_s: int, seconds: float) -> None:
    """Send requests from now on and write an order a second later."""
    run(context, _order(context, per_s, seconds, 'plain'))


@when(
    'callers send {per_s:d} stage requests a second and a rollout of'
    ' {seconds:g} s is ordered'
)
def order_stage(context: Any, per_s: int, seconds: float) -> None:
    """Send requests with stages, and order a rollout of the stage."""
    run(context, _order(context, per_s, seconds, 'stage'))


async def _order(
    context: Any, per_s: int, seconds: float, service: str
) -> None:
    context.service = service
    path = '/safe/one' if service == 'plain' else '/staged/one'
    context.traffic = asyncio.ensure_future(_send_all(context, per_s, path))
    await asyncio.sleep(1)
    context.sent_before = _count_requests(context, 'v1')
    context.ordered_at = time.monotonic()
    context.site.store.put(
        'op',
        _KEY + service,
        {'Service': service, 'To': 'v2', 'DurationS': seconds},
    )


async def _send_all(context: Any, per_s: int, path: str) -> None:
    tasks = set()
    while True:
        task = asyncio.ensure_future(_send_one(context, path))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / per_s)


async def _send_one(context: Any, path: str) -> None:
    ports = getattr(context, 'ports', ())
    if ports:
        context.site.port = ports[len(context.answers) % len(ports)]
    method = 'POST' if path.startswith('/staged') else 'GET'
    headers = {'Damaskpoint_Prompt_Prefix': ''}
    if method == 'POST':
        headers['Damaskpoint_Pieces'] = '4,4'
    answer = await send_request(context, method, path, **headers)
    context.answers.append(answer.code)


def _count_requests(context: Any, version: str) -> int:
    return sum(
        len(state.requests)
        for name, state in context.site.runners_by_name.items()
        if f'plain-{version}-' in name
    )


def _read_status(context: Any) -> str:
    service = getattr(context, 'service', 'plain')
    row = context.site.store.rows.get(('status', _KEY + service))
    if row is None:
        return ''
    return str(json.loads(base64.b64decode(row['Value']))['State'])


@then('the status of the rollout is {state} within {seconds:g} s')
def check_status(context: Any, state: str, seconds: float) -> None:
    """Wait for a state of the rollout that is final."""
    run(context, _wait(context, state, seconds))


async def _wait(context: Any, state: str, seconds: float) -> None:
    while _read_status(context) in {'', 'running'}:
        left_s = context.ordered_at + seconds - time.monotonic()
        assert left_s > 0, _read_status(context)
        await asyncio.sleep(_POLL_S)
    assert _read_status(context) == state, _read_status(context)
    await asyncio.sleep(_SETTLE_S)
    context.counts_at_end = {
        version: _count_requests(context, version) for version in ('v1', 'v2')
    }


@then('all gateways know the same of the rollout')
def check_alike(context: Any) -> None:
    """Compare phases and the sums of the evidence."""
    phases = set()
    for gateway in context.gateways:
        coordinator = gateway._components.rollouts.coordinator
        dumped = coordinator.dump_state(time.monotonic())
        phases.add(dumped['rollouts']['plain']['phase'])
        own = sum(
            counts[0]
            for counts in dumped['rollouts']['plain']['counts'].values()
        )
        assert dumped['evidence']['plain']['old'] > own, dumped
    assert len(phases) == 1, phases


@then('all requests were answered')
def check_answers(context: Any) -> None:
    """Check that the rollout cost no request."""
    assert context.answers
    assert set(context.answers) == {200}, context.answers


@then('the {age} version gets no request after that')
def check_end(context: Any, age: str) -> None:
    """Send for another second and compare the counts."""
    version = 'v1' if age == 'old' else 'v2'
    run(context, asyncio.sleep(1))
    count = _count_requests(context, version)
    assert count == context.counts_at_end[version], count


@then('the new version got at most a tenth of the requests and 50')
def check_exposure(context: Any) -> None:
    """Compare the requests of both versions since the order."""
    new = _count_requests(context, 'v2')
    old = _count_requests(context, 'v1') - context.sent_before
    assert 0 < new <= 0.1 * (new + old) + 50, (new, old)


@then('the new version got no requests')
def check_unused(context: Any) -> None:
    """Check that only the old version was used."""
    assert _count_requests(context, 'v1')
    assert not _count_requests(context, 'v2')


@then('both versions got requests')
def check_both(context: Any) -> None:
    """Check that versions make no difference."""
    assert _count_requests(context, 'v1')
    assert _count_requests(context, 'v2')


@then('the store has no status of a rollout')
def check_no_status(context: Any) -> None:
    """Check that nothing was written."""
    assert not _read_status(context)


@when(
    'the gateway is replaced and callers send {per_s:d} requests a second'
    ' for {seconds:g} s'
)
def replace_gateway(context: Any, per_s: int, seconds: float) -> None:
    """Stop the gateway and start another one."""
    run(context, _replace(context, per_s, seconds))


async def _replace(context: Any, per_s: int, seconds: float) -> None:
    context.traffic.cancel()
    context.running.cancel()
    site = context.site
    gateway = site.create_gateway()
    context.running = asyncio.ensure_future(gateway.run())
    await until(lambda: gateway.catalog.configuration is not None)
    await until(lambda: len(gateway.catalog.runners) == len(site.ports_by_name))
    await _send_for(context, per_s, seconds)


@when('the settings template is rendered {case} bounds of exposure')
def render(context: Any, case: str) -> None:
    """Render the deploy file's template as the platform does."""
    fields = {
        'NodeName': 'g-1',
        'Zone': 'zone-1',
        'Ip': '127.0.0.1',
        'Listen.Front': '127.0.0.1:1',
        'Listen.Ready': '127.0.0.1:2',
        'PortRange.0': '3',
        'Platform.Address': '127.0.0.1:4',
        'Bounds.GraceS': '6',
        'Bounds.RetryRatio': '0.2',
        'Bounds.RetrySlack': '50',
        'Bounds.ColdOvershoot': '1.5',
        'Bounds.ColdSlack': '5',
    }
    if case == 'with':
        fields['Bounds.ExposureShare'] = '0.1'
        fields['Bounds.ExposureSlack'] = '50'
        fields['Bounds.RollbackMs'] = '5000'
    text = _TEMPLATE.read_text(encoding='utf-8')
    for name, value in fields.items():
        text = text.replace('{{' + name + '}}', value)
    # The platform leaves nothing of a placeholder without a value.
    text = re.sub(r'{{[\w.]+}}', '', text)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json5'
        path.write_text(text, encoding='utf-8')
        context.options = load_gateway_options(path)


@then('the rendered settings have rollouts {state}')
def check_rendered(context: Any, state: str) -> None:
    """Check the section and its units."""
    assert not isinstance(context.options, Failure), context.options
    section = context.options.rollouts
    if state == 'off':
        assert section is None
        return
    assert str(section.exposure_share) == '0.1'
    assert section.exposure_slack == 50
    assert section.rollback_s == 5
