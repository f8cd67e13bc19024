"""Checks histories against the guarantees of the system.

A history is the merged list of the events that callers, operators and
upstreams recorded, ordered by time. Each check is a pure function that
returns the violations it found. The checks use no code of the product.
"""

from __future__ import annotations

import collections
import json
import pathlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from standins import derive

Event = dict[str, Any]
Check = Callable[[list[Event], 'Workload'], list[str]]

# Seconds within which a change has to take effect; the guarantees say
# "after a few seconds" and "within seconds".
PROPAGATION_BOUND_S: Final = 5.0
# Seconds until all entries know that a warm upstream turned cold
# unannounced: its next report has to arrive and to spread among them.
COLD_DETECTION_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Workload:
    """The pipelines that callers use, as far as the checks need them."""

    # Kinds of the stages, in order, by the path of the pipeline.
    kinds_by_path: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # Names of stages that have a side effect.
    side_effect_stages: frozenset[str] = frozenset()


def read_histories(folder: pathlib.Path) -> list[Event]:
    """Return the events of all history files in a folder, ordered by time."""
    events: list[Event] = []
    for path in folder.glob('*.jsonl'):
        for line in path.read_text().splitlines():
            events.append(json.loads(line))
    return sorted(events, key=lambda event: float(event['at']))


def check_at_most_once(events: list[Event], workload: Workload) -> list[str]:
    """Check that each non-idempotent key ran at most once on all upstreams."""
    runs_by_key: dict[str, list[str]] = collections.defaultdict(list)
    for event in _select_side_effects(events, workload):
        key = _read_key(event) or event['request_id']
        runs_by_key[key].append(f'{event["actor"]} at {event["at"]:.3f}')
    violations = []
    for key, runs in runs_by_key.items():
        if len(runs) > 1:
            violations.append(f'{key} ran {len(runs)} times: {runs}')
    return violations


def check_not_run(events: list[Event], workload: Workload) -> list[str]:
    """Check that no upstream ran a request that was answered "not run"."""
    started = {event['request_id'] for event in _select(events, 'started')}
    violations = []
    for event in _select(events, 'answered'):
        if event['ran'] == 'no' and event['request_id'] in started:
            violations.append(
                f'{event["request_id"]} ran, despite "not run": {event["code"]}'
            )
    # If every attempt with a key was answered "not run", the key never ran.
    refused_by_key: dict[str, list[bool]] = collections.defaultdict(list)
    for event in _select_ends(events):
        refused_by_key[event['key']].append(event.get('ran') == 'no')
    effects = {
        _read_key(start) for start in _select_side_effects(events, workload)
    }
    for key, refusals in refused_by_key.items():
        if key and all(refusals) and key in effects:
            violations.append(f'{key} ran, although every attempt was refused')
    return violations


def check_same_outcome(events: list[Event], _workload: Workload) -> list[str]:
    """Check that all complete answers to one key are the same."""
    body_by_key: dict[str, object] = {}
    violations = []
    for event in _select(events, 'answered'):
        if not event['key'] or not event['is_whole']:
            continue
        outcome = event['body'].get('output', event['body'])
        if body_by_key.setdefault(event['key'], outcome) != outcome:
            violations.append(f'{event["key"]} has two outcomes')
    return violations


def check_own_answer(events: list[Event], workload: Workload) -> list[str]:
    """Check that every complete answer belongs to the caller's own request."""
    sent = _select(events, 'sent')
    bodies_by_number = {event['number']: event['body'] for event in sent}
    # A repeated key gets the answer to any one of its own attempts.
    ids_by_key: dict[str, list[str]] = collections.defaultdict(list)
    for event in sent:
        ids_by_key[event['key'] or event['request_id']].append(
            event['request_id']
        )
    violations = []
    for answer in _select(events, 'answered'):
        if not answer['is_whole']:
            continue
        body = bodies_by_number[answer['number']]
        own_ids = ids_by_key[answer['key'] or answer['request_id']]
        if not _matches_request(answer, body, own_ids, workload):
            violations.append(f'{answer["request_id"]} got a wrong answer')
    return violations


def check_stage_inputs(events: list[Event], workload: Workload) -> list[str]:
    """Check that each stage got the input or an output of its own request."""
    chains: dict[str, list[str]] = {}
    for event in _select(events, 'sent'):
        kinds = workload.kinds_by_path.get(event['path'])
        if kinds is None:
            continue
        request_id, pipeline_input = event['request_id'], event['body']['input']
        chain = [
            pipeline_input,
            *_derive_chain(kinds, request_id, pipeline_input),
        ]
        allowed = [derive.encode_input(item) for item in chain]
        chains.setdefault(request_id, []).extend(allowed)
    violations = []
    for event in _select(events, 'started'):
        if 'kind' not in event:
            continue
        inputs = chains.get(event['request_id'], [])
        if derive.encode_input(event['input']) not in inputs:
            violations.append(
                f'{event["request_id"]}: foreign input to {event["kind"]}'
            )
    return violations


