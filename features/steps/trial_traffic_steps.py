"""Steps for the choice of ready entries by the traffic of trials."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from tornado import httpserver, web

from features.support.cluster import OPERATOR_PORT, Member
from features.support.launcher import Launcher
from features.support.traffic import Traffic

# Longer than the notice of an entry, shorter than a caller's deadline.
_LATE_ANSWER_S = 2.0
_WARM_UP_S = 1.0


class _ReadyHandler(web.RequestHandler):
    """Answers with the status and the delay that the scenario sets."""

    def initialize(self, entry: SimpleNamespace) -> None:
        """Set the entry whose status is answered."""
        self._entry = entry

    async def get(self) -> None:
        """Answer with the status at the time of the request."""
        status = self._entry.status
        await asyncio.sleep(self._entry.delay_s)
        self.set_status(status)


@given('a balancer that polls a prompt entry and one that answers late')
def watch_two(context: Any) -> None:
    """Start two HTTP servers as entries and poll them."""
    launcher = Launcher()
    context.closers.append(launcher.stop_all)
    context.prompt = SimpleNamespace(status=200, delay_s=0)
    late = SimpleNamespace(status=200, delay_s=_LATE_ANSWER_S)
    members_by_name = {}
    for name, entry in (('prompt', context.prompt), ('late', late)):
        host = launcher.next_host()
        app = web.Application([('/readyz', _ReadyHandler, {'entry': entry})])
        server = httpserver.HTTPServer(app)
        members_by_name[name] = Member(name, 'entry', 'zone-a', host, 1)
        context.loop.run_until_complete(_listen(server, host))
        context.closers.append(server.stop)
    cluster: Any = SimpleNamespace(members_by_name=members_by_name)
    context.traffic = Traffic(
        cluster, random.Random(1), respects_readiness=True
    )
    context.readiness_watch = context.loop.create_task(context.traffic.watch())
    context.loop.run_until_complete(asyncio.sleep(_WARM_UP_S))
    assert 'prompt' in _get_ready_names(context.traffic)


@when('the prompt entry reports that it is not ready')
def end_readiness(context: Any) -> None:
    """Let the prompt entry answer 503 from now on."""
    context.prompt.status = 503


@then('the balancer sends it no request {later_s:g} s later')
def check_not_ready(context: Any, later_s: float) -> None:
    """Assert that the known readiness is at most as old as the notice."""
    context.loop.run_until_complete(asyncio.sleep(later_s))
    assert 'prompt' not in _get_ready_names(context.traffic)


async def _listen(server: httpserver.HTTPServer, host: str) -> None:
    server.listen(OPERATOR_PORT, host)


def _get_ready_names(traffic: Traffic) -> Any:
    return traffic._ready_names
