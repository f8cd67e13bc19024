# flake8: noqa
"""Single machines are cut off from the store while runners leave unannounced."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'support'))
import deployment

# `ContactMs` and `DrainMs` of the sites (seconds).
CONTACT_S = 3.0
DRAIN_S = 2.0
CUT_S = 5.5
# How long a runner serves after its entry was removed (seconds).
LINGER_S = 8.0
CYCLES = 16
PER_S = 40.0


class Link:
    """Forwards a gateway's connections to the store; refuses while cut."""

    def __init__(self, record, name, host, target):
        self.record = record
        self.name = name
        self.host = host
        self.port = deployment.free_port(host)
        self._target = target
        self._server = None
        self._writers = set()
        # When the link was cut last and when it was whole again.
        self.cut_at = None
        self.healed_at = float('-inf')

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    async def cut(self):
        self.cut_at = self.record.note('cut from the store', gateway=self.name)
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def heal(self):
        await self.open()
        self.cut_at = None
        self.healed_at = self.record.note(
            'reaches the store', gateway=self.name
        )

    async def close(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            pump(reader, upstream[1]), pump(upstream[0], writer)
        )
        self._writers -= {writer, upstream[1]}


async def pump(reader, writer):
    try:
        while chunk := await reader.read(65536):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    writer.close()


async def case(record, site):
    store = site.store
    store.put(
        'op',
        'config',
        deployment.configuration(
            1,
            [deployment.route('lookup', 'safe', 'desk')],
            [{'Name': 'desk', 'MaxConns': 300, 'ColdS': 0, 'ColdPerS': 0}],
        ),
    )
    runners = [await add_runner(record, site, number) for number in range(3)]
    links = []
    for number in (1, 2):
        host = deployment.host(200 + number)
        link = Link(record, f'g-{number}', host, (store.host, store.port))
        await link.open()
        site.servers.append(link)
        links.append(link)
        gateway = site.create_gateway(number, f'{host}:{link.port}')
        await gateway.start()
    for gateway in site.gateways:
        await gateway.wait_ready()
    removals = []
    violations = []
    checks = [
        asyncio.ensure_future(use(record, gateway, link, removals, violations))
        for gateway, link in zip(site.gateways, links)
    ]
    for cycle in range(CYCLES):
        link = links[cycle % 2]
        if deployment.TROUBLE:
            await link.cut()
        await asyncio.sleep(CUT_S - 1)
        # A runner leaves without reporting it; another one has taken its place.
        runners.append(await add_runner(record, site, 10 + cycle))
        leaver = runners.pop(0)
        removed_at = store.remove('servers', leaver.name)
        record.note('entry removed', runner=leaver.name)
        removals.append((leaver, removed_at))
        asyncio.get_running_loop().call_later(
            LINGER_S,
            lambda runner=leaver: asyncio.ensure_future(runner.close()),
        )
        await asyncio.sleep(1)
        if deployment.TROUBLE:
            await link.heal()
        else:
            await asyncio.sleep(0)
    await asyncio.sleep(4.5)
    for check in checks:
        check.cancel()
    return violations


async def add_runner(record, site, number):
    runner = deployment.Runner(
        record, site.store, f'i-{number}', 'desk', deployment.host(10 + number)
    )
    await site.add_runner(runner)
    runner.register()
    return runner


async def use(record, gateway, link, removals, violations):
    """Send requests; note those that a machine in touch sent to a gone runner."""
    number = 0
    while True:
        number += 1
        request_id = f'{gateway.name}-{number}'
        is_in_touch = (
            link.cut_at is None and record.now() > link.healed_at + CONTACT_S
        )
        sent_at = record.now()
        await deployment.call_once(
            record, gateway.callers, 'GET', '/lookup/1', request_id, 1000
        )
        if is_in_touch and link.cut_at is None:
            for runner, removed_at in removals:
                for at, run_id in runner.runs[-200:]:
                    if run_id == request_id and at > removed_at + DRAIN_S:
                        violations.append(
                            f'DRAIN: {request_id} reached {runner.name}'
                            f' {at - removed_at:.2f} s after its removal,'
                            f' {sent_at - link.healed_at:.2f} s after the cut'
                        )
        await asyncio.sleep(1 / PER_S)


deployment.play(str(pathlib.Path(__file__).resolve().parent), case)
