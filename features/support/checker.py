"""Checks histories against the promises; knows nothing of the product.

A history is the merged list of what callers, operators and upstreams saw,
by time. Each check is a pure function that returns what it found wrong.
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
Check = Callable[[list[Event], 'Plan'], list[str]]

# "After a few seconds" and "within seconds", as the promises say (seconds).
BOUND_S: Final = 5.0
# A warm upstream that turns cold without a word is not known as cold before
# its next report has come and gone round (seconds).
UNANNOUNCED_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What the callers' requests mean."""

    # Kinds of stages by the path of a pipeline.
    kinds_by_path: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # Names of stages that have a side effect.
    effect_stages: frozenset[str] = frozenset()


def read_histories(folder: pathlib.Path) -> list[Event]:
    """Return the events of all history files of a folder, by time."""
    events: list[Event] = []
    for path in folder.glob('*.jsonl'):
        for line in path.read_text().splitlines():
            events.append(json.loads(line))
    return sorted(events, key=lambda event: float(event['at']))


def check_at_most_once(events: list[Event], plan: Plan) -> list[str]:
    """Each non-idempotent key ran at most once over all upstreams."""
    places_by_key: dict[str, list[str]] = collections.defaultdict(list)
    for event in _effects(events, plan):
        key = _key_of(event) or event['request_id']
        places_by_key[key].append(f'{event["actor"]} at {event["at"]:.3f}')
    found = []
    for key, places in places_by_key.items():
        if len(places) > 1:
            found.append(f'{key} ran {len(places)} times: {places}')
    return found


def check_not_run(events: list[Event], plan: Plan) -> list[str]:
    """No upstream ran what a final answer calls "not run"."""
    started = {event['request_id'] for event in _named(events, 'started')}
    found = []
    for event in _named(events, 'answered'):
        if event['ran'] == 'no' and event['request_id'] in started:
            found.append(f'{event["request_id"]} ran, said {event["code"]}')
    # Of a key whose every try was refused so, nothing ever ran.
    refused_by_key: dict[str, list[bool]] = collections.defaultdict(list)
    for event in _ends(events):
        refused_by_key[event['key']].append(event.get('ran') == 'no')
    effects = {_key_of(start) for start in _effects(events, plan)}
    for key, refusals in refused_by_key.items():
        if key and all(refusals) and key in effects:
            found.append(f'{key} ran, though every try was refused')
    return found


def check_same_outcome(events: list[Event], _plan: Plan) -> list[str]:
    """All whole answers to one key are the same."""
    body_by_key: dict[str, object] = {}
    found = []
    for event in _named(events, 'answered'):
        if not event['key'] or not event['is_whole']:
            continue
        outcome = event['body'].get('output', event['body'])
        if body_by_key.setdefault(event['key'], outcome) != outcome:
            found.append(f'{event["key"]} has two outcomes')
    return found


def check_answers(events: list[Event], plan: Plan) -> list[str]:
    """Every whole answer is that of the caller's own request."""
    sent = _named(events, 'sent')
    asked_by_number = {event['number']: event['body'] for event in sent}
    # A key repeated gets the answer to any one of its own tries.
    ids_by_key: dict[str, list[str]] = collections.defaultdict(list)
    for event in sent:
        ids_by_key[event['key'] or event['request_id']].append(
            event['request_id']
        )
    found = []
    for answer in _named(events, 'answered'):
        if not answer['is_whole']:
            continue
        asked = asked_by_number[answer['number']]
        own_ids = ids_by_key[answer['key'] or answer['request_id']]
        if not _is_own(answer, asked, own_ids, plan):
            found.append(f'{answer["request_id"]} got a wrong answer')
    return found


def check_stages(events: list[Event], plan: Plan) -> list[str]:
    """Every stage's input is the output of its own earlier stage."""
    chains: dict[str, list[str]] = {}
    for event in _named(events, 'sent'):
        kinds = plan.kinds_by_path.get(event['path'])
        if kinds is None:
            continue
        request_id, asked = event['request_id'], event['body']['input']
        chain = [asked, *_derive_chain(kinds, request_id, asked)]
        allowed = [derive.encode_input(item) for item in chain]
        chains.setdefault(request_id, []).extend(allowed)
    found = []
    for event in _named(events, 'started'):
        if 'kind' not in event:
            continue
        inputs = chains.get(event['request_id'], [])
        if derive.encode_input(event['input']) not in inputs:
            found.append(f'{event["request_id"]}: a foreign {event["kind"]}')
    return found


