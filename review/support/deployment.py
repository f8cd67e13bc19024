# flake8: noqa
"""Stand-ins and processes of a small deployment, for the cases of the review.

The gateways are the project's own, started as separate processes with the
command of the deploy file. The store, the runners and the clients are small
stand-ins in this process that follow the platform's pages. Everything listens
on loopback addresses and on free ports.

Lint and types are not checked here: the cases are no part of the product.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
_PREFIX = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
_SETTINGS_PATH = '/etc/damaskpoint/boot.yaml'


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run; written to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started_at = time.monotonic()
        self.note('case', folder=folder.name, trouble=TROUBLE)

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def note(self, event: str, **fields: object) -> float:
        now = self.now()
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{now:8.3f} {event} {text}\n')
        self._file.flush()
        return now


def free_port(host: str) -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port


# HTTP.


class Request:
    """A request as it was received by a stand-in."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ')
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


def encode_answer(status, headers, body=b''):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Server:
    """Serves one request per connection; ``handle`` writes the answer."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.host = host
        self.port = port or free_port(host)
        self._server = None
        self._writers = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )

    async def close(self) -> None:
        """Stop listening and reset all connections, as a dead process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.handle(await read_request(reader), reader, writer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


# The platform's store.


class Store(Server):
    """Tables of rows with long polls, as in the platform's protocol."""

    def __init__(self, record: Record, host: str) -> None:
        super().__init__(host)
        self.record = record
        self.version = 0
        self.rows = {}
        self.changes = []
        # Whether all calls are answered with 503, or their connections reset.
        self.is_busy = False
        self.is_resetting = False
        # Called after each read of a page, before its answer is sent.
        self.on_page = None
        self._changed = asyncio.Event()

    def put(self, table, key, content) -> float:
        """Write a row; return when it was acknowledged."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._commit({'Table': table, 'part': '', 'Key': key, 'Value': value})
        return self.record.now()

    def remove(self, table, key) -> float:
        self._commit({'Table': table, 'part': '', 'Key': key, 'Removed': True})
        return self.record.now()

    def _commit(self, row, is_new_version=True):
        if is_new_version:
            self.version += 1
        row = {**row, 'Ver': self.version}
        self.rows.pop((row['Table'], row['Key']), None)
        if 'Value' in row:
            self.rows[row['Table'], row['Key']] = row
        self.changes.append(row)
        self.wake()

    def wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        path, _, query_text = request.target.partition('?')
        query = {}
        for pair in query_text.split('&'):
            name, _, value = pair.partition('=')
            query[name] = _unquote(value)
        if self._refuse(writer):
            return
        await asyncio.sleep(0.004)
        if path == '/v1/rows-get':
            await self._get(query, writer)
        elif path == '/v1/rows-feed':
            await self._feed(query, writer)
        elif path == '/v1/rows-tx':
            self._transact(json.loads(request.body), writer)
        else:
            writer.write(encode_answer(404, []))

    async def _get(self, query, writer):
        table, first = query['Table'], query.get('From', '')
        found = sorted(
            (key, row)
            for (name, key), row in self.rows.items()
            if name == table and key >= first
        )
        # At most 500 rows an answer, as the pages say.
        rows = [row for _, row in found[:500]]
        is_truncated = len(found) > 500
        version = self.version
        if self.on_page is not None:
            self.on_page(table, first, is_truncated)
        self._answer(writer, rows, version, is_truncated)

    async def _feed(self, query, writer):
        table, after = query['Table'], int(query['After'])
        ends_at = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            if self._refuse(writer):
                return
            rows = [
                row
                for row in self.changes
                if row['Table'] == table and row['Ver'] > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                self._answer(writer, rows, self.version, False)
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _refuse(self, writer) -> bool:
        if self.is_resetting:
            writer.transport.abort()
        elif self.is_busy:
            writer.write(encode_answer(503, []))
        return self.is_resetting or self.is_busy

    def _transact(self, body, writer):
        for row in body['ExpectedRev']:
            current = self.rows.get((row['Table'], row['Key']), {'Ver': 0})
            if current['Ver'] != row['Ver']:
                self._answer(writer, [], self.version, False, 412)
                return
        self.version += 1
        for row in body['Writes']:
            self._commit(dict(row), is_new_version=False)
        for row in body['Remove']:
            self._commit({**row, 'Removed': True}, is_new_version=False)
        self._answer(writer, [], self.version, False)

    def _answer(self, writer, rows, version, is_truncated, status=200):
        body = {
            'Rows': rows,
            'Ver': version,
            'Truncated': is_truncated,
            'NowMs': round(time.monotonic() * 1000),
        }
        headers = [('Content-Type', 'application/json')]
        writer.write(encode_answer(status, headers, json.dumps(body).encode()))


def _unquote(text):
    plain = text.replace('+', ' ')
    return re.sub('%([0-9A-Fa-f]{2})', lambda m: chr(int(m[1], 16)), plain)


# Runners.


class Runner(Server):
    """A runner; ``work`` answers a request that is for it."""

    def __init__(self, record, store, name, service, host, port=0, **entry):
        super().__init__(host, port)
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.born = round(time.time() * 1000)
        self.entry = {
            'Service': service,
            'Zone': 'zone-1',
            'Version': 'v1',
            'Slots': 16,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 1,
            **entry,
        }
        # Times, ids and clients' names of the requests that were run.
        self.runs = []

    def register(self, **changes) -> float:
        """Write the entry; return when the store acknowledged it."""
        self.entry.update(changes)
        content = {**self.entry, 'Address': self.address, 'born': self.born}
        at = self.store.put('servers', self.name, content)
        self.record.note(
            'entry',
            runner=self.name,
            state=self.entry['State'],
            cold_left_ms=self.entry['ColdLeftMs'],
        )
        return at

    async def handle(self, request, reader, writer):
        request_id = request.headers.get('damaskpoint-request-id', '')
        expected = request.headers.get('damaskpoint-expect-instance', self.name)
        if expected != self.name:
            self.record.note(
                'misdirected', runner=self.name, request=request_id
            )
            headers = [('Damaskpoint-Not-Executed', '1')]
            writer.write(encode_answer(421, headers))
            return
        at = self.record.note(
            'run',
            runner=self.name,
            request=request_id,
            tenant=request.headers.get('damaskpoint-tenant', '-'),
            deadline_ms=request.headers.get('damaskpoint-deadline-ms', '-'),
        )
        self.runs.append((at, request_id))
        await self.work(request, reader, writer)

    async def work(self, request, reader, writer):
        """Answer with a short sealed body."""
        await asyncio.sleep(0.01)
        writer.write(encode_answer(200, self.seal(request), b'done'))

    def seal(self, request):
        return [
            (
                'Damaskpoint-Request-Id',
                request.headers['damaskpoint-request-id'],
            ),
            ('Damaskpoint-Response-Seal', f'seal-of-{self.name}'),
        ]

    async def stream(self, request, writer, events, gap_s, first=1):
        """Answer with an event stream in chunks."""
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in self.seal(request)]
        lines += ['Transfer-Encoding: chunked', 'Connection: close', '', '']
        for number in range(first, events + 1):
            await asyncio.sleep(gap_s)
            if number == first:
                # The head comes with the first event.
                writer.write('\r\n'.join(lines).encode())
            event = f'id: {number}\ndata: piece\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        self.record.note(
            'streamed',
            runner=self.name,
            request=request.headers['damaskpoint-request-id'],
        )


# Gateways.


class Gateway:
    """A process of the project, started with the deploy file's command."""

    def __init__(self, record, store_address, name, host, folder, **bounds):
        self.record = record
        self.name = name
        self.callers = (host, free_port(host))
        self.ready = (host, free_port(host))
        self._settings = pathlib.Path(folder) / f'{name}.json5'
        self._log = pathlib.Path(folder) / f'{name}.log'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        fields = {
            'NodeName': name,
            'Zone': 'zone-1',
            'Ip': host,
            'Listen.Front': '{}:{}'.format(*self.callers),
            'Listen.Ready': '{}:{}'.format(*self.ready),
            'PortRange.0': free_port(host),
            'Platform.Address': store_address,
            'Bounds.GraceS': bounds.get('grace_s', 8),
            'Bounds.RetryRatio': 0.2,
            'Bounds.RetrySlack': 56,
            'Bounds.ColdOvershoot': 1.5,
            'Bounds.ColdSlack': 5,
        }
        text = (ROOT / role['template']).read_text()
        for field, value in fields.items():
            text = text.replace('{{%s}}' % field, str(value))
        self._settings.write_text(text)
        self._command = [
            str(self._settings) if word == _SETTINGS_PATH else word
            for word in role['run'].split()
        ]
        self.process = None

    async def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.note(
            'gateway started', name=self.name, pid=self.process.pid
        )

    async def wait_ready(self, timeout_s: float = 20) -> float:
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return self.record.note('gateway ready', name=self.name)
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} is not ready')

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        try:
            writer.write(
                b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\n'
                b'Connection: close\r\n\r\n'
            )
            first, _ = await read_head(reader)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()
        return ' 200 ' in first

    def send(self, number: signal.Signals) -> float:
        self.process.send_signal(number)
        return self.record.note('signal', name=self.name, signal=number.name)

    async def stop(self) -> None:
        """End the process if it still runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()

    def log_text(self) -> str:
        return self._log.read_text(errors='replace')


# Clients.


class Answer:
    """An answer as a client saw it."""

    def __init__(self, request_id, sent_at):
        self.request_id = request_id
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b''
        # Whether the whole answer arrived.
        self.is_whole = False


class Connection:
    """A client's kept connection to one gateway."""

    def __init__(self, record, address, name='client'):
        self.record = record
        self.name = name
        self._address = address
        self._reader = None
        self._writer = None
        # Whether the gateway asked for the end of the connection.
        self.is_closing = False

    async def open(self, timeout_s: float = 1) -> None:
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(*self._address, limit=1 << 20), timeout_s
        )

    @property
    def is_open(self) -> bool:
        if self._reader is None or self._reader.at_eof():
            return False
        return not self.is_closing and not self._writer.is_closing()

    async def call(self, method, target, request_id, deadline_ms, **options):
        """Send a request and return its answer, whole or not."""
        body = options.get('body', b'')
        lines = [
            f'{method} {target} HTTP/1.1',
            'Host: host-1',
            f'Damaskpoint-Request-Id: {request_id}',
            f'Damaskpoint-Deadline-Ms: {deadline_ms}',
            f'Content-Length: {len(body)}',
        ]
        for name, value in options.get('headers', {}).items():
            lines.append(f'{name}: {value}')
        answer = Answer(
            request_id,
            self.record.note(
                'sent', client=self.name, request=request_id, target=target
            ),
        )
        try:
            self._writer.write(
                '\r\n'.join([*lines, '', '']).encode('latin-1') + body
            )
            await asyncio.wait_for(self._read(answer), deadline_ms / 1000 + 1)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.is_closing = True
            self._writer.close()
            answer.ended_at = self.record.note(
                'not answered whole',
                client=self.name,
                request=request_id,
                status=answer.status,
                got_bytes=len(answer.body),
                reason=type(error).__name__,
            )
            return answer
        answer.ended_at = self.record.note(
            'answered',
            client=self.name,
            request=request_id,
            status=answer.status,
            sealed='damaskpoint-response-seal' in answer.headers,
            got_bytes=len(answer.body),
            retry_after=answer.headers.get('retry-after', '-'),
        )
        return answer

    async def _read(self, answer):
        first, answer.headers = await read_head(self._reader)
        answer.status = int(first.split(' ')[1])
        if answer.headers.get('connection', '').lower() == 'close':
            self.is_closing = True
        if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                line = await self._reader.readuntil(b'\r\n')
                size = int(line, 16)
                chunk = await self._reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += chunk[:-2]
        else:
            answer.body = await self._reader.readexactly(
                int(answer.headers.get('content-length', 0))
            )
        answer.is_whole = True

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