def check_one_answer(events: list[Event], _workload: Workload) -> list[str]:
    """Check that each request ends once, and breaks only with its entry."""
    sent = {event['number']: event for event in _select(events, 'sent')}
    ends: collections.Counter[int] = collections.Counter()
    violations = []
    for event in _select_ends(events):
        ends[event['number']] += 1
        sent_at = sent[event['number']]['at']
        is_excused = _was_down(events, event['entry'], sent_at, event['at'])
        if event['event'] == 'broken' and not is_excused:
            violations.append(
                f'{event["request_id"]}: connection broke: {event["detail"]}'
            )
    for number, event in sent.items():
        if ends[number] != 1:
            violations.append(
                f'{event["request_id"]} has {ends[number]} answers'
            )
    return violations


def check_cold_limit(events: list[Event], _workload: Workload) -> list[str]:
    """Check that no cold upstream has more work in flight than its limit."""
    violations = []
    undetected_until: dict[str, float] = {}
    for event in events:
        actor = event['actor']
        if event['event'] == 'cold':
            undetected_until[actor] = event['at'] + COLD_DETECTION_S
        if event['event'] != 'started' or not event['is_cold']:
            continue
        is_detected = event['at'] > undetected_until.get(actor, 0)
        if is_detected and event['in_flight'] > event['limit']:
            violations.append(
                f'{actor}: {event["in_flight"]} in flight, '
                f'cold limit {event["limit"]}'
            )
    return violations


def check_exclusion(events: list[Event], _workload: Workload) -> list[str]:
    """Check that no new work goes to a zone that is out or a leaving upstream.

    The operators' events ``excluded`` and ``included`` name a zone or an
    upstream.
    """
    zones = {
        event['actor']: event['zone']
        for event in _select(events, 'incarnation')
    }
    excluded_at: dict[str, float] = {}
    violations = []
    for event in events:
        if event['event'] == 'excluded':
            excluded_at[event['name']] = event['at']
        if event['event'] == 'included':
            excluded_at.pop(event['name'], None)
        if event['event'] != 'started':
            continue
        for name in (event['actor'], zones[event['actor']]):
            excluded_s = event['at'] - excluded_at.get(name, event['at'])
            if excluded_s > PROPAGATION_BOUND_S:
                violations.append(
                    f'{name}, excluded for {excluded_s:.1f} s, got new work'
                )
    return violations


def check_versions(events: list[Event], _workload: Workload) -> list[str]:
    """Check that an accepted version is in force within the bound, and stays.

    Sheet number N names its model ``model-N``; the operators' events
    ``accepted`` give the number. Probes call each entry, one request at a
    time, so that the calls at the upstreams show the number that it uses.
    """
    probes_by_request = {
        event['request_id']: event
        for event in _select(events, 'sent')
        if event['request_id'].startswith('probe')
    }
    accepted = _select(events, 'accepted')
    highest: dict[str, int] = {}
    violations = []
    for event in _select(events, 'started'):
        if event['request_id'] not in probes_by_request:
            continue
        probe = probes_by_request[event['request_id']]
        entry = probe['entry']
        number = int(str(event['model']).rpartition('-')[2])
        previous = highest.get(entry, 0)
        if number < previous:
            violations.append(f'{entry} reverted to {number} from {previous}')
        highest[entry] = max(number, previous)
        due = _find_due_version(accepted, probe['at'])
        if number < due:
            violations.append(f'{entry} uses {number}, {due} is accepted')
    return violations


def check_shutdown(events: list[Event], _workload: Workload) -> list[str]:
    """Check that no terminated entry cut a request or exited with an error."""
    statuses = {
        event['entry']: event['status'] for event in _select(events, 'exited')
    }
    violations = [
        f'{entry} exited with status {status}'
        for entry, status in statuses.items()
        if status
    ]
    for event in events:
        if event['event'] == 'broken' and event['entry'] in statuses:
            violations.append(
                f'{event["request_id"]} was cut: {event["detail"]}'
            )
        is_answer = event['event'] == 'answered' and event['status'] == 200
        if is_answer and not event['is_whole']:
            violations.append(f'{event["request_id"]} was cut: {event["code"]}')
    return violations


