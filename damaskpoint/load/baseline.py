"""A minimal entry that measurements of the product are compared with.

It does what a first implementation would: it picks upstreams round-robin,
admits every request and retries on any failure. It ignores cold starts, does
not split deadlines over stages, and has no journal and no peers. It is not
part of the product; ``python -m damaskpoint.load.baseline --settings FILE``
serves the client API of an entry with it.
"""

from __future__ import annotations

import argparse
import asyncio
import http
import json
import pathlib
import sys
import time
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.web import Application, RequestHandler

from damaskpoint import protocol
from damaskpoint.config.fetch import ConfigurationFetcher
from damaskpoint.config.follower import ConfigurationFollower
from damaskpoint.errors import Failure
from damaskpoint.load.events import EventParser
from damaskpoint.load.fetching import fetch
from damaskpoint.platform.base import Presence
from damaskpoint.platform.store import create_store
from damaskpoint.platform.store_instances import StoreInstances
from damaskpoint.platform.store_table import StoreObjects, StoreTable
from damaskpoint.settings import load_options

if TYPE_CHECKING:
    from damaskpoint.config.model import Configuration, Pipeline, Stage
    from damaskpoint.platform.base import InstanceList, ListedInstance
    from damaskpoint.settings import Options

_MAX_ATTEMPTS: Final = 3
_MAX_CLIENTS: Final = 10_000
_POLL_S: Final = 1.0
_MS_PER_S: Final = 1_000