async def call_once(
    record, address, method, target, request_id, deadline_ms, **options
):
    """Send a request on a connection of its own; None if none was opened."""
    connection = Connection(record, address, options.pop('client', 'client'))
    try:
        await connection.open()
    except (OSError, TimeoutError):
        record.note('no connection', request=request_id)
        return None
    try:
        return await connection.call(
            method, target, request_id, deadline_ms, **options
        )
    finally:
        connection.close()


# Configurations.


def route(name, kind, service, **fields):
    return {
        'Name': name,
        'Host': 'host-1',
        'Prefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': 5000,
        'SloMs': 1000,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 1,
        'Public': True,
        **fields,
    }


def configuration(version, routes, services, **fields):
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 100000,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        **fields,
    }


def host(number: int) -> str:
    """Return a loopback address of this run."""
    return f'{_PREFIX}.{number}'


class Site:
    """A store, runners and gateways; ends what it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(record, host(1))
        self.gateways = []
        self.servers = [self.store]
        self._folder = tempfile.TemporaryDirectory(prefix='review-')

    async def __aenter__(self):
        await self.store.open()
        return self

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            await gateway.stop()
        for server in self.servers:
            await server.close()
        self._folder.cleanup()

    async def add_runner(self, runner):
        await runner.open()
        self.servers.append(runner)
        return runner

    def create_gateway(self, number, store_address=None, **bounds):
        gateway = Gateway(
            self.record,
            store_address or self.store.address,
            f'g-{number}',
            host(100 + number),
            self._folder.name,
            **bounds,
        )
        self.gateways.append(gateway)
        return gateway

    async def start_gateways(self, count):
        for number in range(1, count + 1):
            await self.create_gateway(number).start()
        for gateway in self.gateways:
            await gateway.wait_ready()


def play(folder: str, case) -> None:
    """Run a case and exit with its status; ``case`` returns violations."""
    record = Record(pathlib.Path(folder))

    async def run():
        async with Site(record) as site:
            return await asyncio.wait_for(case(record, site), 115)

    try:
        violations = asyncio.run(run())
    except Exception as error:
        record.note('could not run', reason=repr(error))
        _exit(f'could not run: {error!r}', NOT_RUN)
    for violation in violations[:20]:
        record.note('violation', text=violation)
    record.note('end', violations=len(violations))
    status = BROKEN if violations else HELD
    _exit(f'{"broken" if violations else "held"} {len(violations)}', status)


def _exit(text: str, status: int) -> None:
    """Exit at once: connections of cancelled calls are not awaited."""
    print(text, flush=True)
    os._exit(status)
