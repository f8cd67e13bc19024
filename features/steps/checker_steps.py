"""Steps that give the checker histories written by hand."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from features.support import sheets
from features.support.checker import Event, check_all
from standins import derive

_INPUT: Final = {'key': 'k1'}


def _start(at: float, **about: object) -> Event:
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
    return {**event, **about}


def _call(at: float, event: str, **about: object) -> Event:
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
    return {**base, **about}


def _sent(at: float, **about: object) -> Event:
    return _call(at, 'sent', **{'body': {'input': _INPUT}, **about})


def _answered(at: float, **about: object) -> Event:
    base = {'status': 200, 'code': '', 'ran': '', 'body': {}, 'text': ''}
    return _call(at, 'answered', **{**base, 'is_whole': True, **about})


def _refused(at: float, **about: object) -> Event:
    base = {'status': 503, 'code': 'no_upstream', 'ran': 'no'}
    return _answered(at, **{**base, 'is_whole': False, **about})


def _operator(at: float, event: str, **about: object) -> Event:
    return {'at': at, 'actor': 'operator', 'event': event, **about}


def _commit(at: float, **about: object) -> Event:
    return _start(at, **{'stage': 'commit', 'kind': 'generate', **about})


def _whole_output(request_id: str) -> object:
    output: object = _INPUT
    for kind in sheets.PLAN.kinds_by_path[sheets.ANSWER_PATH]:
        output = derive.derive_output(kind, request_id, output)
    return output


_UP: Final[Event] = {
    'at': 0,
    'actor': 'e1',
    'event': 'incarnation',
    'zone': 'zone-a',
}
_COLD: Final = {'is_cold': True, 'limit': 1}
_TURN: Final[Event] = {'at': 1, 'actor': 'e1', 'event': 'cold'}
_OUT: Final = _operator(1, 'excluded', name='zone-a')
_PROBE: Final = {'request_id': 'probe-1', 'number': 7}
_ACCEPTED: Final = _operator(1, 'accepted', number=2)


def _own(request_id: str) -> Event:
    return _answered(2, body={'output': _whole_output(request_id)})


_HISTORIES: dict[str, list[Event]] = {
    'one run of a key': [_commit(1)],
    'a key that runs at two upstreams': [
        _commit(1),
        _commit(2, actor='e2', request_id='r2'),
    ],
    'a refusal of what never ran': [_sent(1), _refused(2, key='k1')],
    'a refusal of what ran': [_commit(1), _refused(2, key='k1')],
    'a refused try before one that runs': [
        _refused(1, key='k1'),
        _commit(2, request_id='r2'),
        _answered(3, request_id='r2', key='k1'),
    ],
    'an own answer': [_sent(1), _own('r1')],
    'an answer to another request': [_sent(1), _own('r2')],
    'own stages': [_sent(1), _start(2)],
    'a stage with foreign input': [_sent(1), _start(2, input={'key': 'k2'})],
    'a request without an answer': [_sent(1)],
    'a request to a killed entry': [
        _sent(1),
        _operator(2, 'killed', entry='entry-1'),
        _call(3, 'broken', detail=''),
    ],
    'a cold upstream at its limit': [_start(1, **_COLD)],
    'a cold upstream above its limit': [_start(1, **_COLD, in_flight=2)],
    'work just after a cold turn': [_TURN, _start(2, **_COLD, in_flight=2)],
    'work long after a cold turn': [_TURN, _start(4, **_COLD, in_flight=2)],
    'work just after a zone went out': [_UP, _OUT, _start(5)],
    'work long after a zone went out': [_UP, _OUT, _start(7)],
    'work after a zone came back': [
        _UP,
        _OUT,
        _operator(6, 'included', name='zone-a'),
        _start(7),
    ],
    'work at an upstream that left': [
        _UP,
        _operator(1, 'excluded', name='e1'),
        _start(7),
    ],
    'a version that comes in time': [
        _ACCEPTED,
        _sent(5, **_PROBE),
        _start(5, request_id='probe-1'),
    ],
    'a version that comes late': [
        _ACCEPTED,
        _sent(7, **_PROBE),
        _start(7, request_id='probe-1'),
    ],
    'a version that goes back': [
        _ACCEPTED,
        _sent(2, **_PROBE),
        _start(2, request_id='probe-1', model='model-2'),
        _sent(7, **{**_PROBE, 'request_id': 'probe-2'}),
        _start(7, request_id='probe-2'),
    ],
    'a clean shutdown': [
        _sent(1),
        _own('r1'),
        _operator(3, 'exited', entry='entry-1', status=0),
    ],
    'a shutdown that cuts': [
        _sent(1),
        _call(2, 'broken', detail='closed'),
        _operator(3, 'exited', entry='entry-1', status=0),
    ],
    'a shutdown that ends badly': [
        _operator(3, 'exited', entry='entry-1', status=1),
    ],
    'orders of rising numbers': [
        {'at': 1, 'actor': 'e1', 'event': 'order_started', 'fencing': 1},
        {'at': 2, 'actor': 'e1', 'event': 'order_started', 'fencing': 2},
    ],
    'an old order after a new one': [
        {'at': 1, 'actor': 'e1', 'event': 'order_started', 'fencing': 2},
        {'at': 2, 'actor': 'e1', 'event': 'order_started', 'fencing': 1},
    ],
}


@given('the history "{name}"')
def take_history(context: Any, name: str) -> None:
    """Take one of the histories above."""
    context.events = _HISTORIES[name]


@when('it is checked for "{name}"')
def check_history(context: Any, name: str) -> None:
    """Run one check."""
    context.found = check_all(context.events, sheets.PLAN, {name})[name]


@then('{count:d} violations are found')
def count_violations(context: Any, count: int) -> None:
    """Compare the number of violations."""
    assert len(context.found) == count, context.found
