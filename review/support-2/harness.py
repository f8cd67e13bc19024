# flake8: noqa
"""Stand-ins and helpers for the cases 6 to 10: store, runners, clients.

Lint and types are not checked here: the cases are no part of the product.
All of them run in the process of the case, on loopback addresses. Each gateway
is a process of its own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEAD_END = b'\r\n\r\n'
# The case could not be run; neither kept nor broken.
NOT_RUN = 2


def trouble_is_on() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port(host: str) -> int:
    """Return a port that is free for TCP and UDP."""
    for _ in range(50):
        with socket.socket() as tcp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((host, port))
                except OSError:
                    continue
            return port
    raise OSError('no free port')


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Add a line with the time."""
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()


async def read_head(reader: asyncio.StreamReader):
    """Return the first line and the headers (lower case) of a message."""
    raw = (await reader.readuntil(HEAD_END)).decode('latin-1')
    lines = raw.split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


def encode_answer(status: int, body: bytes, headers=()) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END + body


class Request:
    """A request that a stand-in has read."""

    def __init__(self, line: str, headers, body: bytes) -> None:
        self.method, self.target, _ = line.split(' ', 2)
        path, _, query = self.target.partition('?')
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body


class Server:
    """HTTP/1.1 server; a subclass answers the requests."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(line, headers, body)
                is_open = await self.answer(request, reader, writer)
                if not is_open or headers.get('connection') == 'close':
                    return
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: Request, reader, writer) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, their feed and transactions."""

    def __init__(self, host: str, record: Record) -> None:
        super().__init__(host)
        self._record = record
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Condition()
        # While set, the responses that are due are lost.
        self.is_mute = False

    async def put(self, table: str, key: str, content) -> None:
        """Write a row; bytes are stored as they are, None removes it."""
        if content is not None and not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self._put(table, key, content)
        shown = content if content is None else content[:160]
        self._record.write(f'store acknowledges {table}/{key}: {shown!r}')
        async with self._changed:
            self._changed.notify_all()

    def _put(self, table: str, key: str, content: bytes | None) -> None:
        self._version += 1
        self._rows[table, key] = (content, self._version)

    def _encode_row(self, table: str, key: str):
        content, version = self._rows[table, key]
        row = {'Table': table, 'part': '', 'Key': key, 'Ver': version}
        if content is None:
            return {**row, 'Removed': True}
        return {**row, 'Value': base64.b64encode(content).decode()}

    async def answer(self, request: Request, reader, writer) -> bool:
        status, body = await self._handle(request)
        if self.is_mute:
            # A connection on which a response is lost delivers nothing more.
            self._record.write(f'response of the store lost: {request.target}')
            await reader.read()
            return False
        body = {
            'Ver': self._version,
            'NowMs': round(time.monotonic() * 1000),
            **body,
        }
        writer.write(
            encode_answer(
                status,
                json.dumps(body).encode(),
                [('Content-Type', 'application/json')],
            )
        )
        await writer.drain()
        return True

    async def _handle(self, request: Request):
        await asyncio.sleep(0.004)
        if request.path == '/v1/rows-get':
            return 200, self._read_range(request.query)
        if request.path == '/v1/rows-feed':
            return await self._feed(request.query)
        if request.path == '/v1/rows-tx':
            return await self._change(json.loads(request.body))
        return 404, {}

    def _read_range(self, query):
        first, last = query.get('From', ''), query.get('To')
        found = [
            self._encode_row(table, key)
            for (table, key), (content, _) in sorted(self._rows.items())
            if table == query['Table']
            and content is not None
            and key >= first
            and (last is None or key < last)
        ]
        return {'Rows': found, 'Truncated': False}

    async def _feed(self, query):
        table, after = query['Table'], int(query['After'])
        ends_at = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            found = [
                self._encode_row(table, key)
                for (its_table, key), (_, version) in sorted(
                    self._rows.items(), key=lambda row: row[1][1]
                )
                if its_table == table and version > after
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, {'Rows': found}
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _change(self, body):
        for row in body.get('ExpectedRev', ()):
            _, version = self._rows.get((row['Table'], row['Key']), (None, 0))
            content, _ = self._rows.get((row['Table'], row['Key']), (None, 0))
            if row['Ver'] != (version if content is not None else 0):
                return 412, {'Rows': [{**row, 'Ver': version}]}
        for row in body.get('Writes', ()):
            content = base64.b64decode(row['Value'])
            self._put(row['Table'], row['Key'], content)
        for row in body.get('Remove', ()):
            self._put(row['Table'], row['Key'], None)
        async with self._changed:
            self._changed.notify_all()
        return 200, {}


class Runner(Server):
    """A sound runner of a plain service."""

    def __init__(
        self,
        host: str,
        record: Record,
        store: Store,
        service: str,
        zone: str = 'zone-a',
        work_s: float = 0.02,
        slots: int = 6,
    ) -> None:
        super().__init__(host)
        self.name = f'i-{uuid.uuid4().hex[:8]}'
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.zone = zone
        self._record = record
        self._store = store
        self._born = round(time.time() * 1000)
        self._seq = 0
        # Requests that it ran: id, when it began, and whether it ended.
        self.runs: list[dict] = []

    async def register(self, state: str = 'ready') -> None:
        """Write the row of this runner."""
        self._seq += 1
        row = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': state,
            'ColdLeftMs': 0,
            'Seq': self._seq,
            'born': self._born,
        }
        await self._store.put('servers', self.name, row)

    async def answer(self, request: Request, reader, writer) -> bool:
        expected = request.headers.get('damaskpoint-expect-instance')
        if expected not in {None, self.name}:
            writer.write(
                encode_answer(
                    421, b'', [('Damaskpoint-Instance-Id', self.name)]
                )
            )
            return True
        return await self.run(request, reader, writer)

    def begin(self, request: Request) -> dict:
        """Record that a request begins to run."""
        run = {
            'id': request.headers.get('damaskpoint-request-id', ''),
            'at': self._record.now,
            'target': request.target,
            'tenant': request.headers.get('damaskpoint-tenant'),
            'last_event_id': request.headers.get('last-event-id'),
            'ended_at': None,
        }
        self.runs.append(run)
        self._record.write(
            f'{self.service} {self.name} begins {run["id"]} {request.method}'
            f' {request.target} tenant={run["tenant"]}'
        )
        return run

    async def run(self, request: Request, reader, writer) -> bool:
        """Run a request and answer it."""
        run = self.begin(request)
        await asyncio.sleep(self.work_s)
        run['ended_at'] = self._record.now
        writer.write(
            encode_answer(
                200,
                f'{self.service} ran {run["id"]}'.encode(),
                [
                    ('Damaskpoint-Request-Id', run['id']),
                    ('Damaskpoint-Response-Seal', f'seal.{run["id"]}'),
                ],
            )
        )
        await writer.drain()
        return True


