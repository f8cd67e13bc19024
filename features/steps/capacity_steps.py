"""Steps for the choice of runners by learned figures."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final

from behave import given, then, when
from tornado import simple_httpclient
from tornado.httputil import HTTPHeaders

from damaskpoint.balancing.capacity_choice import (
    CostedRunners,
    PromptPlace,
    order_by_place,
)
from damaskpoint.balancing.runner_choice import (
    Candidates,
    order_by_load,
    order_by_prompt,
)
from damaskpoint.catalog.model import Runner
from damaskpoint.forwarding.choosing import RunnerChooser
from damaskpoint.forwarding.metadata import (
    LoadReport,
    PromptPart,
    RequestMetadata,
)
from damaskpoint.observe.operator_app import PATH_STATE
from damaskpoint.platform import requests
from features.support.capacity_fleet import (
    SERVICE,
    Finished,
    Fleet,
    FleetOptions,
)
from features.support.gateway_site import HOST, run

_SEEDS: Final = (1, 2, 3)
_WARM_UP_S: Final = 3
_PERIOD_S: Final = 17
_SWING: Final = 0.55
_ZONES: Final = ('z1', 'z2', 'z3')


def _draw_swinging(now: float, source: random.Random) -> str:
    weights = [
        1 + _SWING * math.sin(2 * math.pi * (now / _PERIOD_S + at / 3))
        for at, _ in enumerate(_ZONES)
    ]
    return source.choices(_ZONES, weights)[0]


def _draw_peak(now: float, source: random.Random) -> str:
    if now < 10 and source.randrange(10) < 8:
        return 'z1'
    return source.choice(_ZONES)


_MODEL: Final[dict[str, Any]] = {
    'slots': 16,
    'runner_zones': _ZONES * 4,
    'work_s': (0.3, 1.0),
    'prompts': 20,
}
_KINDS: Final[Mapping[str, Any]] = {
    'noisy': {},
    'zones': {**_MODEL, 'zone_at': _draw_swinging},
    'silent slow': {'noise_share': 0, 'reports': False, 'paces': {0: 3.0}},
    'slow claims': {'noise_share': 0, 'claimed_percent': 100, 'paces': {0: 3}},
    'one prompt': {
        **_MODEL,
        'prompts': 1,
        'noise_share': 0,
        'zone_at': lambda now, source: 'z1',
    },
    'peak until 10 s': {**_MODEL, 'noise_share': 0, 'zone_at': _draw_peak},
}


@given('{count:d} instances and the runners of "{kind}"')
def describe_fleet(context: Any, count: int, kind: str) -> None:
    """Store the options of the simulation."""
    context.options = {'instances': count, **_KINDS[kind]}


@when('{rate:d} requests per second arrive for {seconds:d} s')
def simulate(context: Any, rate: int, seconds: int) -> None:
    """Run the simulation with each seed."""
    context.options |= {'rate': rate, 'duration_s': seconds}
    context.finished = _simulate(context.options, learns=True)


def _simulate(options: dict[str, Any], *, learns: bool) -> list[Finished]:
    finished = []
    for seed in _SEEDS:
        fleet = Fleet(FleetOptions(seed=seed, learns=learns, **options))
        fleet.run()
        finished.extend(fleet.finished)
    return [item for item in finished if item.sent_at >= _WARM_UP_S]


def _late_share(finished: list[Finished], objective_s: float) -> float:
    return sum(item.took_s > objective_s for item in finished) / len(finished)


@then('at most {most:g} of the requests take longer than {objective:g} s')
def check_late(context: Any, most: float, objective: float) -> None:
    """Compare the share of late requests."""
    context.objective = objective
    share = _late_share(context.finished, objective)
    assert share <= most, share


@then('by counts at least {least:g} of them do')
def check_by_counts(context: Any, least: float) -> None:
    """Check that the order by counts misses the bound."""
    finished = _simulate(context.options, learns=False)
    share = _late_share(finished, context.objective)
    assert share >= least, share


@then(
    'at {bound} {share:g} of the requests between {begin:g} and {end:g} s'
    ' leave their zone'
)
def check_leaving(
    context: Any, bound: str, share: float, begin: float, end: float
) -> None:
    """Compare the share of requests that run in another zone."""
    sent = [item for item in context.finished if begin <= item.sent_at < end]
    left = sum(item.zone != item.home for item in sent) / len(sent)
    is_within = left >= share if bound == 'least' else left <= share
    assert is_within, left


def _create_fleet(
    context: Any, count: int, special: int, reports: tuple[LoadReport, ...]
) -> None:
    """Let one runner report the first of two loads, all others the second."""
    options = FleetOptions(runner_zones=('z1',) * count, instances=2)
    context.fleet = Fleet(options)
    context.capacities = context.fleet.instances[0].capacities
    context.runners = [item.runner for item in context.fleet.runners]
    for at, runner in enumerate(context.runners):
        report = reports[int(at != special)]
        context.capacities.record_report(runner, report, 0)


def _count_choices(context: Any, count: int, now: float) -> Counter[str]:
    chosen: Counter[str] = Counter()
    instance = context.fleet.instances[0]
    for number in range(count):
        metadata = RequestMetadata(f'q{number}', None, None)
        chooser = RunnerChooser(instance.context, SERVICE, metadata, None)
        runner = chooser.choose((), now)
        assert runner is not None
        chosen[runner.name] += 1
    return chosen


@given('a home runner in z1 that costs {cost:g} s more than one in z2')
def cost_home(context: Any, cost: float) -> None:
    """Create two runners with these costs and little load."""
    runners = [
        Runner(f'r-{zone}', SERVICE, 'h', 1, zone, 6, False, 0)
        for zone in _ZONES[:2]
    ]
    context.costed = CostedRunners(
        runners,
        {'r-z1': 0.1 + cost, 'r-z2': 0.1},
        {'r-z1': 0.3, 'r-z2': 0.3},
        0.1 + cost / 2,
        frozenset(),
    )


@then(
    '{least:g} to {most:g} of {count:d} prompts with {tokens:d} shared tokens'
    ' and {size:d} bytes of results stay'
)
def check_staying(
    context: Any, least: float, most: float, count: int, tokens: int, size: int
) -> None:
    """Compare the share of requests whose prompt stays at home."""
    staying = 0
    for number in range(count):
        place = PromptPlace('z1', 'key', tokens, f'q{number}', size)
        staying += order_by_place(context.costed, place)[0].zone == 'z1'
    assert least <= staying / count <= most, staying


@given('four runners of which one is idle and three are half full')
def report_idle(context: Any) -> None:
    """Let the first runner report no load."""
    _create_fleet(
        context, 4, 0, (LoadReport(0, 0, 6, 100), LoadReport(3, 0, 6, 100))
    )


@when('{count:d} requests are sent before any figure changes')
def send_at_once(context: Any, count: int) -> None:
    """Choose for all requests by the same figures."""
    context.count = count
    context.chosen = _count_choices(context, count, 0.01)


@then(
    'the idle runner gets at most {most:g} of them and each other at least'
    ' {least:g}'
)
def check_spread(context: Any, most: float, least: float) -> None:
    """Compare the shares of the runners."""
    idle, *others = context.runners
    assert context.chosen[idle.name] <= most * context.count, context.chosen
    for other in others:
        share = context.chosen[other.name] / context.count
        assert share >= least, context.chosen


@given('four runners of which one reports at 0 that it is five times slower')
def report_slow(context: Any) -> None:
    """Let the first runner report a slow machine."""
    _create_fleet(
        context, 4, 0, (LoadReport(1, 0, 6, 500), LoadReport(1, 0, 6, 100))
    )


@then(
    'it gets at most {most:g} of the requests at {early:g} and at least'
    ' {least:g} at {late:g}'
)
def check_forgotten(
    context: Any, most: float, early: float, least: float, late: float
) -> None:
    """Compare the share of the runner at both times."""
    name = context.runners[0].name
    assert _count_choices(context, 1000, early)[name] <= most * 1000
    assert _count_choices(context, 1000, late)[name] >= least * 1000


@given('runners of three zones with drawn loads that tell nothing')
def draw_silent(context: Any) -> None:
    """Create instances without reports, whose runners are equally fast."""
    context.fleet = Fleet(FleetOptions(runner_zones=_ZONES * 3, instances=2))
    context.runners = [item.runner for item in context.fleet.runners]
    source = random.Random(5)
    capacities = context.fleet.instances[0].capacities
    for step in range(300):
        runner = source.choice(context.runners)
        took_s = source.uniform(0.05, 0.06)
        capacities.record_latency(runner, 'route', step, step + took_s)


@then('{kind} requests have the order by counts in {count:d} draws')
def check_unchanged(context: Any, kind: str, count: int) -> None:
    """Compare the chosen runner with the first of the order by counts."""
    source = random.Random(7)
    instance = context.fleet.instances[0]
    runners = context.runners
    for number in range(count):
        loads = {item.name: source.randrange(9) for item in runners}
        instance.loads.set_peer_counts(loads)
        prompt = (PromptPart(f'p{number}', 9), PromptPart('own', 9))
        metadata = RequestMetadata(
            f'q{number}', None, None, prompt if kind == 'prompt' else ()
        )
        candidates = Candidates(runners, loads, frozenset())
        key = metadata.affinity_key
        if kind == 'prompt':
            expected = order_by_prompt(candidates, 'z2', key)
        else:
            zone = instance.context.options.zone
            expected = order_by_load(candidates, zone, key)
        chooser = RunnerChooser(instance.context, SERVICE, metadata, 'z2')
        assert chooser.choose((), 300) == expected[0]


@given('{count:d} runners that report at 0, of which runner {slow:d} is slow')
def report_all(context: Any, count: int, slow: int) -> None:
    """Let all runners report."""
    reports = (LoadReport(1, 0, 6, 250), LoadReport(1, 0, 6, 100))
    _create_fleet(context, count, slow, reports)


@then(
    'at {now:g} the reports for peers are {count:d} and runner {slow:d} is the'
    ' first'
)
def check_news(context: Any, now: float, count: int, slow: int) -> None:
    """Compare the reports that a datagram may carry."""
    context.news = context.capacities.take_news(now, count)
    assert len(context.news) == count
    assert context.news[0].runner == f'r{slow}'


@then('at {now:g} there are none')
def check_no_news(context: Any, now: float) -> None:
    """Check that old reports are not sent."""
    assert not context.capacities.take_news(now, 5)


@then(
    'a peer that received them at {received:g} with their ages passes none on'
    ' at {now:g}'
)
def check_relay(context: Any, received: float, now: float) -> None:
    """Apply the reports at the other instance."""
    peer = context.fleet.instances[1].capacities
    by_name = {runner.name: runner for runner in context.runners}
    for fact in context.news:
        peer.apply_fact(by_name[fact.runner], fact)
    assert len(peer.take_news(received, 5)) == len(context.news)
    assert not peer.take_news(now, 5)


@then('the header "{text}" is read as "{load}"')
def check_header(context: Any, text: str, load: str) -> None:
    """Compare the fields of the report, or its absence."""
    headers = HTTPHeaders({'Damaskpoint-Server-Load': text})
    report = requests.read_answer_metadata(200, headers).load
    read = 'none'
    if report is not None:
        read = (
            f'{report.running} {report.waiting} {report.slots} {report.percent}'
        )
    assert read == load, read


@given('the runner "{name}" reports the load "{text}"')
def set_load(context: Any, name: str, text: str) -> None:
    """Add the header to the answers of a runner."""
    context.site.runners_by_name[name].load = text


@then(
    'both gateways know within {seconds:g} s that "{name}" has a pace of'
    ' {pace:g}'
)
def check_known(context: Any, seconds: float, name: str, pace: float) -> None:
    """Wait for the report in both state dumps, the second by gossip."""
    ends_at = time.monotonic() + seconds
    sources = []
    for port in context.site.operator_ports_by_name.values():
        report = run(context, _wait_for_report(port, name, ends_at))
        assert report['pace'] == pace, report
        sources.append(report['source'])
    assert sources == ['report', 'peer'], sources


async def _wait_for_report(port: int, name: str, ends_at: float) -> Any:
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    while True:
        response = await client.fetch(f'http://{HOST}:{port}{PATH_STATE}')
        reports = json.loads(response.body)['capacities']['reports_by_runner']
        report = reports.get(name)
        if report is not None:
            return report
        assert time.monotonic() < ends_at, 'not known in time'
        await asyncio.sleep(0.02)
