"""A rollout with real gateway processes, under traffic and faults."""

from __future__ import annotations

import asyncio
import collections
import json
import random
import signal
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from features.support.gateway_site import (
    HOST,
    KEY,
    Site,
    create_configuration,
    find_free_port,
)
from features.support.launcher import Launcher
from features.support.relay import Relay
from features.support.rollout_plan import RUNNERS
from features.support.rollout_platform import RolloutPlatform
from standins.versions import ServiceVersion

if TYPE_CHECKING:
    from features.support.rollout_plan import RolloutPlan

BOUNDS: Final = {'exposure_share': 0.1, 'exposure_slack': 50, 'rollback_s': 5.0}
_CALLER_PORT: Final = 8080
_READY_PORT: Final = 8081
_CALLER_TIMEOUT_S: Final = 5.0
# Traffic before the order, and after the deadline (seconds).
_BEFORE_S: Final = 4.0
_AFTER_S: Final = 7.0
_RESTART_S: Final = 1.0
_CLOSING_S: Final = 0.5
# Faults as shares of the rollout's duration, and of the gateways.
_STOPS_END: Final = 0.9
_CUT_START: Final = 0.1
_CUT_LENGTH: Final = 0.5
_OUTAGE_LENGTH: Final = 0.25
_CUT_SHARE: Final = 0.34


