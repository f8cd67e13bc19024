"""A small deployment of real processes: platform, upstreams and entries."""

from __future__ import annotations

import asyncio
import collections
import json
import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from features.support.caller import Caller
from features.support.launcher import Launcher, fetch
from features.support.relay import Relay
from features.support.sheets import SheetOptions, write_sheet
from standins.history import History

if TYPE_CHECKING:
    import pathlib


# Settings by section and key.
Sections = dict[str, dict[str, object]]

ENTRY_MODULE: Final = 'damaskpoint.main.entry'
_PLATFORM_PORT: Final = 7000
_UPSTREAM_PORT: Final = 8000
_CALLER_PORT: Final = 8080
OPERATOR_PORT: Final = 8081
_PEER_PORT: Final = 8082


@dataclass(slots=True)
class Member:
    """A process of the deployment and its row in the instance list."""

    name: str
    pool: str
    zone: str
    host: str
    port: int
    peer_port: int = 0
    # URL at which an entry reaches the platform.
    platform_url: str = ''
    # Host in the instance list; empty for the member's own.
    advertised_host: str = ''
    incarnation: int = 1
    presence: str = 'live'
    # Command line arguments, kept for a restart.
    arguments: tuple[str, ...] = ()
    module: str = 'standins.main'

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f'http://{self.host}:{self.port}'

    @property
    def operator_url(self) -> str:
        """Return the base URL of an entry for operators."""
        return f'http://{self.host}:{OPERATOR_PORT}'

    def describe(self) -> dict[str, object]:
        """Return the row of the instance list."""
        names = ('name', 'pool', 'zone', 'host', 'port', 'peer_port')
        line: dict[str, object] = {name: getattr(self, name) for name in names}
        line['host'] = self.advertised_host or self.host
        line['incarnation'] = self.incarnation
        line['presence'] = self.presence
        return line