def check_one_answer(events: list[Event], _plan: Plan) -> list[str]:
    """Each request whose entry lived has one final answer."""
    sent = {event['number']: event for event in _named(events, 'sent')}
    ends: collections.Counter[int] = collections.Counter()
    found = []
    for event in _ends(events):
        ends[event['number']] += 1
        begun_at = sent[event['number']]['at']
        is_excused = _was_down(events, event['entry'], begun_at, event['at'])
        if event['event'] == 'broken' and not is_excused:
            found.append(f'{event["request_id"]} broke: {event["detail"]}')
    for number, event in sent.items():
        if ends[number] != 1:
            found.append(f'{event["request_id"]} has {ends[number]} answers')
    return found


def check_cold(events: list[Event], _plan: Plan) -> list[str]:
    """No cold upstream ever holds more work than it bears."""
    found = []
    unannounced_until: dict[str, float] = {}
    for event in events:
        actor = event['actor']
        if event['event'] == 'cold':
            unannounced_until[actor] = event['at'] + UNANNOUNCED_S
        if event['event'] != 'started' or not event['is_cold']:
            continue
        is_known = event['at'] > unannounced_until.get(actor, 0)
        if is_known and event['in_flight'] > event['limit']:
            found.append(
                f'{actor} cold with {event["in_flight"]} of {event["limit"]}'
            )
    return found


def check_excluded(events: list[Event], _plan: Plan) -> list[str]:
    """No new work goes to a zone that is out or a leaving upstream.

    Operators' events ``excluded`` and ``included`` name zones and upstreams.
    """
    zones = {
        event['actor']: event['zone'] for event in _named(events, 'incarnation')
    }
    excluded_at: dict[str, float] = {}
    found = []
    for event in events:
        if event['event'] == 'excluded':
            excluded_at[event['name']] = event['at']
        if event['event'] == 'included':
            excluded_at.pop(event['name'], None)
        if event['event'] != 'started':
            continue
        for name in (event['actor'], zones[event['actor']]):
            late_s = event['at'] - excluded_at.get(name, event['at'])
            if late_s > BOUND_S:
                found.append(f'{name} out for {late_s:.1f} s has new work')
    return found


def check_versions(events: list[Event], _plan: Plan) -> list[str]:
    """An accepted version is in force within the bound, and stays.

    Sheet number N names its model ``model-N``; operators' events
    ``accepted`` give the number. Probes ask each entry one by one, so that
    their calls show which number an entry uses.
    """
    probes_by_request = {
        event['request_id']: event
        for event in _named(events, 'sent')
        if event['request_id'].startswith('probe')
    }
    accepted = _named(events, 'accepted')
    highest: dict[str, int] = {}
    found = []
    for event in _named(events, 'started'):
        if event['request_id'] not in probes_by_request:
            continue
        probe = probes_by_request[event['request_id']]
        entry = probe['entry']
        number = int(str(event['model']).rpartition('-')[2])
        held = highest.get(entry, 0)
        if number < held:
            found.append(f'{entry} went back to {number} from {held}')
        highest[entry] = max(number, held)
        due = _due_version(accepted, probe['at'])
        if number < due:
            found.append(f'{entry} uses {number}, {due} is accepted')
    return found


def check_shutdown(events: list[Event], _plan: Plan) -> list[str]:
    """No entry that was terminated cut a request or ended in error."""
    statuses = {
        event['entry']: event['status'] for event in _named(events, 'exited')
    }
    found = [
        f'{entry} ended with {status}'
        for entry, status in statuses.items()
        if status
    ]
    for event in events:
        if event['event'] == 'broken' and event['entry'] in statuses:
            found.append(f'{event["request_id"]} was cut: {event["detail"]}')
        is_answer = event['event'] == 'answered' and event['status'] == 200
        if is_answer and not event['is_whole']:
            found.append(f'{event["request_id"]} was cut: {event["code"]}')
    return found


def check_orders(events: list[Event], _plan: Plan) -> list[str]:
    """No engine obeys an older holder after a newer one."""
    highest: dict[str, int] = {}
    found = []
    for event in _named(events, 'order_started'):
        actor, fencing = event['actor'], event['fencing']
        if fencing < highest.get(actor, 0):
            found.append(f'{actor} obeyed {fencing} after {highest[actor]}')
        highest[actor] = max(fencing, highest.get(actor, 0))
    return found