class RolloutSite:
    """A store, runners of several versions, gateways and callers."""

    def __init__(self, plan: RolloutPlan, *, has_rollouts: bool = True) -> None:
        """Create a site; its gateways may lack the settings of rollouts."""
        self.plan = plan
        self.launcher = Launcher()
        self.site = Site()
        self.platform = RolloutPlatform(
            self.site, plan.service, plan.drain_delay_s
        )
        self.old = ServiceVersion('v1')
        # The version of the order that is replaced, and that of the last one.
        self.earlier = ServiceVersion('v2')
        self.new = ServiceVersion('v3', rng=random.Random(plan.seed))
        self.ordered_at = float('inf')
        self.withdrawn_at = float('inf')
        # Longest delay of the test's event loop since the order (seconds).
        self.lag_s: float = 0
        # Answers by status; 0 if there was none.
        self.counts_by_status: collections.Counter[int] = collections.Counter()
        self._rng = random.Random(plan.seed)
        self._has_rollouts = has_rollouts
        self._relays: list[Relay] = []
        self._hosts: list[str] = []
        self._stopped: set[int] = set()
        self._tasks: set[asyncio.Future[None]] = set()

    async def run(self) -> None:
        """Run the rollout and its traffic to their end."""
        await self._start()
        calling = asyncio.ensure_future(self._call_steadily())
        self._tasks.add(calling)
        await asyncio.sleep(_BEFORE_S)
        await self._operate()
        await asyncio.sleep(_AFTER_S)
        calling.cancel()
        await asyncio.sleep(1)

    async def close(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        self.launcher.stop_all()
        # The relays' tasks end with the connections of the gateways.
        await asyncio.sleep(_CLOSING_S)
        for relay in self._relays:
            relay.close()
        self.site.stop()

    async def _start(self) -> None:
        self.site.start_store()
        routes = create_configuration(1)['Routes']
        once = {'Prefix': '/chat/', 'Resumable': False, 'MaxAttempts': 1}
        chat = {**routes[2], 'Name': 'chat', **once}
        self.site.configure(1, Routes=[*routes, chat])
        self._start_runners(self.old)
        if self.plan.service == 'stage':
            models = RolloutPlatform(self.site, 'model', 0)
            models.start_runners(ServiceVersion(), 4, 0.01)
        self._tasks.add(asyncio.ensure_future(self.platform.follow()))
        await self._start_gateways()

    async def _start_gateways(self) -> None:
        for number in range(self.plan.gateways):
            await self._prepare_gateway(f'g-{number}')
            self._start_gateway(number)
        for position, host in enumerate(self._hosts):
            url = f'http://{host}:{_READY_PORT}/v1/ready'
            await self.launcher.wait_ready(f'g-{position}', url)

    def _start_runners(self, version: ServiceVersion) -> None:
        self.platform.start_runners(version, RUNNERS, self.plan.traffic.time_s)

    async def _operate(self) -> None:
        """Play the operator; return at the deadline."""
        plan = self.plan
        if 'after another' in plan.kind:
            await self._order_earlier()
        loop = asyncio.get_running_loop()
        if plan.kind != 'absent':
            loop.call_later(max(0, plan.start_s), self._start_runners, self.new)
        await asyncio.sleep(max(0, -plan.start_s))
        self._order()
        self._tasks.add(asyncio.ensure_future(self._disturb()))
        if 'withdrawn' in plan.kind:
            loop.call_later(plan.change_s, self._withdraw)
        await asyncio.sleep(plan.duration_s)

    async def _order_earlier(self) -> None:
        self._start_runners(self.earlier)
        self.platform.order(self.earlier.name, self.plan.duration_s)
        await asyncio.sleep(self.plan.change_s)

    def _order(self) -> None:
        self.ordered_at = time.monotonic()
        bad = self.plan.bad
        if bad is not None:
            starts_at = self.ordered_at + bad.starts_at
            self.new.fault = replace(bad, starts_at=starts_at)
        self.platform.order(self.new.name, self.plan.duration_s)

    def _withdraw(self) -> None:
        self.withdrawn_at = time.monotonic()
        self.platform.withdraw()

    async def _prepare_gateway(self, name: str) -> None:
        """Write the settings of a gateway, and start its way to the store."""
        host = self.launcher.next_host()
        self._hosts.append(host)
        relay = Relay(HOST, self.site.store_port)
        port = find_free_port()
        await relay.start(HOST, port)
        self._relays.append(relay)
        settings: dict[str, object] = {
            'instance': {'name': name, 'zone': 'zone-1', 'host': host},
            'listen': {
                'callers': f'{host}:{_CALLER_PORT}',
                'readiness': f'{host}:{_READY_PORT}',
                'operator_port': 9464,
                'peer_port': 9465,
            },
            'store': {'address': f'{HOST}:{port}'},
            'bounds': {
                'grace_s': 6,
                'retry_ratio': 0.2,
                'retry_slack': 50,
                'cold_overshoot': 1.5,
                'cold_slack': 5,
            },
        }
        if self._has_rollouts:
            settings['rollouts'] = BOUNDS
        path = self.launcher.folder / f'{name}.json5'
        path.write_text(json.dumps(settings))

    def _start_gateway(self, number: int) -> None:
        base = self.launcher.folder / f'g-{number}'
        arguments = [
            str(base.with_suffix('.cut')),
            '--settings',
            f'{base}.json5',
        ]
        module = 'features.support.severed_gateway'
        if self.plan.fault != 'cut peers':
            module = 'damaskpoint.main.gateway'
            arguments.pop(0)
        self.launcher.start(base.name, module, *arguments)

    async def _disturb(self) -> None:
        if self.plan.fault in {'kill', 'freeze'}:
            await self._stop_repeatedly()
        elif self.plan.fault != 'none':
            await self._cut()

    async def _stop_repeatedly(self) -> None:
        ends_at = time.monotonic() + _STOPS_END * self.plan.duration_s
        is_kill = self.plan.fault == 'kill'
        while time.monotonic() < ends_at:
            number = self._rng.randrange(self.plan.gateways)
            await (self._kill(number) if is_kill else self._freeze(number))
            await asyncio.sleep(self._rng.uniform(0.5, 3))

    async def _cut(self) -> None:
        plan = self.plan
        numbers = range(plan.gateways)
        length_s = _OUTAGE_LENGTH * plan.duration_s
        if plan.fault != 'outage':
            numbers = numbers[: round(plan.gateways * _CUT_SHARE)]
            length_s = _CUT_LENGTH * plan.duration_s
        await asyncio.sleep(_CUT_START * plan.duration_s)
        for number in numbers:
            self._set_cut(number, is_cut=True)
        await asyncio.sleep(length_s)
        for severed in numbers:
            self._set_cut(severed, is_cut=False)

    def _set_cut(self, number: int, *, is_cut: bool) -> None:
        """Cut a gateway from its peers or from the store."""
        if self.plan.fault == 'cut peers':
            path = self.launcher.folder / f'g-{number}.cut'
            path.touch()
            if not is_cut:
                path.unlink()
        elif is_cut:
            self._relays[number].block()
        else:
            self._relays[number].unblock()

    async def _freeze(self, number: int) -> None:
        self.launcher.send(f'g-{number}', signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        self.launcher.send(f'g-{number}', signal.SIGCONT)

    async def _kill(self, number: int) -> None:
        self._stopped.add(number)
        self.launcher.kill(f'g-{number}')
        await asyncio.sleep(self._rng.uniform(0.2, 2))
        self._start_gateway(number)
        await asyncio.sleep(_RESTART_S)
        self._stopped.discard(number)

    async def _call_steadily(self) -> None:
        """Send requests at random times until cancelled."""
        sent = 0
        shares = self.plan.traffic.shares_by_route
        next_at = time.monotonic()
        while True:
            next_at += self._rng.expovariate(self.plan.rate)
            if next_at > time.monotonic():
                await asyncio.sleep(next_at - time.monotonic())
            if time.monotonic() > self.ordered_at:
                self.lag_s = max(self.lag_s, time.monotonic() - next_at)
            sent += 1
            route = self._rng.choices(list(shares), list(shares.values()))[0]
            running = set(range(self.plan.gateways)) - self._stopped
            number = self._rng.choice(sorted(running))
            call = asyncio.ensure_future(self._call(number, route, sent))
            self._tasks.add(call)
            call.add_done_callback(self._tasks.discard)

    async def _call(self, number: int, route: str, sent: int) -> None:
        request_id = f'{route}.{number}.{sent}'
        head = (
            f'POST /{route}/one HTTP/1.1\r\nHost: host-1\r\n'
            f'Connection: close\r\nAuthorization: Bearer {KEY}\r\n'
            f'Damaskpoint-Request-Id: {request_id}\r\n'
            'Damaskpoint-Deadline-Ms: 2500\r\nContent-Length: 0\r\n'
        )
        if self.plan.service == 'stage':
            head += (
                f'Damaskpoint-Pieces: {"1,2" if route == "staged" else "2"}\r\n'
                f'Damaskpoint-Piece-Key: {request_id}\r\n'
            )
        work = _send(self._hosts[number], f'{head}\r\n'.encode())
        try:
            status = await asyncio.wait_for(work, _CALLER_TIMEOUT_S)
        except (OSError, TimeoutError):
            status = 0
        self.counts_by_status[status] += 1


async def _send(host: str, request: bytes) -> int:
    """Send a request, read the whole answer, and return its status."""
    reader, writer = await asyncio.open_connection(host, _CALLER_PORT)
    try:
        writer.write(request)
        answer = await reader.read(-1)
    finally:
        writer.close()
    return int(answer.split(b' ', 2)[1]) if answer else 0