class Gateway:
    """A process of the gateway, by the deploy file."""

    def __init__(
        self,
        name: str,
        host: str,
        store: Store,
        folder: pathlib.Path,
        memory_mb: int = 300,
        zone: str = 'zone-a',
    ) -> None:
        self.name = name
        self.host = host
        self._folder = folder
        self.process = None
        self.port = free_port(host)
        self.ready_port = free_port(host)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        self._command = role['run'].split()
        text = (ROOT / role['template']).read_text()
        values = {
            '{{NodeName}}': name,
            '{{Zone}}': zone,
            '{{Ip}}': host,
            '{{Listen.Front}}': f'{host}:{self.port}',
            '{{Listen.Ready}}': f'{host}:{self.ready_port}',
            'operator_port: 9464': f'operator_port: {free_port(host)}',
            '{{PortRange.0}}': str(free_port(host)),
            '{{Platform.Address}}': store.address,
            '{{Contracts}}': 'base,drain,config,cost,retry,recover,engine,'
            'stream,tenants,places,platform,stages',
            '{{Limits.MemoryMb}}': str(memory_mb),
            '{{Limits.MaxFds}}': '4100',
            '{{Limits.LinkMbps}}': '1000.0',
            '{{Limits.CpuShare}}': '0.537',
            '{{Limits.Cores}}': '2',
            '{{Bounds.GraceS}}': '8',
            '{{Bounds.RetryRatio}}': '0.2',
            '{{Bounds.RetrySlack}}': '56',
            '{{Bounds.ColdOvershoot}}': '1.5',
            '{{Bounds.ColdSlack}}': '5',
            '{{Bounds.ExposureShare}}': '',
            '{{Bounds.ExposureSlack}}': '',
            '{{Bounds.RollbackMs}}': '',
        }
        for placeholder, value in values.items():
            text = text.replace(placeholder, value)
        self._settings = folder / f'{name}.json5'
        self._settings.write_text(text)
        self._log = folder / f'{name}.log'

    async def start(self) -> None:
        """Start the process."""
        command = list(self._command)
        command[command.index('--settings') + 1] = str(self._settings)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['DAMASKPOINT_BOOT'] = str(self._settings)
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s: float = 20) -> bool:
        """Wait until the process reports that it is ready."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready_port
                )
                writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line, _ = await read_head(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return ' 200 ' in line

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process for good."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def read_log(self, *words: str) -> list[str]:
        """Return the lines of its log with one of the words."""
        lines = self._log.read_text(errors='replace').splitlines()
        return [line for line in lines if any(word in line for word in words)]


class Client:
    """A client that keeps its connection while the gateway does."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self._gateway = gateway
        self._record = record
        self._reader = self._writer = None

    async def send(
        self,
        method: str,
        host: str,
        target: str,
        key: str | None = None,
        headers=(),
        body: bytes = b'',
        deadline_ms: int = 2000,
        request_id: str | None = None,
    ) -> dict:
        """Send one attempt; return its status (None: closed), body, times."""
        request_id = request_id or uuid.uuid4().hex[:16]
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Host: {host}',
            f'Damaskpoint-Request-Id: {request_id}',
            f'Damaskpoint-Deadline-Ms: {deadline_ms}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        lines += [f'{name}: {value}' for name, value in headers]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        result = {
            'id': request_id,
            'sent_at': self._record.now,
            'status': None,
            'body': b'',
            'headers': {},
            'error': '',
            'kept': bool(self._writer),
        }
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._gateway.host, self._gateway.port
                    )
                self._writer.write(
                    '\r\n'.join(lines).encode('latin-1') + HEAD_END + body
                )
                line, answer_headers = await read_head(self._reader)
                if method != 'HEAD':
                    result['body'] = await read_body(
                        self._reader, answer_headers
                    )
                result['status'] = int(line.split(' ')[1])
                result['headers'] = answer_headers
                if answer_headers.get('connection', '').lower() == 'close':
                    self.close()
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            result['error'] = repr(error)
            self.close()
        result['took_s'] = self._record.now - result['sent_at']
        self._record.write(
            f'client {self._gateway.name} {method} {target}'
            f' {request_id} sent at {result["sent_at"]:.3f}:'
            f' {result["status"]} {result["body"][:120]!r} {result["error"]}'
        )
        return result

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


