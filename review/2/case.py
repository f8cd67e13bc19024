# flake8: noqa
"""The only API key is taken away: who may still have requests run?"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'support'))
import deployment

KEY, FOREIGN_KEY = 'key-of-acme', 'key-that-nobody-holds'
# `ConfigApplyMs` of the sites (seconds).
CONFIG_APPLY_S = 2.0


def create_configuration(version, keys):
    return deployment.configuration(
        version,
        [deployment.route('orders', 'unsafe', 'desk', Public=False)],
        [{'Name': 'desk', 'MaxConns': 100}],
        Tenants=[{'Name': 'acme', 'ApiKeys': keys}],
    )


async def case(record, site):
    store = site.store
    store.put('op', 'config', create_configuration(1, [KEY]))
    runners = []
    for number in (1, 2):
        runner = deployment.Runner(
            record, store, f'i-{number}', 'desk', deployment.host(10 + number)
        )
        runners.append(await site.add_runner(runner))
        runner.register()
    await site.start_gateways(2)
    await call_with_keys(record, site, 'before')
    revoked_at = store.put(
        'op',
        'config',
        create_configuration(7, [] if deployment.TROUBLE else [KEY]),
    )
    record.note('acknowledged', version=7, has_key=not deployment.TROUBLE)
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    for number in range(5):
        await call_with_keys(record, site, f'after{number}')
        await asyncio.sleep(0.5)
    return judge(record, runners, revoked_at)


async def call_with_keys(record, site, label):
    for gateway in site.gateways:
        for name, key in (
            ('held', KEY),
            ('foreign', FOREIGN_KEY),
            ('none', None),
        ):
            headers = {'Authorization': f'Bearer {key}'} if key else {}
            await deployment.call_once(
                record,
                gateway.callers,
                'POST',
                '/orders/1',
                f'{label}-{gateway.name}-{name}',
                2000,
                headers=headers,
                body=b'refill',
            )


def judge(record, runners, revoked_at):
    violations = []
    for runner in runners:
        for at, request_id in runner.runs:
            if request_id.endswith('-foreign'):
                violations.append(
                    f'ROUTE: {request_id} ran: its key was never held'
                )
            is_revoked = deployment.TROUBLE and request_id.startswith('after')
            if is_revoked and request_id.endswith('-held'):
                violations.append(
                    f'CONFIG: {request_id} ran {at - revoked_at:.1f} s after its'
                    ' key was taken away'
                )
    served = sum(len(runner.runs) for runner in runners)
    record.note('runs', count=served)
    if not served:
        raise deployment.CannotRun('nothing was served')
    return violations


deployment.play(str(pathlib.Path(__file__).resolve().parent), case)
