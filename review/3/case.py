# flake8: noqa
"""A gateway is stopped while callers keep using their open connections."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'support'))
import deployment

GRACE_S = 8.0
# A request sent no later than this after the SIGTERM may be excused.
EXCUSED_S = 3.0
DEADLINE_MS = 15_000
EVENT_S = 0.05
CLIENTS = 4


class ModelRunner(deployment.Runner):
    """Streams one event for each four tokens that the request asks for."""

    async def work(self, request, reader, writer):
        counts = request.headers['damaskpoint-token-counts']
        events = int(counts.split(',')[1]) // 4
        await self.stream(request, writer, events, EVENT_S)


async def ask(connection, name, request_id, tokens):
    return await connection.call(
        'POST',
        f'/{name}/1',
        request_id,
        DEADLINE_MS,
        body=b'prompt',
        headers={
            'Damaskpoint-Model': 'm',
            'Damaskpoint-Token-Counts': f'100,{tokens}',
            'Damaskpoint-Prompt-Prefix': f'{abs(hash(request_id)):x}:100',
        },
    )


async def case(record, site):
    store = site.store
    timeout = {'TimeoutMs': 20_000, 'Sticky': True}
    store.put(
        'op',
        'config',
        deployment.configuration(
            1,
            [
                deployment.route('chat', 'stream', 'llm', **timeout),
                deployment.route('review', 'stream', 'llm', **timeout),
            ],
            [{'Name': 'llm', 'MaxConns': 300}],
        ),
    )
    for number in (1, 2):
        runner = ModelRunner(
            record,
            store,
            f'i-{number}',
            'llm',
            deployment.host(10 + number),
            Slots=64,
        )
        await site.add_runner(runner)
        runner.register()
    await site.start_gateways(2)
    gateway = site.gateways[0]
    connections = []
    for number in range(CLIENTS):
        connection = deployment.Connection(
            record, gateway.callers, f'c{number}'
        )
        await connection.open()
        connections.append(connection)
    # An ordinary minute: short reviews on kept connections.
    for turn in range(6):
        await asyncio.gather(
            *(
                ask(connection, 'review', f'small-{turn}-{connection.name}', 80)
                for connection in connections
            )
        )
    # Each client has a chat in progress when the signal comes, which ends 3.5
    # to 4.4 s after it; then it sends a large review on the same connection.
    stopping = asyncio.ensure_future(stop(gateway))
    answers = await asyncio.gather(
        *(
            use(connection, 4.5 + 0.3 * number)
            for number, connection in enumerate(connections)
        )
    )
    stopped_at = await stopping
    return judge(record, answers, stopped_at)


async def stop(gateway):
    await asyncio.sleep(1)
    if deployment.TROUBLE:
        return gateway.send(signal.SIGTERM)
    return None


async def use(connection, chat_s):
    """Return the answers of a chat and of the review that follows it."""
    answers = [
        await ask(
            connection,
            'chat',
            f'chat-{connection.name}',
            4 * int(chat_s / EVENT_S),
        )
    ]
    if connection.is_open:
        # 90 events in 4.5 s.
        answers.append(
            await ask(connection, 'review', f'large-{connection.name}', 360)
        )
    return answers


def judge(record, answers_by_client, stopped_at):
    violations = []
    for answers in answers_by_client:
        for answer in answers:
            if answer.is_whole:
                continue
            if stopped_at is None:
                violations.append(f'{answer.request_id}: not answered')
                continue
            sent_s = answer.sent_at - stopped_at
            cut_s = answer.ended_at - stopped_at
            used = (answer.ended_at - answer.sent_at) * 1000 / DEADLINE_MS
            if (
                EXCUSED_S < sent_s
                and cut_s < GRACE_S + 1
                and answer.body
                and used < 0.7
            ):
                violations.append(
                    f'LOST: {answer.request_id}: sent {sent_s:.1f} s and cut'
                    f' {cut_s:.1f} s after the SIGTERM, {len(answer.body)} bytes in'
                )
    return violations


deployment.play(str(pathlib.Path(__file__).resolve().parent), case)
