"""Steps on the operators' port, the dump tool and the log."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import logging
import sys
import time
from typing import Any

from behave import given, then, when

from damaskpoint.errors import Code, Failure
from damaskpoint.observe.logs import set_up_logs
from damaskpoint.observe.operator_app import Readiness, create_operator_app
from damaskpoint.observe.state import StateRegistry, StateSource
from damaskpoint.settings_base import LogOptions
from features.support.launcher import ROOT, Launcher, fetch

_PORT = 8081


class _FakeComponent(StateSource):
    def __init__(self, state: dict[str, object]) -> None:
        self.state = state

    def dump_state(self, now: float) -> dict[str, object]:
        return self.state


class _FakeReadiness(Readiness):
    def __init__(self) -> None:
        self.failure: Failure | None = Failure(Code.NOT_READY, 'not yet')

    def check_ready(self, now: float) -> Failure | None:
        return self.failure


@given(
    "a process with an operators' port and the components "
    '"{first}" and "{second}"'
)
def start_port(context: Any, first: str, second: str) -> None:
    """Start the operators' port on the scenario's event loop."""
    launcher = Launcher()
    context.closers.append(launcher.stop_all)
    context.host = launcher.next_host()
    context.readiness = _FakeReadiness()
    context.components = {
        first: _FakeComponent({'waiting': 3}),
        second: _FakeComponent({'by_name': {'entry-1': {'is_live': True}}}),
    }
    registry = StateRegistry()
    for name, component in context.components.items():
        registry.register(name, component)
    app = create_operator_app(context.readiness, registry, time.monotonic)

    async def listen() -> None:
        server = app.listen(_PORT, context.host)
        context.closers.append(server.stop)

    context.loop.run_until_complete(listen())


@then('"{path}" answers {status:d}')
def check_status(context: Any, path: str, status: int) -> None:
    """Check the HTTP status."""
    assert _get(context, path)[0] == status


@then('"{path}" answers {status:d} with the code "{code}"')
def check_code(context: Any, path: str, status: int, code: str) -> None:
    """Check the HTTP status and the failure's code."""
    found_status, body = _get(context, path)
    assert (found_status, json.loads(body)['code']) == (status, code)


@when('the process becomes ready')
def set_ready(context: Any) -> None:
    """Make the process report that it is ready."""
    context.readiness.failure = None


@then('"{path}" answers Prometheus text')
def check_metrics(context: Any, path: str) -> None:
    """Check for a TYPE line."""
    status, body = _get(context, path)
    assert status == 200
    assert '# TYPE damaskpoint_' in body


@when('the component "{name}" has {count:d} entries')
def fill_component(context: Any, name: str, count: int) -> None:
    """Give the component's state a collection of this size."""
    context.components[name].state = {
        'items': {str(key): key for key in range(count)}
    }


@then(
    'the state shows {shown:d} entries of "{name}" and counts {omitted:d} omitted'
)
def check_bounded(context: Any, shown: int, name: str, omitted: int) -> None:
    """Check the number of shown entries and the count of omitted ones."""
    items = json.loads(_get(context, '/state')[1])[name]['items']
    assert items.pop('(omitted)') == omitted
    assert len(items) == shown


@when('damaskpoint-dump runs with {arguments}')
def run_dump(context: Any, arguments: str) -> None:
    """Run the tool against the operators' port."""
    words = (f'{context.host}:{_PORT}', *arguments.split())
    context.ended = context.loop.run_until_complete(_run_tool(*words))


@when('damaskpoint-dump connects to a port without a listener')
def run_dump_unreachable(context: Any) -> None:
    """Run the tool against a closed port."""
    context.ended = context.loop.run_until_complete(
        _run_tool(f'{context.host}:1')
    )


@then('its exit status is {status:d}')
def check_exit(context: Any, status: int) -> None:
    """Check the exit status."""
    assert context.ended[0] == status, context.ended


@then('it writes "{text}"')
def check_written(context: Any, text: str) -> None:
    """Check that the output contains the text."""
    assert text in context.ended[1], context.ended


@then('a log line with as_json {as_json} has the format {expected}')
def check_log(context: Any, as_json: str, expected: str) -> None:
    """Capture a log line from the error stream and check its format."""
    written = io.StringIO()
    root = logging.getLogger()
    previous = list(root.handlers)
    options = LogOptions(as_json=as_json == 'true')
    with contextlib.redirect_stderr(written):
        set_up_logs(options, 'damaskpoint-test')
        logging.getLogger('damaskpoint.trial').info('a peer is live')
    for handler in list(root.handlers):
        root.removeHandler(handler)
    for handler in previous:
        root.addHandler(handler)
    line = written.getvalue()
    if expected == 'json':
        record = json.loads(line)
        assert record['message'] == 'a peer is live'
        assert record['process'] == 'damaskpoint-test'
        return
    assert line.endswith('INFO damaskpoint.trial a peer is live\n'), line


async def _run_tool(*words: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'damaskpoint.main.dump',
        *words,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode()


def _get(context: Any, path: str) -> tuple[int, str]:
    url = f'http://{context.host}:{_PORT}{path}'
    answer: tuple[int, str] = context.loop.run_until_complete(fetch(url))
    return answer
