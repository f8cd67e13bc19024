# flake8: noqa
"""A watch of the store whose answer is lost hides all later changes."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import harness

CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
# Time for which responses of the store are lost.
LOST_S = 2.0
KEY = '9dnn2ctnfzs989anu6ws'
REVOKED_KEY = '7c1e07a2915c1e07a2e4'
HOST = 'dosing.example'


async def send_all(client, target, key, until, record, results):
    """Send one order after the other."""
    while record.now < until:
        answer = await client.send(
            'POST', HOST, target, key, body=b'order', deadline_ms=1000
        )
        results.append(answer)
        await asyncio.sleep(0.05)


async def play(record, folder, ended):
    store = harness.Store('127.0.0.1', record)
    ended.append(store)
    await store.start()
    runners = []
    for service in ('dosing-desk', 'dosing-desk', 'new-desk'):
        runner = harness.Runner('127.0.0.1', record, store, service)
        ended.append(runner)
        await runner.start()
        await runner.register()
        runners.append(runner)
    services = [
        harness.plain_service('dosing-desk'),
        harness.plain_service('new-desk'),
    ]
    old = (
        [
            harness.plain_route('pump-order', 'dosing-desk', 'unsafe'),
            harness.plain_route('refill-order', 'dosing-desk', 'unsafe'),
        ],
        services,
        {'firm-1': [KEY], 'firm-2': [REVOKED_KEY]},
    )
    await store.put('op', 'config', harness.configuration(6, *old))
    gateway = harness.Gateway('front-1', '127.0.0.1', store, folder)
    ended.append(gateway)
    await gateway.start()
    if not await gateway.wait_ready():
        return None
    await asyncio.sleep(3)
    if harness.trouble_is_on():
        store.is_mute = True
    await asyncio.sleep(LOST_S / 2)
    # Each watch is answered once: a version that changes nothing, and a new
    # heartbeat of a runner that tells another number of slots.
    await store.put('op', 'config', harness.configuration(7, *old))
    runners[1].slots = 5
    await runners[1].register()
    await asyncio.sleep(LOST_S / 2)
    store.is_mute = False
    record.write('responses of the store arrive again')
    # The machine is in touch again, and the core stable, ContactMs later.
    await asyncio.sleep(CONTACT_S + 0.5)
    results = {}
    tasks = []
    ends_at = record.now + 10
    for name, target, key in (
        ('moved', '/refill-order/1', KEY),
        ('revoked', '/pump-order/1', REVOKED_KEY),
        ('orders', '/pump-order/2', KEY),
    ):
        results[name] = []
        client = harness.Client(gateway, record)
        tasks.append(
            asyncio.ensure_future(
                send_all(client, target, key, ends_at, record, results[name])
            )
        )
    await asyncio.sleep(1)
    # A route moves to another service, and a tenant loses its key.
    await store.put(
        'op',
        'config',
        harness.configuration(
            8,
            [
                harness.plain_route('pump-order', 'dosing-desk', 'unsafe'),
                harness.plain_route('refill-order', 'new-desk', 'unsafe'),
            ],
            services,
            {'firm-1': [KEY], 'firm-2': []},
        ),
    )
    changed_at = record.now
    await runners[0].register('draining')
    drained_at = record.now
    await asyncio.gather(*tasks)
    due_at = changed_at + CONFIG_APPLY_S
    old_ids = {run['id'] for runner in runners[:2] for run in runner.runs}
    moved = [
        item
        for item in results['moved']
        if item['sent_at'] > due_at and item['id'] in old_ids
    ]
    revoked = [
        item
        for item in results['revoked']
        if item['sent_at'] > due_at and item['id'] in old_ids
    ]
    late = [run for run in runners[0].runs if run['at'] > drained_at + DRAIN_S]
    last_at = max([run['at'] for run in late], default=0) - changed_at
    record.write(
        f'later than {CONFIG_APPLY_S} s after version 8 was acknowledged:'
        f' {len(moved)} orders run by the old service, {len(revoked)} with the'
        f' key that was taken away; {len(late)} orders reached the draining'
        f' runner later than {DRAIN_S} s, the last {last_at:.1f} s after it'
    )
    for line in gateway.read_log('store', 'configuration in force'):
        record.write(f'log: {line[:250]}')
    if not any(item['status'] == 200 for item in results['orders']):
        return None
    return bool(moved or revoked or late)


harness.run_case(FOLDER, play)
