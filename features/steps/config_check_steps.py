"""Steps on the check of a configuration before it is sent."""

from __future__ import annotations

import contextlib
import copy
import io
import itertools
import json
import pathlib
import tempfile
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st
from tornado import netutil

from damaskpoint.config_check.document import create_document
from damaskpoint.config_check.matching import find_unused
from damaskpoint.errors import Failure
from damaskpoint.gateway import handler
from damaskpoint.main import config_check
from features.support.gateway_site import HOST, run
from standins.row_store import RowStore, create_row_store_server

_SEED: Final = 7
_EXAMPLES: Final = 400
_NEVER_MATCHED: Final = frozenset(
    ('route-shadowed', 'prefix-impossible', 'host-impossible')
)
# Hosts as callers send them, and all paths of up to four of these letters.
_SENT_HOSTS: Final = ('a', 'B:80', 'b')
_PATHS: Final = tuple(
    '/' + ''.join(letters)
    for count in range(4)
    for letters in itertools.product('/ab', repeat=count)
)


def _create_route(name: str, host: str, prefix: str) -> dict[str, Any]:
    return {
        'Name': name,
        'Host': host,
        'Prefix': prefix,
        'Kind': 'safe',
        'TimeoutMs': 3000,
        'SloMs': 1000,
        'Service': name,
    }


def _create_configuration(version: int = 2) -> dict[str, Any]:
    return {
        'Version': version,
        'Routes': [
            _create_route('chat', 'host-1', '/chat/'),
            _create_route('plain', 'host-1', '/plain/'),
        ],
        'Services': [{'Name': 'chat'}, {'Name': 'plain'}],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [
            {'Name': 'account-1', 'ApiKeys': ['key-1']},
            {'Name': 'account-2', 'ApiKeys': ['key-2']},
        ],
    }


def _change(configuration: Any, changes: str) -> Any:
    changed = copy.deepcopy(configuration)
    for change in changes.split('; '):
        path, _, value = change.partition('=')
        *owners, name = path.split('.')
        owner = changed
        for part in owners:
            owner = owner[int(part) if isinstance(owner, list) else part]
        if isinstance(owner, list):
            owner.insert(int(name), json.loads(value))
        else:
            owner[name] = json.loads(value)
    return changed


def _split_runner(entry: str) -> list[str]:
    defaults = ('', 'ready', '0')
    given_parts = entry.split(':')
    return [*given_parts, *defaults[len(given_parts) :]]


def _create_runners(listed: str) -> dict[str, Any]:
    runners: dict[str, Any] = {}
    for index, entry in enumerate(listed.split(',')):
        service, state, slots = _split_runner(entry)
        row = {
            'Service': service,
            'Address': 'host:1',
            'Zone': 'zone-1',
            'State': state,
            'Slots': int(slots),
        }
        runners[str(index)] = {} if entry == 'bad' else row
    return runners


@given('a store with the version in force')
def start_store(context: Any) -> None:
    """Serve the table of the operator, with rows before and after it."""

    async def start() -> int:
        store = RowStore()
        store.put('op', 'aaa', {})
        store.put('op', 'config', _create_configuration(1))
        store.put('op', 'evacuate/zone-1', {})
        server = create_row_store_server(store)
        sockets = netutil.bind_sockets(0, HOST)
        server.add_sockets(sockets)
        context.closers.append(server.stop)
        return int(sockets[0].getsockname()[1])

    context.store_port = run(context, start())


@when('the configuration is checked with {changes}, options {options}')
def check_changed(context: Any, changes: str, options: str) -> None:
    """Change the valid configuration and check it."""
    changed = _change(_create_configuration(), changes)
    _check(context, json.dumps(changed), options)


@when('"{content}" is checked with options {options}')
def _check(context: Any, content: str, options: str) -> None:
    """Run the command with JSON output."""
    with tempfile.TemporaryDirectory() as folder:
        checked = pathlib.Path(folder, 'checked')
        checked.write_text(content)
        arguments = [str(checked), '--json']
        if options != 'none':
            name, _, value = options.partition(' ')
            arguments.extend(_resolve(context, folder, name, value))
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            # The command has an event loop of its own.
            context.status = run(
                context,
                _run_in_thread(context, arguments),
            )
    context.printed = printed.getvalue()


async def _run_in_thread(context: Any, arguments: list[str]) -> int:
    status: int = await context.loop.run_in_executor(
        None, config_check.main, arguments
    )
    return status


def _resolve(context: Any, folder: str, name: str, value: str) -> list[str]:
    """Return an option, with files for the values that stand for them."""
    path = pathlib.Path(folder, 'other')
    if value == 'in-force':
        path.write_text(json.dumps(_create_configuration(1)))
    elif name == '--runners':
        listed = [] if value == 'list' else _create_runners(value)
        path.write_text(json.dumps(listed))
    elif value == 'here':
        return [name, f'{HOST}:{context.store_port}']
    elif value != 'absent':
        return [name, value]
    return [name, str(path)]


@then('the exit status is {status:d} and nothing is printed')
def check_status(context: Any, status: int) -> None:
    """Check the status, and that there is no finding."""
    assert context.status == status, (context.status, context.printed)
    printed = context.printed and json.loads(context.printed)
    assert printed in ('', {'findings': []}), printed


@then('the exit status is {status:d} and the findings are {code} at {places}')
def check_findings(context: Any, status: int, code: str, places: str) -> None:
    """Check all findings."""
    assert context.status == status, context.status
    assert 'key-1' not in context.printed
    found = [
        (finding['code'], finding['place'])
        for finding in json.loads(context.printed)['findings']
    ]
    assert found == [(code, place) for place in places.split(' and ')], found


@then('on drawn configurations the routes reported are those never found')
def check_drawn(context: Any) -> None:
    """Compare the findings with the routes of all paths of some letters."""
    drawn_routes = st.lists(
        st.tuples(
            st.sampled_from(('a', 'A', 'b', 'a:80', '')),
            st.one_of(st.text('/ab', max_size=3), st.text('/ab? ', max_size=3)),
        ),
        max_size=8,
    )
    totals = {'matched': 0, 'reported': 0}

    @seed(_SEED)
    @settings(max_examples=_EXAMPLES, deadline=None, database=None)
    @for_all(drawn_routes)
    def compare(drawn: list[tuple[str, str]]) -> None:
        raw = _create_configuration()
        raw['Routes'] = [
            _create_route(f'r-{index}', *route)
            for index, route in enumerate(drawn)
        ]
        document = create_document(raw)
        assert not isinstance(document, Failure)
        matched = set()
        for host, path in itertools.product(_SENT_HOSTS, _PATHS):
            normalized = handler._normalize_host(host)  # noqa: WPS437, SLF001
            route = document.configuration.find_route(normalized, path)
            matched.add(route.name if route else '')
        reported = {
            finding.place.split('.')[1]
            for finding in find_unused(document, None)
            if finding.code in _NEVER_MATCHED
        }
        expected = {
            str(index)
            for index in range(len(drawn))
            if f'r-{index}' not in matched
        }
        assert reported == expected, (drawn, reported, expected)
        totals['matched'] += len(drawn) - len(expected)
        totals['reported'] += len(expected)

    compare()
    # A draw without either kind would compare nothing.
    assert min(totals.values()) > _EXAMPLES / 4, totals