@dataclass(slots=True)
class Cluster:
    """Starts, changes and stops the processes of a deployment."""

    launcher: Launcher = field(default_factory=Launcher)
    members_by_name: dict[str, Member] = field(default_factory=dict)
    # Settings of all entries, by section.
    sections: Sections = field(default_factory=dict)
    entry_module: str = ENTRY_MODULE
    entry_arguments: tuple[str, ...] = ()
    platform_url: str = ''
    # By the entry that reaches the platform through the relay, or by the
    # upstream behind it.
    relays_by_name: dict[str, Relay] = field(default_factory=dict)
    # Held while a process is stopped, so that two faults do not overlap.
    locks_by_name: dict[str, asyncio.Lock] = field(
        default_factory=lambda: collections.defaultdict(asyncio.Lock)
    )
    operator: History = field(init=False)
    caller: Caller = field(init=False)

    def __post_init__(self) -> None:
        """Open the histories of the operator and the callers."""
        folder = self.launcher.folder
        self.operator = History('operator', folder / 'operator.jsonl')
        self.caller = Caller(History('caller', folder / 'caller.jsonl'))

    async def start_platform(self) -> None:
        """Start the platform and wait until it is ready."""
        host = self.launcher.next_host()
        self.platform_url = f'http://{host}:{_PLATFORM_PORT}'
        arguments = _make_address_arguments(
            self.launcher.folder, 'platform', host, _PLATFORM_PORT
        )
        self.launcher.start('platform', 'standins.main', 'platform', *arguments)
        url = f'{self.platform_url}/control/health'
        await self.launcher.wait_ready('platform', url)

    async def add_relay(self, name: str, host: str, port: int) -> str:
        """Put a relay in front of an address and return the relay's host."""
        relay_host = self.launcher.next_host()
        relay = Relay(host, port)
        self.relays_by_name[name] = relay
        await relay.start(relay_host, port)
        return relay_host

    async def add_upstream(
        self, role: str, name: str, pool: str, zone: str, *arguments: str
    ) -> Member:
        """Start an engine or a service and wait until it is ready."""
        host = self.launcher.next_host()
        member = Member(name, pool, zone, host, _UPSTREAM_PORT)
        member.arguments = (
            role,
            f'--name={name}',
            f'--pool={pool}',
            f'--zone={zone}',
            *_make_address_arguments(
                self.launcher.folder, name, host, _UPSTREAM_PORT
            ),
            *arguments,
        )
        self.members_by_name[name] = member
        await self._start_upstream(member)
        return member

    async def restart_upstream(self, name: str) -> None:
        """Restart a stopped upstream under a new incarnation."""
        member = self.members_by_name[name]
        member.incarnation += 1
        await self._start_upstream(member)
        await self.publish()

    async def add_entry(self, name: str, zone: str) -> Member:
        """Add an entry to the instance list and start it, without waiting.

        The entry reaches the platform through a relay of its own.
        """
        host = self.launcher.next_host()
        member = Member(name, 'entry', zone, host, _CALLER_PORT, _PEER_PORT)
        member.module = self.entry_module
        platform_host = self.platform_url.split('/')[2].split(':')[0]
        relay_host = await self.add_relay(name, platform_host, _PLATFORM_PORT)
        member.platform_url = f'http://{relay_host}:{_PLATFORM_PORT}'
        path = self.launcher.folder / f'{name}.json5'
        member.arguments = ('--settings', str(path), *self.entry_arguments)
        self.members_by_name[name] = member
        await self.publish()
        self.start_entry(name)
        return member

    def start_entry(self, name: str) -> None:
        """Start the process of an entry with all other entries as its peers."""
        member = self.members_by_name[name]
        peers = [
            f'{other.host}:{other.peer_port}'
            for other in self.members_by_name.values()
            if other.pool == 'entry' and other is not member
        ]
        settings = _make_settings(member, peers, self.sections)
        path = self.launcher.folder / f'{name}.json5'
        path.write_text(json.dumps(settings))
        self.launcher.start(name, member.module, *member.arguments)
        self.operator.record('started_entry', entry=name)

    async def wait_entry(self, name: str) -> None:
        """Wait until an entry is ready."""
        url = f'{self.members_by_name[name].operator_url}/readyz'
        await self.launcher.wait_ready(name, url)
        self.operator.record('entry_ready', entry=name)

    async def kill_entry(self, name: str) -> None:
        """Kill an entry with SIGKILL."""
        self.operator.record('killed', entry=name)
        self.launcher.kill(name)

    async def terminate_entry(self, name: str) -> None:
        """Send SIGTERM to an entry and wait until it has exited."""
        self.operator.record('terminated', entry=name)
        self.launcher.send(name, signal.SIGTERM)
        status = await self.launcher.wait_exit(name)
        self.operator.record('exited', entry=name, status=status)

    async def publish(self, **list_faults: object) -> None:
        """Replace the platform's instance list by the members."""
        members = self.members_by_name.values()
        listed = [member.describe() for member in members]
        body = json.dumps({'instances': listed, **list_faults})
        await fetch(f'{self.platform_url}/control/instances', body)

    async def control(self, name: str, **control: object) -> None:
        """Set the faults of an upstream, or of the platform."""
        url = f'{self.platform_url}/control/faults'
        if name != 'platform':
            url = f'{self.members_by_name[name].url}/control'
        status, output = await fetch(url, json.dumps(control))
        assert status == 200, output

    async def apply(self, options: SheetOptions, *arguments: str) -> int:
        """Apply a sheet and return the exit status of the sheet tool."""
        path = self.launcher.folder / f'sheet-{options.number}.csv'
        path.write_text(write_sheet(options))
        return await self.run_sheet_tool('apply', str(path), *arguments)

    async def run_sheet_tool(self, *arguments: str) -> int:
        """Run the sheet tool, record its end and return its exit status."""
        status, output = await self.launcher.run(
            'damaskpoint.main.sheet',
            *arguments,
            f'--store-url={self.platform_url}',
        )
        self.operator.record(
            'tool', words=arguments, status=status, said=output
        )
        return status

    def close(self) -> None:
        """Stop all processes and relays."""
        self.caller.close()
        for relay in self.relays_by_name.values():
            relay.close()
        self.launcher.stop_all()

    async def _start_upstream(self, member: Member) -> None:
        self.launcher.start(
            member.name,
            member.module,
            *member.arguments,
            f'--incarnation={member.incarnation}',
        )
        await self.launcher.wait_ready(member.name, f'{member.url}/control')


def _make_settings(
    member: Member, peers: list[str], sections: Sections
) -> dict[str, object]:
    settings: dict[str, dict[str, object]] = {
        'instance': {
            'name': member.name,
            'zone': member.zone,
            'host': member.host,
            'port': member.port,
            'operator_port': OPERATOR_PORT,
            'peer_port': member.peer_port,
        },
        'platform': {
            'store_url': member.platform_url,
        },
        'membership': {'peers': peers},
    }
    for name, section in sections.items():
        settings[name] = {**settings.get(name, {}), **section}
    return dict(settings)


def _make_address_arguments(
    folder: pathlib.Path, name: str, host: str, port: int
) -> tuple[str, ...]:
    history = folder / f'{name}.jsonl'
    return f'--host={host}', f'--port={port}', f'--history={history}'