def plain_route(name: str, service: str, kind: str, **fields):
    """Return a route of a plain service."""
    return {
        'Name': name,
        'Host': 'dosing.example',
        'Prefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': 2000,
        'SloMs': 200,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 1 if kind == 'unsafe' else 2,
        'Stages': [],
        'Public': False,
        **fields,
    }


def plain_service(name: str, **fields):
    """Return a plain service of the configuration."""
    return {
        'Name': name,
        'HealthPath': '/health',
        'MaxConns': 110,
        'Protocol': 'h1',
        'Tls': False,
        'ColdS': 0.0,
        'ColdPerS': 0.0,
        **fields,
    }


def configuration(version: int, routes, services, tenants):
    """Return the operator's configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 10000,
            'IdleTimeoutMs': 60000,
        },
        'Tenants': [
            {'Name': name, 'ApiKeys': keys} for name, keys in tenants.items()
        ],
    }


def run_case(folder: pathlib.Path, play) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, else 2.

    ``play`` takes the record, a temporary folder and a list to which it adds
    what is to be ended, and returns whether the rule was broken, or None.
    """
    record = Record(folder)
    record.write(f'trouble: {trouble_is_on()}')

    async def _play():
        ended: list = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    return await play(record, pathlib.Path(temporary), ended)
            finally:
                for item in ended:
                    if isinstance(item, Gateway):
                        await item.end()
                    else:
                        item.stop()

    try:
        is_broken = asyncio.run(_play())
    except Exception as error:  # the case itself failed
        record.write(f'could not run: {error!r}')
        sys.stderr.write(f'could not run: {error!r}\n')
        raise SystemExit(NOT_RUN) from error
    if is_broken is None:
        record.write('could not run')
        raise SystemExit(NOT_RUN)
    record.write('rule broken' if is_broken else 'rule held')
    sys.stdout.write('rule broken\n' if is_broken else 'rule held\n')
    raise SystemExit(1 if is_broken else 0)