def check_in_line(events: list[Event], _plan: Plan) -> list[str]:
    """Every engine obeyed the order of the last sheet last."""
    wanted = [event['number'] for event in _named(events, 'accepted')]
    last_by_actor: dict[str, str] = {}
    for event in events:
        if event['event'] == 'incarnation' and event['pool'] == 'engines':
            last_by_actor[event['actor']] = ''
        if event['event'] == 'order_obeyed':
            model = event['target']['models'][0]['model']
            last_by_actor[event['actor']] = model
    return [
        f'{actor} has {model}, sheet {wanted[-1]} is accepted'
        for actor, model in last_by_actor.items()
        if model != f'model-{wanted[-1]}'
    ]


CHECKS: Final[dict[str, Check]] = {
    'at most once': check_at_most_once,
    'not run is true': check_not_run,
    'same outcome': check_same_outcome,
    'own answer': check_answers,
    'own stages': check_stages,
    'one answer': check_one_answer,
    'cold start': check_cold,
    'zone out and leaving': check_excluded,
    'accepted configuration': check_versions,
    'graceful shutdown': check_shutdown,
    'orders to engines': check_orders,
    'fleet in line': check_in_line,
}


def check_all(
    events: list[Event], plan: Plan, names: Iterable[str]
) -> dict[str, list[str]]:
    """Return what is wrong, by promise."""
    return {name: CHECKS[name](events, plan) for name in names}


def count_codes(events: list[Event]) -> dict[str, int]:
    """Return how many requests ended with each code."""
    codes = [str(event.get('code', event['event'])) for event in _ends(events)]
    return dict(collections.Counter(codes))


def _named(events: list[Event], name: str) -> list[Event]:
    return [event for event in events if event['event'] == name]


def _ends(events: list[Event]) -> list[Event]:
    """Return the ends of callers' requests, with an answer or without."""
    return [
        event
        for event in events
        if event['event'] in {'answered', 'broken', 'left'}
    ]


def _was_down(
    events: list[Event], entry: str, begun_at: float, ended_at: float
) -> bool:
    """Tell whether an entry was dead at some time between two."""
    is_down = False
    for event in events:
        if event.get('entry') != entry or event['at'] > ended_at:
            continue
        is_killed = event['event'] == 'killed'
        is_back = event['event'] == 'entry_ready' and event['at'] < begun_at
        is_down = is_killed or (is_down and not is_back)
    return is_down


def _due_version(accepted: list[Event], at: float) -> int:
    """Return the version that every entry must have in force by then."""
    due = 0
    for event in accepted:
        if event['at'] + BOUND_S < at:
            due = max(due, event['number'])
    return due


def _effects(events: list[Event], plan: Plan) -> list[Event]:
    """Return the starts that have a side effect."""
    found = []
    for event in _named(events, 'started'):
        is_service = event.get('method') == 'POST' and _key_of(event)
        if is_service or event['stage'] in plan.effect_stages:
            found.append(event)
    return found


def _key_of(event: Event) -> str:
    """Return the business key of a start, from the caller's own bytes."""
    asked = event.get('input')
    if event.get('body'):
        asked = json.loads(event['body'])
    if not isinstance(asked, dict) or 'key' not in asked:
        return ''
    return str(asked['key'])


def _is_own(
    answer: Event, asked: dict[str, Any], own_ids: list[str], plan: Plan
) -> bool:
    """Tell whether a whole answer derives from one of a caller's tries."""
    kinds = plan.kinds_by_path.get(answer['path'])
    if kinds is None:
        wanted_hash = derive.hash_text(json.dumps(asked))
        return bool(answer['body'].get('body_sha256') == wanted_hash)
    for request_id in own_ids:
        wanted = _derive_chain(kinds, request_id, asked['input'])[-1]
        if asked.get('stream') and answer['text'] == wanted['text']:
            return True
        if answer['body'].get('output') == wanted:
            return True
    return False


def _derive_chain(
    kinds: tuple[str, ...], request_id: str, asked: object
) -> list[dict[str, object]]:
    """Return the outputs of all stages."""
    outputs = []
    for kind in kinds:
        output = derive.derive_output(kind, request_id, asked)
        outputs.append(output)
        asked = output
    return outputs
