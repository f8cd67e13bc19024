# flake8: noqa
"""An entry that can't be read stops the following of the runners' table."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import harness

DRAIN_S = 2.0
# The runner serves for a little longer than it must, then exits.
SERVES_S = 4.0
KEY = '9dnn2ctnfzs989anu6ws'
HOST = 'dosing.example'


async def send_orders(client, until, record, results):
    """Send one order after the other."""
    while record.now < until:
        answer = await client.send(
            'POST', HOST, '/pump-order/1', KEY, body=b'order', deadline_ms=1000
        )
        results.append(answer)
        await asyncio.sleep(0.05)


async def play(record, folder, ended):
    store = harness.Store('127.0.0.1', record)
    ended.append(store)
    await store.start()
    runners = []
    for _ in range(3):
        runner = harness.Runner('127.0.0.1', record, store, 'dosing-desk')
        ended.append(runner)
        await runner.start()
        await runner.register()
        runners.append(runner)
    await store.put(
        'op',
        'config',
        harness.configuration(
            7,
            [harness.plain_route('pump-order', 'dosing-desk', 'unsafe')],
            [harness.plain_service('dosing-desk')],
            {'firm-1': [KEY]},
        ),
    )
    gateways = []
    for number in (1, 2):
        gateway = harness.Gateway(
            f'front-{number}', f'127.0.0.{number}', store, folder
        )
        ended.append(gateway)
        await gateway.start()
        gateways.append(gateway)
    for gateway in gateways:
        if not await gateway.wait_ready():
            return None
    clients = [
        harness.Client(gateway, record) for gateway in gateways for _ in '12'
    ]
    results = []
    began_at = record.now
    ends_at = began_at + 21
    tasks = [
        asyncio.ensure_future(send_orders(client, ends_at, record, results))
        for client in clients
    ]
    await asyncio.sleep(3)
    if harness.trouble_is_on():
        await store.put(
            'servers',
            'i-other',
            {
                'Service': 'dosing-desk',
                'Address': '127.0.0.1:' + '7' * 5000,
                'Zone': 'zone-a',
                'Version': 'v1',
                'Slots': 6,
                'State': 'ready',
                'ColdLeftMs': 0,
                'Seq': 1,
            },
        )
    # Longer than ContactMs, so that the entry is no disruption any more.
    await asyncio.sleep(4)
    leaving = runners[0]
    await leaving.register('draining')
    drained_at = record.now
    await asyncio.sleep(SERVES_S)
    await store.put('servers', leaving.name, None)
    record.write(f'runner {leaving.name} exits')
    leaving.stop()
    # The other runners are replaced: the new one starts first.
    new = harness.Runner('127.0.0.1', record, store, 'dosing-desk')
    ended.append(new)
    await new.start()
    await new.register()
    await asyncio.sleep(1)
    for runner in runners[1:]:
        await runner.register('draining')
    await asyncio.sleep(SERVES_S)
    for runner in runners[1:]:
        await store.put('servers', runner.name, None)
        runner.stop()
    replaced_at = record.now
    await asyncio.gather(*tasks)
    late = [run for run in leaving.runs if run['at'] > drained_at + DRAIN_S]
    lost = [
        item
        for item in results
        if item['sent_at'] > drained_at + DRAIN_S and item['status'] != 200
    ]
    record.write(
        f'{len(results)} orders; {len(late)} reached {leaving.name} later than'
        f' {DRAIN_S} s after it was acknowledged as draining;'
        f' {len(lost)} sent after that were not answered with a success'
    )
    last = [item for item in results if item['sent_at'] > replaced_at]
    served = sum(item['status'] == 200 for item in last)
    record.write(
        f'after the release: {served} of {len(last)} orders served,'
        f' {len(new.runs)} run by the new runner'
    )
    for gateway in gateways:
        for line in gateway.read_log('Traceback', 'ValueError', 'never retr'):
            record.write(f'log of {gateway.name}: {line[:300]}')
    if not results or not any(item['status'] == 200 for item in results):
        return None
    return bool(late)


harness.run_case(FOLDER, play)
