# flake8: noqa
"""A part of one customer's prompts crashes runners: which part is refused?"""

import asyncio
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'support'))
import deployment

# A runner that crashed is back after this time (seconds).
DOWN_S = 4.0
RUNNERS = 9
SOUND_PER_S = 6.0
# Time until the first event of a sound prompt (seconds).
PREFILL_S = 0.3
BAD_PER_S = 4.0
LENGTH_S = 60.0
BAD_PART = 'bad0bad0'
SYSTEM_PART = '5c1e07a2'
# The document of all requests with the bad part, and of some sound ones.
SHARED_DOCUMENT = 'd0c00001'
DOCUMENTS = tuple(f'd0c0000{number}' for number in range(2, 10))
SHARED_SHARE = 0.05


class ModelRunner(deployment.Runner):
    """Crashes as it begins to answer a prompt with the bad part."""

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.is_up = True
        # When requests with the bad part arrived, and when the runner crashed.
        self.bad = []
        self.crashes = []

    async def work(self, request, reader, writer):
        request_id = request.headers['damaskpoint-request-id']
        is_bad = BAD_PART in request.headers['damaskpoint-prompt-prefix']
        if is_bad:
            self.bad.append((self.record.now(), request_id))
        if not is_bad:
            await asyncio.sleep(PREFILL_S)
            await self.stream(request, writer, 10, 0.05)
            return
        await asyncio.sleep(0.1)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in self.seal(request)]
        lines += ['Transfer-Encoding: chunked', 'Connection: close', '', '']
        writer.write('\r\n'.join(lines).encode())
        await writer.drain()
        await asyncio.sleep(0.02)
        if self.is_up:
            await self.crash(request_id)

    async def crash(self, request_id):
        self.is_up = False
        self.crashes.append(
            self.record.note('crash', runner=self.name, request=request_id)
        )
        await self.close()
        asyncio.get_running_loop().call_later(
            DOWN_S, lambda: asyncio.ensure_future(self.come_back())
        )

    async def come_back(self):
        """Start again under the same id, at once with an entry."""
        self.born += round(DOWN_S * 1000)
        await self.open()
        self.is_up = True
        self.record.note('back', runner=self.name)
        self.register()


async def case(record, site):
    store = site.store
    chat = deployment.route(
        'chat',
        'stream',
        'llm',
        MaxAttempts=2,
        Resumable=True,
        Sticky=True,
        TimeoutMs=6000,
        SloMs=2000,
    )
    engine = {'Slots': 64, 'KvCapacityTokens': 300_000}
    store.put(
        'op',
        'config',
        deployment.configuration(
            1, [chat], [{'Name': 'llm', 'MaxConns': 300, 'Engine': engine}]
        ),
    )
    runners = []
    for number in range(1, RUNNERS + 1):
        runner = ModelRunner(
            record,
            store,
            f'i-{number}',
            'llm',
            deployment.host(10 + number),
            Slots=64,
        )
        runners.append(await site.add_runner(runner))
        runner.register()
    await site.start_gateways(3)
    answers = []
    ends_at = record.now() + LENGTH_S
    work = [send(record, site, answers, 'sound', SOUND_PER_S, ends_at)]
    if deployment.TROUBLE:
        work.append(send(record, site, answers, 'bad', BAD_PER_S, ends_at))
    await asyncio.gather(*work)
    return judge(record, runners, answers)


async def send(record, site, answers, kind, per_s, ends_at):
    """Send requests to any machine, no two alike."""
    calls = []
    for number in itertools.count():
        await asyncio.sleep(random.expovariate(per_s))
        if record.now() > ends_at:
            break
        request_id = f'{kind}-{number}'
        first = BAD_PART if kind == 'bad' else SYSTEM_PART
        document = SHARED_DOCUMENT
        if kind == 'sound' and random.random() > SHARED_SHARE:
            document = random.choice(DOCUMENTS)
        own = f'{random.getrandbits(32):08x}'
        prompt = f'{first}:300,{document}:500,{own}:200'
        calls.append(
            asyncio.ensure_future(
                deployment.call_once(
                    record,
                    random.choice(site.gateways).callers,
                    'POST',
                    '/chat/1',
                    request_id,
                    6000,
                    body=b'prompt',
                    headers={
                        'Damaskpoint-Model': 'm',
                        'Damaskpoint-Token-Counts': '1000,40',
                        'Damaskpoint-Prompt-Prefix': prompt,
                    },
                )
            )
        )
    answers += await asyncio.gather(*calls)


def judge(record, runners, answers):
    crashes = sum(len(runner.crashes) for runner in runners)
    allowed = 5 + len(answers) / 500
    denied = [
        answer
        for answer in answers
        if answer is not None
        and answer.request_id.startswith('sound')
        and answer.status is not None
        and answer.status // 100 == 4
        and 'damaskpoint-response-seal' not in answer.headers
    ]
    record.note(
        'judged', crashes=crashes, requests=len(answers), denied=len(denied)
    )
    if len(denied) <= allowed:
        return []
    return [
        f'DENIED: sound request {answer.request_id} was answered'
        f' {answer.status}: {answer.body[:90].decode()}'
        for answer in denied
    ]


deployment.play(str(pathlib.Path(__file__).resolve().parent), case)
