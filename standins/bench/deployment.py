"""Starts and stops a deployment for an experiment: a site and its entries.

Each process is a child of this one and is stopped by its process id.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, final

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from damaskpoint.errors import Code, Failure, FailureError
from damaskpoint.load.fetching import fetch

if TYPE_CHECKING:
    from asyncio.subprocess import Process

_ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
_PORT: Final = 9000
_OPERATOR_PORT: Final = 9001
_PEER_PORT: Final = 9002
_FIRST_ENTRY_OCTET: Final = 100
_START_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 20.0
_POLL_INTERVAL_S: Final = 0.1
_HTTP_OK: Final = 200

# At these latencies, ten engines with eight slots each serve about 68
# pipelines per second, each of four stages and twelve tokens.
_SITE_OPTIONS: Final = (
    '--encode-ms=160',
    '--retrieve-ms=160',
    '--rerank-ms=240',
    '--generate-ms=320',
    '--token-ms=24',
    '--service-ms=100',
    # The largest limits in the sample sheets.
    '--cold-limit=2',
    '--warm-limit=8',
)

MODULE_BY_SYSTEM: Final = {
    'damaskpoint': 'damaskpoint.main.entry',
    'baseline': 'damaskpoint.load.baseline',
}


@final
@dataclass(frozen=True, slots=True)
class DeploymentOptions:
    """The system, size and addresses of a deployment."""

    # Name of the profile that selects the callers, the site and the sheet.
    profile: str
    # A key of ``MODULE_BY_SYSTEM``.
    system: str
    entries: int
    # First three octets of the loopback addresses.
    base_host: str
    folder: pathlib.Path


@final
@dataclass(slots=True)
class Deployment:
    """A running deployment, its addresses and its processes."""

    options: DeploymentOptions
    platform_url: str = ''
    upstreams: list[dict[str, object]] = field(default_factory=list)
    entry_urls: tuple[str, ...] = ()
    processes: list[Process] = field(default_factory=list)

    @property
    def history_folder(self) -> pathlib.Path:
        """Return the folder of the stand-ins' history files."""
        return self.options.folder / 'history'

    def operator_urls(self) -> tuple[str, ...]:
        """Return the base URLs of the entries' operator ports."""
        return tuple(
            url.replace(str(_PORT), str(_OPERATOR_PORT))
            for url in self.entry_urls
        )

    def urls_in_zone(self, zone: str) -> list[str]:
        """Return the base URLs of the upstreams in a zone."""
        urls: list[str] = []
        for upstream in self.upstreams:
            if upstream['zone'] == zone and upstream['pool'] != 'entry':
                urls.append(f'http://{upstream["host"]}:{upstream["port"]}')
        return urls


async def start_deployment(options: DeploymentOptions) -> Deployment:
    """Start the site and the entries; wait until the entries are ready."""
    deployment = Deployment(options)
    deployment.history_folder.mkdir(parents=True)
    zones = await _start_site(deployment)
    await run_sheet(
        deployment, 'apply', '--wait-s', '0', f'samples/{options.profile}.csv'
    )
    urls: list[str] = []
    for number in range(options.entries):
        host = f'{options.base_host}.{_FIRST_ENTRY_OCTET + number}'
        settings = _write_settings(deployment, number, zones)
        module = MODULE_BY_SYSTEM[options.system]
        await _start_process(deployment, module, '--settings', str(settings))
        urls.append(f'http://{host}:{_PORT}')
    deployment.entry_urls = tuple(urls)
    await _wait_ready(deployment)
    return deployment


async def stop_deployment(deployment: Deployment) -> None:
    """Stop every started process, the entries first."""
    for process in reversed(deployment.processes):
        if process.returncode is None:
            process.terminate()
    for process in deployment.processes:
        try:
            await asyncio.wait_for(process.wait(), _STOP_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()


async def run_sheet(deployment: Deployment, *arguments: str) -> None:
    """Run the sheet tool and report a non-zero exit status on stderr."""
    url = deployment.platform_url
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'damaskpoint.main.sheet',
        *arguments,
        '--store-url',
        url,
        cwd=_ROOT,
        stdout=asyncio.subprocess.DEVNULL,
    )
    status = await process.wait()
    if status:
        sys.stderr.write(f'sheet {arguments} exited with status {status}\n')


async def _start_site(deployment: Deployment) -> list[str]:
    """Start the site and return the names of its zones."""
    options = deployment.options
    arguments = [
        '--profile',
        options.profile,
        '--base-host',
        options.base_host,
        *_SITE_OPTIONS,
        '--history-dir',
        str(deployment.history_folder),
    ]
    zones = _read_zones(options.profile)
    for number in range(options.entries):
        host = f'{options.base_host}.{_FIRST_ENTRY_OCTET + number}'
        zone = zones[number % len(zones)]
        arguments.append('--entry')
        arguments.append(f'entry-{number},{zone},{host},{_PORT},{_PEER_PORT}')
    process = await _start_process(
        deployment, 'standins.main', 'site', *arguments
    )
    if process.stdout is None:
        return zones
    line = await process.stdout.readline()
    if not line:
        raise FailureError(Failure(Code.INTERNAL, 'the site did not start'))
    site = json.loads(line)
    deployment.platform_url = site['platform_url']
    deployment.upstreams = site['instances']
    return zones


def _read_zones(profile: str) -> list[str]:
    """Return the zones in the order of the profile's sheet."""
    zones: list[str] = []
    section = ''
    sheet = _ROOT / 'samples' / f'{profile}.csv'
    for line in sheet.read_text(encoding='utf-8').splitlines():
        if line.startswith('['):
            section = line
            continue
        if section == '[zones]' and ',' in line:
            zones.append(line.split(',')[0])
    return [zone for zone in zones if zone != 'name']


def _write_settings(
    deployment: Deployment, number: int, zones: list[str]
) -> pathlib.Path:
    options = deployment.options
    url = deployment.platform_url
    settings = {
        'instance': {
            'name': f'entry-{number}',
            'zone': zones[number % len(zones)],
            'host': f'{options.base_host}.{_FIRST_ENTRY_OCTET + number}',
            'port': _PORT,
            'operator_port': _OPERATOR_PORT,
            'peer_port': _PEER_PORT,
        },
        'platform': {
            'store_url': url,
        },
        'shutdown': {'notice_s': 0, 'limit_s': 10},
    }
    path = options.folder / f'entry-{number}.json5'
    path.write_text(json.dumps(settings), encoding='utf-8')
    return path


async def _start_process(
    deployment: Deployment, module: str, *arguments: str
) -> Process:
    log = (deployment.options.folder / 'processes.log').open('a')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *arguments,
        cwd=_ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=log,
    )
    deployment.processes.append(process)
    return process


async def _wait_ready(deployment: Deployment) -> None:
    client = AsyncHTTPClient()
    deadline = time.monotonic() + _START_TIMEOUT_S
    for url in deployment.operator_urls():
        ready_url = f'{url}/readyz'
        while time.monotonic() < deadline:
            response = await fetch(client, HTTPRequest(ready_url))
            if response and response.code == _HTTP_OK:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
