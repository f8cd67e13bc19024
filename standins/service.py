"""A plain service: any path, some of whose calls may not be repeated."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from tornado import routing, web

from standins.upstream_http import (
    Answer,
    ControlHandler,
    Crossing,
    UpstreamHandler,
    UsageHandler,
    encode_load,
    work,
)

if TYPE_CHECKING:
    from standins.upstream import Upstream


class _ServiceHandler(UpstreamHandler):
    # tornado lets each handler's ``initialize`` take arguments of its own.
    def initialize(  # type: ignore[override]
        self, upstream: Upstream, crossing: Crossing, service_s: float
    ) -> None:
        """Keep the time that a call takes (seconds)."""
        super().initialize(upstream, crossing)
        self.service_s = service_s

    async def get(self) -> None:
        """Run a look-up."""
        await self._run()

    async def post(self) -> None:
        """Run a call with its side effect."""
        await self._run()

    async def _run(self) -> None:
        body = self.request.body
        digest = hashlib.sha256(body).hexdigest()
        about = {
            **self.about(),
            'method': self.request.method,
            'path': self.request.path,
            'body_sha256': digest,
            'body': body.decode(errors='replace'),
        }
        self.upstream.history.record('received', **about)
        if self.refuse_call(about):
            return
        call = self.upstream.start(self, about)
        if call is None:
            return
        # A side effect goes on when the caller has left.
        await work(self.upstream, self.service_s)
        self.upstream.end(call, about, 1)
        if self.is_dropped:
            return
        options = self.upstream.options
        request_id = str(about['request_id'])
        answer = {
            'pool': options.pool,
            'upstream': options.name,
            'path': self.request.path,
            'request_id': request_id,
            'body_sha256': digest,
            'incarnation': self.upstream.incarnation,
            'call': call,
        }
        await self.deliver(
            Answer(request_id, '', str(about['attempt']), answer)
        )


class _LoadHandler(UpstreamHandler):
    async def get(self) -> None:
        """Answer the load, as late as it is."""
        self.echo_own()
        load = encode_load(self.upstream.report())
        self.answer({**load, 'roles': [], 'models': []})


def create_service_app(
    upstream: Upstream, service_s: float, reports_load: bool
) -> web.Application:
    """Return a service's HTTP application."""
    crossing = Crossing()
    shared = {'upstream': upstream, 'crossing': crossing}
    routes: list[routing.URLSpec] = []
    if reports_load:
        routes.append(routing.URLSpec('/v1/load', _LoadHandler, shared))
    routes.append(routing.URLSpec('/control/usage', UsageHandler, shared))
    routes.append(routing.URLSpec('/control', ControlHandler, shared))
    bound = {**shared, 'service_s': service_s}
    routes.append(routing.URLSpec('/.*', _ServiceHandler, bound))
    return web.Application(routes)