@final
class Rotation:
    """Round-robin selection of live upstreams."""

    def __init__(
        self, instances: InstanceList, follower: ConfigurationFollower
    ) -> None:
        """Create a rotation without upstreams; ``run`` fetches them."""
        self._instances = instances
        self._follower = follower
        self._listed_instances: tuple[ListedInstance, ...] = ()
        self._pick_count = 0

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, if any."""
        return self._follower.current

    async def run(self) -> None:
        """Poll the configuration and the instance list until cancelled."""
        while True:
            await self._follower.poll(time.monotonic())
            listed = await self._instances.fetch()
            if not isinstance(listed, Failure):
                self._listed_instances = listed
            await asyncio.sleep(_POLL_S)

    def pick(self, pool: str) -> ListedInstance | None:
        """Return the next live upstream of a pool; skip zones that are out."""
        usable = self._find_usable(pool)
        if not usable:
            return None
        self._pick_count += 1
        return usable[self._pick_count % len(usable)]

    def _find_usable(self, pool: str) -> list[ListedInstance]:
        usable: list[ListedInstance] = []
        configuration = self.configuration
        if configuration is None:
            return usable
        for instance in self._listed_instances:
            zone = configuration.zones_by_name.get(instance.zone)
            if instance.pool != pool or zone is None or zone.is_out:
                continue
            if instance.presence is Presence.LIVE:
                usable.append(instance)
        return usable


class _Handler(RequestHandler):
    def initialize(self, rotation: Rotation, client: AsyncHTTPClient) -> None:
        """Set the objects that all handlers of the process share."""
        self.rotation = rotation
        self.client = client

    async def call_with_retries(
        self, pool: str, path: str, call: HTTPRequest
    ) -> HTTPResponse | None:
        """Send a call to the next upstream; retry on any failure."""
        for _ in range(_MAX_ATTEMPTS):
            upstream = self.rotation.pick(pool)
            if upstream is None:
                return None
            call.url = f'http://{upstream.host}:{upstream.port}/{path}'
            response = await fetch(self.client, call)
            if response is None:
                continue
            if response.code < http.HTTPStatus.INTERNAL_SERVER_ERROR:
                return response
        return None

    def create_call(self, body: bytes, stage: str) -> HTTPRequest:
        """Return a call with the headers that an upstream requires."""
        deadline_ms = self.request.headers.get(
            protocol.HEADER_DEADLINE_MS, '3000'
        )
        return HTTPRequest(
            'http://upstream',
            method='POST',
            body=body,
            headers={
                protocol.HEADER_REQUEST_ID: self.request_id(),
                protocol.HEADER_STAGE: stage,
                protocol.HEADER_ATTEMPT: uuid.uuid4().hex,
            },
            request_timeout=int(deadline_ms) / _MS_PER_S,
        )

    def request_id(self) -> str:
        """Return the request identifier that the caller sent."""
        return self.request.headers.get(protocol.HEADER_REQUEST_ID, 'unnamed')

    def fail(self) -> None:
        """Respond that every attempt failed."""
        self.set_status(http.HTTPStatus.BAD_GATEWAY)
        self.finish({'code': 'upstream_failed', 'ran': 'unknown'})


@dataclass(slots=True)
class _Progress:
    """Output and usage of the stages that have completed."""

    output: object
    used: list[dict[str, object]] = field(default_factory=list)


class PipelineHandler(_Handler):
    """Runs the stages of a pipeline in sequence."""

    async def post(self, name: str) -> None:
        """Respond with the output of the last stage."""
        pipeline = self._find_pipeline(name)
        if pipeline is None:
            self.fail()
            return
        body = json.loads(self.request.body)
        progress = _Progress(body.get('input'))
        stages = list(pipeline.stages)
        streamed = stages.pop() if body.get('stream') else None
        for stage in stages:
            if not await self._run_stage(stage, progress):
                self.fail()
                return
        if streamed is not None:
            await self._stream(streamed, progress)
            return
        self.set_header(protocol.HEADER_REQUEST_ID, self.request_id())
        self.finish(
            {
                'request_id': self.request_id(),
                'output': progress.output,
                'stages': progress.used,
            }
        )

    async def _run_stage(self, stage: Stage, progress: _Progress) -> bool:
        """Run one stage; return whether an attempt succeeded."""
        call = self._create_stage_call(stage, progress.output)
        path = f'v1/stages/{stage.kind.value}'
        response = await self.call_with_retries(stage.pool, path, call)
        if response is None:
            return False
        answer = json.loads(response.body)
        progress.output = answer['output']
        progress.used.append({'name': stage.name, 'units': answer['units']})
        return True

    def _find_pipeline(self, name: str) -> Pipeline | None:
        configuration = self.rotation.configuration
        if configuration is None:
            return None
        return configuration.pipelines_by_name.get(name)

    def _create_stage_call(
        self, stage: Stage, stage_input: object
    ) -> HTTPRequest:
        body = {
            'model': stage.model,
            'adapter': stage.adapter,
            'stream': False,
            'input': stage_input,
        }
        return self.create_call(json.dumps(body).encode(), stage.name)

    async def _stream(self, stage: Stage, progress: _Progress) -> None:
        """Relay a stream; a failure after its start truncates the response."""
        call = self._create_stage_call(stage, progress.output)
        body = json.loads(call.body or b'{}')
        call.body = json.dumps({**body, 'stream': True}).encode()
        self.set_header('Content-Type', protocol.MEDIA_EVENTS)
        call.streaming_callback = _StreamRelay(self, stage, progress.used).feed
        path = f'v1/stages/{stage.kind.value}'
        response = await self.call_with_retries(stage.pool, path, call)
        if response is None and not self._headers_written:
            self.fail()
            return
        self.finish()


@final
class _StreamRelay:
    """Relays events and adds the stages used to the end event."""

    def __init__(
        self,
        handler: RequestHandler,
        stage: Stage,
        used: list[dict[str, object]],
    ) -> None:
        self._handler = handler
        self._stage = stage
        self._used = used
        self._parser = EventParser()

    def feed(self, chunk: bytes) -> None:
        for name, text in self._parser.feed(chunk):
            event = json.loads(text)
            if name == protocol.EVENT_END:
                last = {'name': self._stage.name, 'units': 1}
                event['stages'] = [*self._used, last]
            data = json.dumps(event)
            self._handler.write(f'event: {name}\ndata: {data}\n\n')
            self._handler.flush()


class ServiceHandler(_Handler):
    """Forwards a call to a service."""

    async def post(self, pool: str, path: str) -> None:
        """Respond with the response of the service."""
        call = self.create_call(self.request.body, '')
        key = self.request.headers.get(protocol.HEADER_IDEMPOTENCY_KEY)
        if key:
            call.headers[protocol.HEADER_IDEMPOTENCY_KEY] = key
        response = await self.call_with_retries(pool, path, call)
        if response is None:
            self.fail()
            return
        self.set_header(protocol.HEADER_REQUEST_ID, self.request_id())
        self.set_status(response.code)
        self.finish(response.body)


class _ReadyHandler(_Handler):
    def get(self) -> None:
        """Respond with 200 once a configuration is in force, else 503."""
        if self.rotation.configuration is None:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)


async def serve(options: Options) -> None:
    """Serve callers and operators until the process ends."""
    client = AsyncHTTPClient(force_instance=True, max_clients=_MAX_CLIENTS)
    store = create_store(options.platform.store_url, options.platform.timeout_s)
    follower = ConfigurationFollower(
        StoreTable(store),
        ConfigurationFetcher(StoreObjects(store)),
        options.platform,
    )
    rotation = Rotation(StoreInstances(store), follower)
    handler_arguments = {'rotation': rotation, 'client': client}
    app = Application(
        [
            ('/v1/pipelines/([^/]+)', PipelineHandler, handler_arguments),
            ('/v1/services/([^/]+)/(.*)', ServiceHandler, handler_arguments),
        ]
    )
    app.listen(options.instance.port, options.instance.host)
    operator_app = Application([('/readyz', _ReadyHandler, handler_arguments)])
    operator_app.listen(options.instance.operator_port, options.instance.host)
    await rotation.run()


def main() -> None:
    """Run the baseline with the settings from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--settings', type=pathlib.Path, required=True)
    options = load_options(parser.parse_args().settings)
    if isinstance(options, Failure):
        sys.exit(options.detail)
    asyncio.run(serve(options))


if __name__ == '__main__':
    main()
