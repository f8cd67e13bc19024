"""A simulated plain service on any path; some calls aren't idempotent."""

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
    simulate_work,
)

if TYPE_CHECKING:
    from standins.upstream import Upstream


class _ServiceHandler(UpstreamHandler):
    # tornado lets each handler's ``initialize`` take arguments of its own.
    def initialize(  # type: ignore[override]
        self, upstream: Upstream, crossing: Crossing, service_s: float
    ) -> None:
        """Store the upstream and the seconds that a call takes."""
        super().initialize(upstream, crossing)
        self.service_s = service_s

    async def get(self) -> None:
        """Run a read-only call."""
        await self._run()

    async def post(self) -> None:
        """Run a call with a side effect."""
        await self._run()

    async def _run(self) -> None:
        body = self.request.body
        digest = hashlib.sha256(body).hexdigest()
        call_fields = {
            **self.call_fields(),
            'method': self.request.method,
            'path': self.request.path,
            'body_sha256': digest,
            'body': body.decode(errors='replace'),
        }
        self.upstream.history.record('received', **call_fields)
        if self.refuse_call(call_fields):
            return
        call = self.upstream.start_call(self, call_fields)
        if call is None:
            return
        # A side effect runs to the end even if the caller disconnects.
        await simulate_work(self.upstream, self.service_s)
        self.upstream.end_call(call, call_fields, 1)
        if self.is_dropped:
            return
        options = self.upstream.options
        request_id = str(call_fields['request_id'])
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
            Answer(request_id, '', str(call_fields['attempt']), answer)
        )


class _LoadHandler(UpstreamHandler):
    async def get(self) -> None:
        """Return the load report, which lags behind the load."""
        self.set_call_headers()
        load = encode_load(self.upstream.reported_load())
        self.send_json({**load, 'roles': [], 'models': []})


def create_service_app(
    upstream: Upstream, service_s: float, reports_load: bool
) -> web.Application:
    """Return a service's HTTP application."""
    crossing = Crossing()
    shared_arguments = {'upstream': upstream, 'crossing': crossing}
    routes: list[routing.URLSpec] = []
    if reports_load:
        routes.append(
            routing.URLSpec('/v1/load', _LoadHandler, shared_arguments)
        )
    routes.append(
        routing.URLSpec('/control/usage', UsageHandler, shared_arguments)
    )
    routes.append(routing.URLSpec('/control', ControlHandler, shared_arguments))
    handler_arguments = {**shared_arguments, 'service_s': service_s}
    routes.append(routing.URLSpec('/.*', _ServiceHandler, handler_arguments))
    return web.Application(routes)
