"""Steps that run the history checker on histories written by hand."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from features.support import sheets
from features.support.checker import Event, check_all
from standins import derive

_INPUT: Final = {'key': 'k1'}


def _stage_start(at: float, **fields: object) -> Event:
    event = {
        'at': at,
        'actor': 'e1',
        'event': 'started',
        'request_id': 'r1',
        'stage': 'encode',
        'kind': 'encode',
        'input': _INPUT,
        'is_cold': False,
        'in_flight': 1,
        'limit': 8,
        'model': 'model-1',
    }
    return {**event, **fields}


def _caller_event(at: float, event: str, **fields: object) -> Event:
    base = {
        'at': at,
        'actor': 'caller',
        'event': event,
        'number': 1,
        'entry': 'entry-1',
        'request_id': 'r1',
        'key': '',
        'path': sheets.ANSWER_PATH,
    }
    return {**base, **fields}


def _sent_request(at: float, **fields: object) -> Event:
    return _caller_event(at, 'sent', **{'body': {'input': _INPUT}, **fields})


def _answer(at: float, **fields: object) -> Event:
    base = {'status': 200, 'code': '', 'ran': '', 'body': {}, 'text': ''}
    return _caller_event(at, 'answered', **{**base, 'is_whole': True, **fields})


def _refusal(at: float, **fields: object) -> Event:
    base = {'status': 503, 'code': 'no_upstream', 'ran': 'no'}
    return _answer(at, **{**base, 'is_whole': False, **fields})


def _operator_event(at: float, event: str, **fields: object) -> Event:
    return {'at': at, 'actor': 'operator', 'event': event, **fields}


def _commit_start(at: float, **fields: object) -> Event:
    return _stage_start(at, **{'stage': 'commit', 'kind': 'generate', **fields})


def _derive_answer(request_id: str) -> object:
    output: object = _INPUT
    for kind in sheets.WORKLOAD.kinds_by_path[sheets.ANSWER_PATH]:
        output = derive.derive_output(kind, request_id, output)
    return output


_STARTUP: Final[Event] = {
    'at': 0,
    'actor': 'e1',
    'event': 'incarnation',
    'zone': 'zone-a',
}
_COLD_FIELDS: Final = {'is_cold': True, 'limit': 1}
_TURNED_COLD: Final[Event] = {'at': 1, 'actor': 'e1', 'event': 'cold'}
_ZONE_OUT: Final = _operator_event(1, 'excluded', name='zone-a')
_PROBE_FIELDS: Final = {'request_id': 'probe-1', 'number': 7}
_ACCEPTED: Final = _operator_event(1, 'accepted', number=2)


def _own_answer(request_id: str) -> Event:
    return _answer(2, body={'output': _derive_answer(request_id)})


_HISTORIES: dict[str, list[Event]] = {
    'one run of a key': [_commit_start(1)],
    'a key that runs at two upstreams': [
        _commit_start(1),
        _commit_start(2, actor='e2', request_id='r2'),
    ],
    'a refused request that never ran': [
        _sent_request(1),
        _refusal(2, key='k1'),
    ],
    'a refused request that ran': [_commit_start(1), _refusal(2, key='k1')],
    'a refused attempt before one that runs': [
        _refusal(1, key='k1'),
        _commit_start(2, request_id='r2'),
        _answer(3, request_id='r2', key='k1'),
    ],
    'an answer to the same request': [_sent_request(1), _own_answer('r1')],
    'an answer to another request': [_sent_request(1), _own_answer('r2')],
    'a stage with its own input': [_sent_request(1), _stage_start(2)],
    'a stage with foreign input': [
        _sent_request(1),
        _stage_start(2, input={'key': 'k2'}),
    ],
    'a request without an answer': [_sent_request(1)],
    'a request to a killed entry': [
        _sent_request(1),
        _operator_event(2, 'killed', entry='entry-1'),
        _caller_event(3, 'broken', detail=''),
    ],
    'a cold upstream at its limit': [_stage_start(1, **_COLD_FIELDS)],
    'a cold upstream above its limit': [
        _stage_start(1, **_COLD_FIELDS, in_flight=2)
    ],
    'work just after an unannounced turn to cold': [
        _TURNED_COLD,
        _stage_start(2, **_COLD_FIELDS, in_flight=2),
    ],
    'work long after an unannounced turn to cold': [
        _TURNED_COLD,
        _stage_start(4, **_COLD_FIELDS, in_flight=2),
    ],
    'work just after a zone went out': [_STARTUP, _ZONE_OUT, _stage_start(5)],
    'work long after a zone went out': [_STARTUP, _ZONE_OUT, _stage_start(7)],
    'work after a zone was taken back in': [
        _STARTUP,
        _ZONE_OUT,
        _operator_event(6, 'included', name='zone-a'),
        _stage_start(7),
    ],
    'work at a leaving upstream': [
        _STARTUP,
        _operator_event(1, 'excluded', name='e1'),
        _stage_start(7),
    ],
    'a version that is in force in time': [
        _ACCEPTED,
        _sent_request(5, **_PROBE_FIELDS),
        _stage_start(5, request_id='probe-1'),
    ],
    'a version that is in force too late': [
        _ACCEPTED,
        _sent_request(7, **_PROBE_FIELDS),
        _stage_start(7, request_id='probe-1'),
    ],
    'a version that reverts': [
        _ACCEPTED,
        _sent_request(2, **_PROBE_FIELDS),
        _stage_start(2, request_id='probe-1', model='model-2'),
        _sent_request(7, **{**_PROBE_FIELDS, 'request_id': 'probe-2'}),
        _stage_start(7, request_id='probe-2'),
    ],
    'a clean shutdown': [
        _sent_request(1),
        _own_answer('r1'),
        _operator_event(3, 'exited', entry='entry-1', status=0),
    ],
    'a shutdown that cuts a request': [
        _sent_request(1),
        _caller_event(2, 'broken', detail='closed'),
        _operator_event(3, 'exited', entry='entry-1', status=0),
    ],
    'a shutdown that exits with an error': [
        _operator_event(3, 'exited', entry='entry-1', status=1),
    ],
    'orders with rising fencing numbers': [
        {'at': 1, 'actor': 'e1', 'event': 'order_started', 'fencing': 1},
        {'at': 2, 'actor': 'e1', 'event': 'order_started', 'fencing': 2},
    ],
    'an old order after a new one': [
        {'at': 1, 'actor': 'e1', 'event': 'order_started', 'fencing': 2},
        {'at': 2, 'actor': 'e1', 'event': 'order_started', 'fencing': 1},
    ],
}


@given('the history "{name}"')
def select_history(context: Any, name: str) -> None:
    """Select one of the histories above."""
    context.events = _HISTORIES[name]


@when('it is checked for "{name}"')
def check_history(context: Any, name: str) -> None:
    """Run one check on the history."""
    context.violations = check_all(context.events, sheets.WORKLOAD, {name})[
        name
    ]


@then('{count:d} violations are found')
def check_count(context: Any, count: int) -> None:
    """Assert the number of violations."""
    assert len(context.violations) == count, context.violations
