"""Several gateways before runners that crash on one part of prompts.

Callers send requests with that part and sound ones, which share all of the
other parts, to each of the gateways in turn.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from tornado import httpclient, httputil, simple_httpclient

from damaskpoint.observe.operator_app import PATH_STATE
from features.support.gateway_site import (
    HOST,
    KEY,
    Site,
    find_free_port,
    until,
)
from standins.crashing_runner import (
    CrashingRunner,
    CrashPoint,
    RunnerFleet,
)

if TYPE_CHECKING:
    from damaskpoint.gateway.runtime import GatewayRuntime

CRASHING_PART: Final = 'bad0'
# Parts that both kinds of requests share; the first is that of a route.
_FIRST_PARTS: Final = ('f1', 'f2', 'f3')
_SECOND_PARTS: Final = tuple(f'd{number}' for number in range(20))
_RESTART_S: Final = 0.4
_INTERVAL_S: Final = 0.05
# Each such number of requests one has the crashing part.
_CRASHING_EVERY: Final = 4


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request; ``sent_at`` is in seconds of the loop."""

    is_crashing: bool
    sent_at: float
    # 0 if the answer was cut.
    status: int = 0
    headers: httputil.HTTPHeaders = field(default_factory=httputil.HTTPHeaders)
    body: bytes = b''

    @property
    def is_whole(self) -> bool:
        """Return whether all events have arrived."""
        return self.status == 200 and self.body.count(b'id: ') == 5

    @property
    def code(self) -> str:
        """Return the code of a failure of the gateway's own."""
        return str(json.loads(self.body)['code'])


class CrashingSite:
    """A store, model runners and gateways."""

    def __init__(
        self,
        seed: int,
        crashing_part: str | None,
        crash_point: CrashPoint = CrashPoint.HEAD,
    ) -> None:
        """Create a site without runners and gateways."""
        self.fleet = RunnerFleet(crashing_part, _RESTART_S, crash_point)
        self.runners: list[CrashingRunner] = []
        self.answers: list[Answer] = []
        self._rng = random.Random(seed)
        self._site = Site()
        self._ports: list[int] = []
        self._gateways: list[GatewayRuntime] = []
        self._running: list[asyncio.Future[None]] = []
        self._sending: set[asyncio.Task[None]] = set()
        self._sent = 0

    async def start(self, runners: int, gateways: int) -> None:
        """Start everything; wait until all gateways are peers."""
        self._site.start_store()
        for number in range(runners):
            runner = CrashingRunner(self.fleet, HOST)
            await runner.start()
            self.runners.append(runner)
            name = f'model-{number}'
            self._site.ports_by_name[name] = runner.port
            self._site.register(name, 'model', Slots=64)
        self._site.configure(1)
        await self.start_gateways(gateways)

    async def start_gateways(self, count: int) -> None:
        """Start gateways; wait until they know the runners and each other."""
        for _ in range(count):
            port = find_free_port()
            gateway = self._site.create_peer(
                f'g-{len(self._gateways)}', port, find_free_port()
            )
            self._ports.append(port)
            self._gateways.append(gateway)
            self._running.append(asyncio.ensure_future(gateway.run()))
        for gateway in self._gateways[-count:]:
            await until(partial(self._is_ready, gateway, count))

    async def stop_gateways(self) -> None:
        """Shut all gateways down and wait for their end."""
        for gateway in self._gateways:
            gateway.begin_shutdown()
        await asyncio.gather(*self._running)
        self._ports.clear()

    async def press(self, seconds: float) -> None:
        """Send requests of both kinds for some seconds."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            self._sent += 1
            is_crashing = self._sent % _CRASHING_EVERY == 0
            port = self._ports[self._sent % len(self._ports)]
            task = asyncio.ensure_future(self._call(port, is_crashing))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.gather(*self._sending)

    async def send_crashing(self, number: int) -> Answer:
        """Send one request with the crashing part to a gateway."""
        await self._call(self._ports[number], is_crashing=True)
        return self.answers[-1]

    async def dump_prompts(self) -> dict[str, Any]:
        """Return what the state dump of a gateway has of prompts."""
        port = self._site.operator_ports_by_name['g-0']
        client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
        response = await client.fetch(f'http://{HOST}:{port}{PATH_STATE}')
        dump: dict[str, Any] = json.loads(response.body)
        return dict(dump['prompts'])

    def crash(self) -> None:
        """Crash a runner, whatever it works on."""
        self._rng.choice(self.runners).crash()

    def close(self) -> None:
        """Stop the runners and the store."""
        for running in self._running:
            running.cancel()
        for runner in self.runners:
            runner.close()
        self._site.stop()

    def _is_ready(self, gateway: GatewayRuntime, count: int) -> bool:
        catalog = gateway.catalog
        return (
            catalog.configuration is not None
            and len(catalog.runners) == len(self.runners)
            and (gateway.has_live_peers or count == 1)
        )

    async def _call(self, port: int, is_crashing: bool) -> None:
        sent_at = asyncio.get_running_loop().time()
        answer = Answer(is_crashing, sent_at)
        try:
            response = await _fetch(port, self._create_prompt(is_crashing))
        except httpclient.HTTPError:
            # The connection was closed in the middle of the answer.
            response = None
        if response is not None:
            answer = Answer(
                is_crashing,
                sent_at,
                response.code,
                response.headers,
                response.body or b'',
            )
        self.answers.append(answer)

    def _create_prompt(self, is_crashing: bool) -> str:
        """Return a prompt; the crashing part may stand anywhere but last."""
        part_ids = [
            self._rng.choice(_FIRST_PARTS),
            self._rng.choice(_SECOND_PARTS),
        ]
        if is_crashing:
            part_ids.insert(self._rng.randrange(3), CRASHING_PART)
        part_ids.append(f'own{self._rng.randrange(10**9)}')
        return ','.join(f'{part_id}:10' for part_id in part_ids)


async def _fetch(port: int, prompt: str) -> Any:
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    request = httpclient.HTTPRequest(
        f'http://{HOST}:{port}/stream/one',
        method='POST',
        body=b'',
        headers={
            'Host': 'host-1',
            'Authorization': f'Bearer {KEY}',
            'Damaskpoint-Request-Id': f'id-{random.getrandbits(64):x}',
            'Damaskpoint-Deadline-Ms': '2500',
            'Damaskpoint-Prompt-Prefix': prompt,
            'Damaskpoint-Token-Counts': '40,5',
        },
        request_timeout=4,
    )
    try:
        return await client.fetch(request, raise_error=False)
    finally:
        client.close()
