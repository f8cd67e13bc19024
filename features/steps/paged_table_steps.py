"""Steps for a table that is read page by page while it changes."""

from __future__ import annotations

import base64
import json
from typing import Any, Final

from behave import given, then, when
from tornado import httpserver, netutil, web

from damaskpoint.catalog.catalog import Catalog
from damaskpoint.catalog.follower import RunnerSink, TableFollower
from damaskpoint.platform.store import create_store
from features.support.gateway_site import HOST, run

_TIMEOUT_S: Final = 1.0
_FIRST_VERSION: Final = 5
# Version of the change of a row of the first page, before the second is read.
_CHANGE_VERSION: Final = 6
_LAST_VERSION: Final = 7


def _create_row(name: str, version: int, state: str) -> dict[str, object]:
    entry = {
        'Service': 'model',
        'Address': f'{HOST}:1',
        'Zone': 'zone-1',
        'State': state,
        'born': 1,
    }
    value = base64.b64encode(json.dumps(entry).encode()).decode()
    return {'Key': name, 'Ver': version, 'Value': value}


class _PageHandler(web.RequestHandler):
    """Answers with a page of one row, of two."""

    def get(self) -> None:
        """Serve the page that the range begins with."""
        is_first = not self.get_query_argument('From', '')
        name = 'r-1' if is_first else 'r-2'
        version = _FIRST_VERSION if is_first else _LAST_VERSION
        self.finish(
            {
                'Rows': [_create_row(name, _FIRST_VERSION, 'ready')],
                'Ver': version,
                'Truncated': is_first,
                'NowMs': 1,
            }
        )


class _FeedHandler(web.RequestHandler):
    """Answers with the changes after a version."""

    def get(self) -> None:
        """Serve the one change, if it is later."""
        rows = []
        if int(self.get_query_argument('After')) < _CHANGE_VERSION:
            rows.append(_create_row('r-1', _CHANGE_VERSION, 'draining'))
        self.finish({'Rows': rows, 'Ver': _LAST_VERSION, 'NowMs': 1})


@given('a table of two pages, of which a row of the first then changes')
def start_table(context: Any) -> None:
    """Start a server of the table."""
    server = httpserver.HTTPServer(
        web.Application(
            [('/v1/rows-get', _PageHandler), ('/v1/rows-feed', _FeedHandler)]
        )
    )
    sockets = netutil.bind_sockets(0, HOST)
    server.add_sockets(sockets)
    context.closers.append(server.stop)
    context.port = sockets[0].getsockname()[1]


@when('a follower reads the table and its changes')
def follow(context: Any) -> None:
    """Read the table, then watch it once."""
    context.catalog = Catalog()

    async def advance() -> None:
        follower = TableFollower(
            create_store(f'http://{HOST}:{context.port}', _TIMEOUT_S),
            'servers',
            RunnerSink(context.catalog),
        )
        for _ in range(2):
            failure = await follower.advance()
            assert failure is None, failure

    run(context, advance())


@then('the change of the first page is known')
def check_change(context: Any) -> None:
    """Check that the runner of the first page is not used, the other is."""
    runners = context.catalog.runners
    assert runners.find('r-1') is None
    assert runners.find('r-2') is not None