def check_orders(events: list[Event], _workload: Workload) -> list[str]:
    """Check that no engine obeys an older lease holder after a newer one."""
    highest: dict[str, int] = {}
    violations = []
    for event in _select(events, 'order_started'):
        actor, fencing = event['actor'], event['fencing']
        if fencing < highest.get(actor, 0):
            violations.append(
                f'{actor} obeyed fencing {fencing} after {highest[actor]}'
            )
        highest[actor] = max(fencing, highest.get(actor, 0))
    return violations


def check_convergence(events: list[Event], _workload: Workload) -> list[str]:
    """Check that each engine obeyed the order of the last sheet last."""
    expected = [event['number'] for event in _select(events, 'accepted')]
    last_by_actor: dict[str, str] = {}
    for event in events:
        if event['event'] == 'incarnation' and event['pool'] == 'engines':
            last_by_actor[event['actor']] = ''
        if event['event'] == 'order_obeyed':
            model = event['target']['models'][0]['model']
            last_by_actor[event['actor']] = model
    return [
        f'{actor} has {model}, sheet {expected[-1]} is accepted'
        for actor, model in last_by_actor.items()
        if model != f'model-{expected[-1]}'
    ]


CHECKS: Final[dict[str, Check]] = {
    'at most once': check_at_most_once,
    'not run is true': check_not_run,
    'same outcome': check_same_outcome,
    'own answer': check_own_answer,
    'own stages': check_stage_inputs,
    'one answer': check_one_answer,
    'cold start': check_cold_limit,
    'zone out and leaving': check_exclusion,
    'accepted configuration': check_versions,
    'graceful shutdown': check_shutdown,
    'orders to engines': check_orders,
    'engines converged': check_convergence,
}


def check_all(
    events: list[Event], workload: Workload, names: Iterable[str]
) -> dict[str, list[str]]:
    """Return the violations by the name of the check."""
    return {name: CHECKS[name](events, workload) for name in names}


def count_codes(events: list[Event]) -> dict[str, int]:
    """Return the number of requests that ended with each code."""
    codes = [
        str(event.get('code', event['event'])) for event in _select_ends(events)
    ]
    return dict(collections.Counter(codes))


def _select(events: list[Event], name: str) -> list[Event]:
    return [event for event in events if event['event'] == name]


def _select_ends(events: list[Event]) -> list[Event]:
    """Return the final events of callers' requests, answered or not."""
    return [
        event
        for event in events
        if event['event'] in {'answered', 'broken', 'left'}
    ]


def _was_down(
    events: list[Event], entry: str, sent_at: float, ended_at: float
) -> bool:
    """Return whether an entry was down at some time during a request."""
    is_down = False
    for event in events:
        if event.get('entry') != entry or event['at'] > ended_at:
            continue
        is_killed = event['event'] == 'killed'
        is_back = event['event'] == 'entry_ready' and event['at'] < sent_at
        is_down = is_killed or (is_down and not is_back)
    return is_down


def _find_due_version(accepted: list[Event], at: float) -> int:
    """Return the version that every entry must have in force at a time."""
    due = 0
    for event in accepted:
        if event['at'] + PROPAGATION_BOUND_S < at:
            due = max(due, event['number'])
    return due


def _select_side_effects(
    events: list[Event], workload: Workload
) -> list[Event]:
    """Return the starts of calls that have a side effect."""
    starts = []
    for event in _select(events, 'started'):
        is_service = event.get('method') == 'POST' and _read_key(event)
        if is_service or event['stage'] in workload.side_effect_stages:
            starts.append(event)
    return starts


def _read_key(event: Event) -> str:
    """Return the business key in the caller's own input; empty for none."""
    call_input = event.get('input')
    if event.get('body'):
        call_input = json.loads(event['body'])
    if not isinstance(call_input, dict) or 'key' not in call_input:
        return ''
    return str(call_input['key'])


def _matches_request(
    answer: Event, body: dict[str, Any], own_ids: list[str], workload: Workload
) -> bool:
    """Return whether an answer derives from one of the caller's attempts."""
    kinds = workload.kinds_by_path.get(answer['path'])
    if kinds is None:
        expected_hash = derive.hash_text(json.dumps(body))
        return bool(answer['body'].get('body_sha256') == expected_hash)
    for request_id in own_ids:
        expected = _derive_chain(kinds, request_id, body['input'])[-1]
        if body.get('stream') and answer['text'] == expected['text']:
            return True
        if answer['body'].get('output') == expected:
            return True
    return False


def _derive_chain(
    kinds: tuple[str, ...], request_id: str, stage_input: object
) -> list[dict[str, object]]:
    """Return the expected outputs of all stages, in order."""
    outputs = []
    for kind in kinds:
        output = derive.derive_output(kind, request_id, stage_input)
        outputs.append(output)
        stage_input = output
    return outputs
